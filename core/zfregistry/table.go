// Package zfregistry knows which backend servers there are where no list of
// them exists. Its table has one row a life of a backend server, fed by
// heartbeats at any control instance and by the tables of other instances; its
// system runs over the rows each tick and expires the silent ones.
package zfregistry

import (
	"cmp"
	"container/list"
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Source identifies one run of a process that tells others of backend servers;
// zero stands for none.
type Source uint64

// Config holds the constants of a table.
type Config struct {
	// Self is the process that the table belongs to.
	Self Source
	// Late is the silence after which a heartbeat is overdue.
	Late time.Duration
	// Grace is how much longer the silence of a process may be that hears the
	// heartbeats in place of this one: the last of them may just have come, and
	// whoever hears the next ones needs time to tell.
	Grace time.Duration
	// Expiry is the silence after which a backend server gets no new flows.
	Expiry time.Duration
	// Gone is the silence after which it is given up.
	Gone time.Duration
	// Retention is how long the row of a backend server that is gone is remembered,
	// so that late heartbeats and packets of old flows are known for what they are.
	Retention time.Duration
	// MaxRows is the number of rows that the table takes.
	MaxRows int
	// Subscriber tells that another instance decides who is silent.
	Subscriber bool
}

const (
	// missedHeartbeats is the number of heartbeats in a row that may get lost or be
	// resent to another instance before silence means something.
	missedHeartbeats = 4
	// callTimeout is how long a backend server waits for a control instance that
	// doesn't answer, before it calls the next one.
	callTimeout = time.Second
	// lateSlack is the time that a heartbeat may take over half an interval.
	lateSlack = 150 * time.Millisecond
	// reportDelay is how old the word of a process that hears heartbeats may be, and
	// the time that another one needs to tell that they come there now.
	reportDelay = 500 * time.Millisecond
	// flowLifetime bounds how long flows of a dead backend server send packets.
	flowLifetime = 60 * time.Second
	// maxRows is twice the backend servers expected within two years.
	maxRows = 20000
	// coldSlack is the difference between two reports of the end of a cold
	// start that is not worth telling others.
	coldSlack = 400 * time.Millisecond
	// suspectSlack is the time by which a suspicion must be longer to be news; it
	// covers the way between instances.
	suspectSlack = time.Second
)

// DefaultConfig returns the constants of a process for backend servers that send
// a heartbeat each interval.
func DefaultConfig(self Source, interval time.Duration) Config {
	late := interval*3/2 + callTimeout + lateSlack
	return Config{
		Self:      self,
		Late:      late,
		Grace:     interval/2 + reportDelay,
		Expiry:    max(missedHeartbeats*interval, late+interval),
		Gone:      4 * max(missedHeartbeats*interval, late+interval),
		Retention: flowLifetime,
		MaxRows:   maxRows,
	}
}

// Row is one life of a backend server.
type Row struct {
	zf.Announcement
	ID zf.ServerID
	// LastHeartbeat is when the last heartbeat came in that is known here.
	LastHeartbeat time.Time
	// receiver is the process that heartbeats come to. It tells others when they
	// begin to come and when they are overdue, not each of them: nothing must grow
	// with backend servers times control instances.
	receiver Source
	// ColdUntil is when the backend server's cold start ends.
	ColdUntil time.Time
	// Status is the state as the system sees it, State the announced one.
	Status zf.ServerState
	// Proven tells that the backend server is certainly no longer alive: it
	// left, or a later one has its name or its address.
	Proven bool
	// Late tells that heartbeats are overdue that could have come.
	Late bool
	// SuspectUntil is until when the backend server should get no new flows, as it
	// leaves requests unanswered.
	SuspectUntil time.Time
	// goneAt is when Status became ServerGone.
	goneAt time.Time
	// contentRevision is the revision of the last change, beat that of the last time that
	// this instance began to hear heartbeats, or of the last change.
	contentRevision uint64
	feedRevision    uint64
	// element is the row's element in Table.recent.
	element *list.Element
	// lastDigest is the row's part in the digest of its bucket.
	lastDigest uint64
}

// Table holds the backend servers.
type Table struct {
	config    Config
	rows      map[zf.ServerIncarnation]*Row
	names     map[zf.ServerName]*Row
	addresses map[netip.AddrPort]*Row
	// recent holds all rows by beat, so that a subscriber's changes are found
	// without a look at the others.
	recent *list.List
	// buckets holds the rows by the bucket in which they are compared, digests what
	// each bucket tells.
	buckets [bucketCount][]*Row
	digests [bucketCount]uint64
	// lastReport is when each other process lastReport anything last.
	lastReport      map[Source]time.Time
	revision        uint64
	contentRevision uint64
	nextID          zf.ServerID
}

// New returns a table without rows.
func New(config Config) *Table {
	return &Table{
		config:     config,
		rows:       make(map[zf.ServerIncarnation]*Row),
		names:      make(map[zf.ServerName]*Row),
		addresses:  make(map[netip.AddrPort]*Row),
		recent:     list.New(),
		lastReport: make(map[Source]time.Time),
	}
}

// ContentRevision changes whenever a row changes by more than a heartbeat.
func (t *Table) ContentRevision() uint64 { return t.contentRevision }

// Revision changes also when heartbeats begin to come to another instance.
func (t *Table) Revision() uint64 { return t.revision }

// Size returns the number of rows.
func (t *Table) Size() int { return len(t.rows) }

// Rows returns all rows, sorted by name and birth. They must not be changed.
func (t *Table) Rows() []*Row {
	rows := make([]*Row, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), a.Born.Compare(b.Born))
	})
	return rows
}

// Find returns the latest life of a backend server, or nil.
func (t *Table) Find(name zf.ServerName) *Row { return t.names[name] }

