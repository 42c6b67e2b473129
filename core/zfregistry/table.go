// Package zfregistry discovers backend servers where there is no list of them.
// Its table has one row for each incarnation of a backend server, updated by
// heartbeats at any control instance and by the tables of other instances. A
// heartbeat is an announcement, which a backend server repeats at each interval.
// The table's system runs over the rows each tick and expires the silent ones.
package zfregistry

import (
	"cmp"
	"container/list"
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Source identifies one incarnation of an instance that reports backend servers
// to others; zero stands for none.
type Source uint64

// Config holds the constants of a table.
type Config struct {
	// Self is the instance that the table belongs to.
	Self Source
	// LateTimeout is the silence after which a heartbeat is overdue.
	LateTimeout time.Duration
	// ReportGrace is added to the allowed silence if another instance receives
	// the heartbeats: the last one may have arrived after the last report of that
	// instance, and the instance that receives the next one needs time to report
	// it.
	ReportGrace time.Duration
	// SilentTimeout is the silence after which a backend server receives no new
	// flows.
	SilentTimeout time.Duration
	// GoneTimeout is the silence after which a backend server counts as gone.
	GoneTimeout time.Duration
	// Retention is how long the row of a backend server that is gone is kept,
	// so that late heartbeats and packets of old flows are recognized.
	Retention time.Duration
	// MaxRows is the maximum number of rows.
	MaxRows int
	// Subscriber is set if another instance decides which rows are silent.
	Subscriber bool
}

const (
	// missedHeartbeats is the number of intervals without a heartbeat after which a
	// backend server counts as silent: up to that, heartbeats may have been lost
	// or resent to another instance.
	missedHeartbeats = 4
	// callTimeout is how long a backend server waits for an answer of a control
	// instance before it calls the next one.
	callTimeout = time.Second
	// lateSlack is the time that a heartbeat may take beyond half an interval.
	lateSlack = 150 * time.Millisecond
	// reportDelay is the maximum age of the last report of an instance that
	// receives heartbeats, and the time that another instance needs to report
	// that it receives them now.
	reportDelay = 500 * time.Millisecond
	// flowLifetime is the longest time for which callers send packets of flows
	// whose backend server is dead.
	flowLifetime = 60 * time.Second
	// maxRows is twice the number of backend servers expected within two years.
	maxRows = 20000
	// coldSlack is the difference between two reports of the end of a cold
	// start below which the change is not reported to other instances.
	coldSlack = 400 * time.Millisecond
	// maxClockError is how far a start time may be in the future. One that is further
	// would have all later incarnations refused as earlier ones.
	maxClockError = time.Hour
	// suspectSlack is the time by which a suspicion must be extended to count
	// as a change; it covers the transmission time between instances.
	suspectSlack = time.Second
)

// DefaultConfig returns the constants of an instance for backend servers that
// send a heartbeat each interval.
func DefaultConfig(self Source, interval time.Duration) Config {
	late := interval*3/2 + callTimeout + lateSlack
	return Config{
		Self:          self,
		LateTimeout:   late,
		ReportGrace:   interval/2 + reportDelay,
		SilentTimeout: max(missedHeartbeats*interval, late+interval),
		GoneTimeout:   4 * max(missedHeartbeats*interval, late+interval),
		Retention:     flowLifetime,
		MaxRows:       maxRows,
	}
}

// Table holds the backend servers.
type Table struct {
	config    Config
	rows      map[zf.ServerIncarnation]*Row
	names     map[zf.ServerName]*Row
	addresses map[netip.AddrPort]*Row
	// byFeedRevision holds all rows in the order of feedRevision, so that a
	// subscriber's changes are found without a scan of all rows.
	byFeedRevision *list.List
	// buckets holds the rows by the bucket in which they are compared, digests
	// the digest of each bucket.
	buckets [bucketCount][]*Row
	digests [bucketCount]uint64
	// lastReport is when the last report of each other instance came in.
	lastReport map[Source]time.Time
	// reportingSince is since when all other control instances have reported without a gap,
	// or the zero value.
	reportingSince time.Time
	// othersReport is set once another instance has reported.
	othersReport    bool
	revision        uint64
	contentRevision uint64
	nextID          zf.ServerID
}

// New returns a table without rows.
func New(config Config) *Table {
	return &Table{
		config:         config,
		rows:           make(map[zf.ServerIncarnation]*Row),
		names:          make(map[zf.ServerName]*Row),
		addresses:      make(map[netip.AddrPort]*Row),
		byFeedRevision: list.New(),
		lastReport:     make(map[Source]time.Time),
	}
}

// ContentRevision increases whenever a row changes by more than a heartbeat.
func (t *Table) ContentRevision() uint64 { return t.contentRevision }

// Revision increases with ContentRevision, and whenever heartbeats begin to
// arrive here in place of another instance.
func (t *Table) Revision() uint64 { return t.revision }

// Size returns the number of rows.
func (t *Table) Size() int { return len(t.rows) }

// Rows returns all rows, sorted by name and start time. They must not be
// modified.
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

// Find returns the row of a backend server's latest incarnation, or nil.
func (t *Table) Find(name zf.ServerName) *Row { return t.names[name] }

// FindIncarnation returns the row of one incarnation of a backend server, or nil.
func (t *Table) FindIncarnation(name zf.ServerName, born time.Time) *Row {
	return t.rows[zf.NewServerIncarnation(name, born)]
}

// Announce records an announcement that a backend server sent to this instance.
// Backend servers repeat it as their heartbeat. It returns ReasonNone if the
// announcement was accepted.
func (t *Table) Announce(a zf.Announcement, now time.Time) zf.Reason {
	if a.Born.Sub(now) > maxClockError {
		return zf.ReasonBadField
	}
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

// moveToBack marks a row as the last one changed, so that subscribers fetch it.
func (t *Table) moveToBack(row *Row) {
	row.feedRevision = t.revision
	t.byFeedRevision.MoveToBack(row.element)
}

// insert returns the row of an announcement and creates it if necessary. It
// returns nil and a reason if the backend server is known to have been replaced
// or the table is full.
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
		goneAt:       now,
	}
	row.element = t.byFeedRevision.PushBack(row)
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

// supersededBy reports whether the backend server of an announcement was replaced
// by that of a row with the same name or address, which started later.
func (t *Table) supersededBy(row *Row, a zf.Announcement) bool {
	return row != nil && row.Born.After(a.Born)
}

// markGone marks a backend server as gone.
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

func (t *Table) setStatus(row *Row, status zf.ServerState) {
	if row.Status != status {
		row.Status = status
		t.markChanged(row)
	}
}

func (t *Table) markChanged(row *Row) {
	t.revision++
	t.contentRevision = t.revision
	row.contentRevision = t.revision
	t.moveToBack(row)
	t.updateDigest(row, row.digest())
}

// updateDigest replaces a row's part of the digest of its bucket.
func (t *Table) updateDigest(row *Row, digest uint64) {
	t.digests[bucketOf(row.Server)] ^= row.lastDigest ^ digest
	row.lastDigest = digest
}

// accept updates a row from an announcement newer than the one it holds. It
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
	changed := row.differs(a) || !withinColdSlack(coldUntil, row.ColdUntil)
	row.Announcement = a
	row.LastHeartbeat = now
	row.ColdUntil = coldUntil
	status := row.announcedStatus(now)
	if changed || row.Late || status != row.Status {
		row.Status = status
		row.setLate(false)
		t.markChanged(row)
		return true
	}
	return false
}

