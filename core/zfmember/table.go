// Package zfmember decides which instances are alive. Its table has one row
// for each instance; its system runs over the rows each tick, moves silent
// rows from alive through suspect to dead, and builds the heartbeats that are
// due.
package zfmember

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// State is the state of an instance as this one sees it.
type State uint8

// The states of an instance.
const (
	// StateAlive is a member whose last heartbeat is more recent than the
	// suspect timeout.
	StateAlive State = iota
	// StateSuspect is a member without a heartbeat for the suspect timeout; it
	// still counts as live.
	StateSuspect
	// StateDead is a member without a heartbeat for the dead timeout.
	StateDead
	// StateLeft is a member that announced the end of its planned stop.
	StateLeft
)

// String returns the state's name in reports.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	default:
		return "unknown"
	}
}

// Config holds the constants of a table.
type Config struct {
	// Self is this instance.
	Self zf.MemberView
	// Seeds are addresses that get heartbeats before a member with that
	// address is known.
	Seeds []netip.AddrPort
	// Interval is the minimum time between heartbeats.
	Interval time.Duration
	// SuspectIntervals and DeadIntervals are the number of intervals without a
	// heartbeat after which a member is suspect and dead. SuspectIntervals is
	// the smaller one.
	SuspectIntervals int
	DeadIntervals    int
	// BytesPerSecond is the bandwidth for heartbeats; with many members it
	// lengthens the interval.
	BytesPerSecond int
	// RemoveAfter is the time without a heartbeat after which a row is
	// removed.
	RemoveAfter time.Duration
}

// DefaultConfig returns the constants for self and seeds.
func DefaultConfig(self zf.MemberView, seeds []netip.AddrPort) Config {
	return Config{
		Self:             self,
		Seeds:            seeds,
		Interval:         400 * time.Millisecond,
		SuspectIntervals: 6,
		DeadIntervals:    8,
		BytesPerSecond:   2500,
		RemoveAfter:      10 * time.Minute,
	}
}

const (
	// heartbeatBytes is the size of a heartbeat without announcements.
	heartbeatBytes = 110
	// echoWindow is the number of past heartbeat rounds whose echoes are
	// accepted.
	echoWindow = 64
	// recentIntervals is the number of intervals for which a member counts as
	// recent after a heartbeat.
	recentIntervals = 3
	// introductionBeats is the number of heartbeats to a new member that carry
	// the known addresses.
	introductionBeats = 3
)

// Row is one instance other than this one.
type Row struct {
	Name        zf.InstanceName
	Centre      zf.CentreName
	Control     netip.AddrPort
	Relay       netip.AddrPort
	Incarnation uint64
	State       State
	Ready       bool
	// LastHeartbeat is when the last heartbeat arrived, LastBeat its number.
	LastHeartbeat time.Time
	LastBeat      uint64
	// LeaseStart is when this instance sent the last heartbeat that the member
	// echoed.
	LeaseStart time.Time
	// StateSequence is the sequence of the control state that the member
	// serves.
	StateSequence uint64
	SlotDigests   []zf.SlotDigest

	introductionsSent  int
	needsAnnouncements bool
}

// Table holds the other instances that this one knows, sorted by name.
type Table struct {
	config   Config
	rows     []*Row
	seeds    []netip.AddrPort
	beat     uint64
	sentAt   [echoWindow]time.Time
	nextBeat time.Time
	revision uint64
}

// Payload is what the heartbeats of one round carry besides the membership.
type Payload struct {
	StateSequence    uint64
	SlotDigests      []zf.SlotDigest
	Servers          []zf.Announcement
	ServerHeartbeats []zf.ServerHeartbeat
	// AllServers returns the announcements of every backend server that is
	// neither silent nor gone, for members that need them.
	AllServers func() []zf.Announcement
	// NeedsAnnouncements requests the announcements of all backend servers, since
	// a ServerHeartbeat named one that is unknown or gone here.
	NeedsAnnouncements bool
	Ready              bool
}

// New returns a table without rows.
func New(config Config) *Table {
	return &Table{
		config: config,
		seeds:  slices.Clone(config.Seeds),
	}
}

// Revision changes whenever the set of live members, or the incarnation, an
// address or the readiness of one changes.
func (t *Table) Revision() uint64 { return t.revision }

// Rows returns the rows, sorted by name. They must not be changed.
func (t *Table) Rows() []*Row { return t.rows }