// Announce takes a heartbeat that came to this instance. The reason is
// ReasonNone if it was taken.
func (t *Table) Announce(a zf.Announcement, now time.Time) zf.Reason {
	if row := t.rows[zf.NewServerIncarnation(a.Server, a.Born)]; row != nil && (a.Sequence <= row.Sequence || row.Proven) {
		return zf.ReasonStale
	}
	row, reason := t.insert(a, now)
	if row == nil {
		return reason
	}
	newReceiver := row.receiver != t.config.Self
	row.receiver = t.config.Self
	if !t.accept(row, a, now) && newReceiver {
		t.revision++
		t.moveToBack(row)
	}
	return zf.ReasonNone
}

// moveToBack puts a row at the end of those told to others.
func (t *Table) moveToBack(row *Row) {
	row.feedRevision = t.revision
	t.recent.MoveToBack(row.element)
}

// insert returns the row of an announcement. It returns nil where the backend
// server is known to have ended, or the table is full.
func (t *Table) insert(a zf.Announcement, now time.Time) (*Row, zf.Reason) {
	if row := t.rows[zf.NewServerIncarnation(a.Server, a.Born)]; row != nil {
		return row, zf.ReasonNone
	}
	if t.supersededBy(t.names[a.Server], a) || t.supersededBy(t.addresses[a.Address], a) {
		return nil, zf.ReasonStale
	}
	if len(t.rows) >= t.config.MaxRows {
		return nil, zf.ReasonFull
	}
	row := &Row{
		Announcement: a,
		ID:           t.nextID,
		Status:       zf.ServerGone,
	}
	row.element = t.recent.PushBack(row)
	bucket := bucketOf(row.Server)
	t.buckets[bucket] = append(t.buckets[bucket], row)
	t.nextID++
	t.markGone(t.names[a.Server], true, now)
	t.markGone(t.addresses[a.Address], true, now)
	t.rows[zf.NewServerIncarnation(a.Server, a.Born)] = row
	t.names[a.Server] = row
	t.addresses[a.Address] = row
	return row, zf.ReasonNone
}

// supersededBy reports whether a row shows that an announcement comes from a
// backend server that was replaced.
func (t *Table) supersededBy(row *Row, a zf.Announcement) bool {
	return row != nil && row.Born.After(a.Born)
}

// markGone notes that a backend server is gone.
func (t *Table) markGone(row *Row, proven bool, now time.Time) {
	if row == nil || row.Status == zf.ServerGone && (row.Proven || !proven) {
		return
	}
	if row.Status != zf.ServerGone {
		row.goneAt = now
	}
	row.Status = zf.ServerGone
	row.Proven = row.Proven || proven
	t.markChanged(row)
}

func (t *Table) markChanged(row *Row) {
	t.revision++
	t.contentRevision = t.revision
	row.contentRevision = t.revision
	t.moveToBack(row)
	t.updateDigest(row, row.digest())
}

// updateDigest replaces a row's part in the updateDigest of its bucket.
func (t *Table) updateDigest(row *Row, digest uint64) {
	t.digests[bucketOf(row.Server)] ^= row.lastDigest ^ digest
	row.lastDigest = digest
}

// accept updates a row by an announcement that is newer than what it holds. It
// reports whether more than the time of the last heartbeat changed.
func (t *Table) accept(row *Row, a zf.Announcement, now time.Time) bool {
	coldUntil := now.Add(a.Cold)
	if a.Cold <= 0 {
		coldUntil = time.Time{}
	}
	if a.Address != row.Address {
		t.markGone(t.addresses[a.Address], true, now)
		t.releaseAddress(row)
		t.addresses[a.Address] = row
	}
	changed := row.differs(a) || !closeTo(coldUntil, row.ColdUntil)
	row.Announcement = a
	row.LastHeartbeat = now
	row.ColdUntil = coldUntil
	status := row.announcedStatus(now)
	if changed || row.Late || status != row.Status {
		row.Status = status
		row.Late = false
		t.markChanged(row)
		return true
	}
	return false
}

// releaseAddress notes that a row no longer has its address.
func (t *Table) releaseAddress(row *Row) {
	if t.addresses[row.Address] == row {
		delete(t.addresses, row.Address)
	}
}

func closeTo(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return a.IsZero() == b.IsZero()
	}
	return a.Sub(b).Abs() < coldSlack
}

// announcedStatus returns the state of a row that was heard of lately.
func (r *Row) announcedStatus(now time.Time) zf.ServerState {
	switch {
	case r.State == zf.ServerDraining:
		return zf.ServerDraining
	case now.Before(r.ColdUntil):
		return zf.ServerCold
	default:
		return zf.ServerWarm
	}
}

// differs reports whether an announcement names another place or capacity.
func (r *Row) differs(a zf.Announcement) bool {
	return r.Address != a.Address || r.Service != a.Service || r.Centre != a.Centre || r.Capacity != a.Capacity
}

// MarkSuspect notes that a backend server leaves requests unanswered, and should get
// no new flows until a time.
func (t *Table) MarkSuspect(name zf.ServerName, born, until time.Time) {
	row := t.rows[zf.NewServerIncarnation(name, born)]
	if row == nil || row.Status == zf.ServerGone || !until.After(row.SuspectUntil.Add(suspectSlack)) {
		return
	}
	row.SuspectUntil = until
	t.markChanged(row)
}

// Leave takes the word of a backend server that it ends. A zero born stands
// for its latest life.
func (t *Table) Leave(name zf.ServerName, born, now time.Time) zf.Reason {
	row := t.names[name]
	if !born.IsZero() {
		row = t.rows[zf.NewServerIncarnation(name, born)]
	}
	if row == nil {
		return zf.ReasonServerGone
	}
	t.markGone(row, true, now)
	return zf.ReasonNone
}