// releaseAddress removes a row's entry in the index of addresses.
func (t *Table) releaseAddress(row *Row) {
	if t.addresses[row.Address] == row {
		delete(t.addresses, row.Address)
	}
}

func withinColdSlack(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return a.IsZero() == b.IsZero()
	}
	return a.Sub(b).Abs() < coldSlack
}

// MarkSuspect records that a backend server leaves requests unanswered and
// should receive no new flows until a time.
func (t *Table) MarkSuspect(name zf.ServerName, born, until time.Time) {
	row := t.rows[zf.NewServerIncarnation(name, born)]
	if row == nil || row.Status == zf.ServerGone || !until.After(row.SuspectUntil.Add(suspectSlack)) {
		return
	}
	row.SuspectUntil = until
	t.markChanged(row)
}

// Leave records that a backend server announced its end. A zero born stands for
// its latest incarnation, which must have announced that it drains: the call may have
// been delayed, and a late copy must not end the next incarnation.
func (t *Table) Leave(name zf.ServerName, born, now time.Time) zf.Reason {
	row := t.names[name]
	if !born.IsZero() {
		row = t.rows[zf.NewServerIncarnation(name, born)]
	}
	switch {
	case row == nil:
		return zf.ReasonServerGone
	case born.IsZero() && row.State != zf.ServerDraining:
		return zf.ReasonStale
	}
	t.markGone(row, true, now)
	return zf.ReasonNone
}