// Find returns the row of an instance or nil.
func (t *Table) Find(name zf.InstanceName) *Row {
	i, ok := t.search(name)
	if !ok {
		return nil
	}
	return t.rows[i]
}

func (t *Table) search(name zf.InstanceName) (int, bool) {
	return slices.BinarySearchFunc(t.rows, name, func(r *Row, n zf.InstanceName) int {
		switch {
		case r.Name < n:
			return -1
		case r.Name > n:
			return 1
		default:
			return 0
		}
	})
}

// HandleHeartbeat processes a heartbeat. It reports whether the heartbeat was
// accepted; one of an earlier incarnation or beat, or of an incarnation that
// has left, is not.
func (t *Table) HandleHeartbeat(from zf.InstanceName, incarnation uint64, beat zf.Heartbeat, now time.Time) bool {
	if from == t.config.Self.Name {
		return false
	}
	row := t.Find(from)
	if row != nil && (incarnation < row.Incarnation || incarnation == row.Incarnation && beat.Beat <= row.LastBeat) {
		return false
	}
	if row != nil && row.State == StateLeft && incarnation == row.Incarnation {
		return false
	}
	row = t.update(row, from, incarnation, beat)
	row.LastHeartbeat = now
	row.LastBeat = beat.Beat
	row.StateSequence = beat.State
	row.SlotDigests = beat.SlotDigests
	row.needsAnnouncements = beat.NeedsAnnouncements
	t.renewLease(row, beat)
	t.addSeeds(beat.Members)
	return true
}

// update creates or updates the row's identity and increments the revision if
// the set of live members, the incarnation, an address or the readiness changed.
func (t *Table) update(row *Row, from zf.InstanceName, incarnation uint64, beat zf.Heartbeat) *Row {
	if row == nil {
		row = &Row{
			Name:  from,
			State: StateDead,
		}
		i, _ := t.search(from)
		t.rows = slices.Insert(t.rows, i, row)
	}
	changed := row.State == StateDead || row.State == StateLeft || row.Incarnation != incarnation ||
		row.Control != beat.Control || row.Relay != beat.Relay || row.Ready != beat.Ready
	if row.Incarnation != incarnation {
		row.introductionsSent = 0
		row.LeaseStart = time.Time{}
	}
	row.Incarnation = incarnation
	row.Centre = beat.Centre
	row.Control = beat.Control
	row.Relay = beat.Relay
	row.Ready = beat.Ready
	row.State = StateAlive
	if changed {
		t.revision++
	}
	return row
}

// renewLease records when the echoed heartbeat was sent; the time since then
// bounds how long ago the member last received a heartbeat of this instance.
func (t *Table) renewLease(row *Row, beat zf.Heartbeat) {
	if beat.EchoIncarnation != t.config.Self.Incarnation || beat.Echo == 0 || beat.Echo > t.beat || beat.Echo+echoWindow <= t.beat {
		return
	}
	at := t.sentAt[beat.Echo%echoWindow]
	if at.After(row.LeaseStart) {
		row.LeaseStart = at
	}
}

func (t *Table) addSeeds(addresses []netip.AddrPort) {
	for _, address := range addresses {
		if address != t.config.Self.Control && !slices.Contains(t.seeds, address) {
			t.seeds = append(t.seeds, address)
		}
	}
}

// HandleLeave processes an instance's announcement that its planned stop has
// ended.
func (t *Table) HandleLeave(from zf.InstanceName, incarnation uint64) {
	row := t.Find(from)
	if row == nil || row.Incarnation != incarnation || row.State == StateLeft {
		return
	}
	row.State = StateLeft
	t.revision++
}

// Interval returns the time between heartbeats at the present number of
// members.
func (t *Table) Interval() time.Duration {
	scaled := time.Duration(len(t.rows)*heartbeatBytes) * time.Second / time.Duration(t.config.BytesPerSecond)
	return max(t.config.Interval, scaled)
}

// SuspectTimeout returns the silence after which a member is suspect, and
// after which this instance's lease from a member expires.
func (t *Table) SuspectTimeout() time.Duration {
	return t.Interval() * time.Duration(t.config.SuspectIntervals)
}

// DeadTimeout returns the silence after which a member is dead.
func (t *Table) DeadTimeout() time.Duration {
	return t.Interval() * time.Duration(t.config.DeadIntervals)
}
