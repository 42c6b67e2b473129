// Package zfserver decides what each backend server may get. Its table has one
// row a backend server that ever announced itself; its system runs over the
// rows each tick, expires the silent ones and ramps the cold ones.
package zfserver

import (
	"slices"
	"strings"
	"time"

	zf "zinniafront"
)

// Config holds the constants of a table.
type Config struct {
	// SilentTimeout is the silence after which a backend server gets no new work.
	SilentTimeout time.Duration
	// GoneTimeout is the silence after which its flows are given up.
	GoneTimeout time.Duration
	// RampTime is the shortest time from cold to full weight.
	RampTime time.Duration
	// InitialShare is the share of its weight that a cold backend server starts with.
	InitialShare float64
	// MaxRows is the number of rows that the table takes.
	MaxRows int
}

// DefaultConfig returns the constants used where a bundle says nothing.
func DefaultConfig() Config {
	return Config{
		SilentTimeout: 2500 * time.Millisecond,
		GoneTimeout:   2 * time.Minute,
		RampTime:      10 * time.Second,
		InitialShare:  0.05,
		MaxRows:       20000,
	}
}

// rampSteps is the number of steps from InitialShare to full weight; few steps make
// few changes of the slot tables.
const rampSteps = 8

// Row is one backend server.
type Row struct {
	ID zf.ServerID
	zf.Announcement
	// LastAnnouncement is when the last announcement came in.
	LastAnnouncement time.Time
	// Status is the state as the system sees it, State the announced one.
	Status zf.ServerState
	// Ramp is the share of full weight that the row has reached, from 0 to 1.
	Ramp float64
	// LastRampStep is when Ramp last grew.
	LastRampStep time.Time
	// fullPending is how often the whole announcement is still to be told, beats how
	// many short ones were told since the last whole one.
	fullPending    int
	heartbeatsSent int
}

// Table holds the backend servers; a row's index is its ServerID.
type Table struct {
	config   Config
	rows     []*Row
	ids      map[zf.ServerName]zf.ServerID
	revision uint64
	// pending holds the rows with an announcement heard directly and not yet told
	// to the other instances.
	pending map[zf.ServerID]bool
}

const (
	// fullRepeats is how often an announcement with another state is told whole,
	// in case a message gets lost; wholeEvery is every how many announcements
	// one is told whole that only repeats.
	fullRepeats       = 3
	heartbeatsPerFull = 8
)

// New returns a table without rows.
func New(config Config) *Table {
	return &Table{
		config:  config,
		ids:     make(map[zf.ServerName]zf.ServerID),
		pending: make(map[zf.ServerID]bool),
	}
}

// Configure replaces the constants, as a new bundle does.
func (t *Table) Configure(config Config) { t.config = config }

// Revision changes whenever a state, a weight or an address does.
func (t *Table) Revision() uint64 { return t.revision }

// Rows returns all rows by ServerID. They must not be changed.
func (t *Table) Rows() []*Row { return t.rows }

// Find returns the row of a name, or nil.
func (t *Table) Find(name zf.ServerName) *Row {
	id, ok := t.ids[name]
	if !ok {
		return nil
	}
	return t.rows[id]
}

// Announce takes an announcement. direct tells that the backend server sent it
// to this instance, so that the others have to be told. The reason is
// ReasonNone if the announcement was taken.
func (t *Table) Announce(a zf.Announcement, direct bool, now time.Time) zf.Reason {
	row := t.Find(a.Server)
	if row != nil && a.Sequence <= row.Sequence {
		return zf.ReasonStale
	}
	if row == nil && len(t.rows) >= t.config.MaxRows {
		return zf.ReasonFull
	}
	if row == nil {
		row = t.insert(a, now)
	}
	if direct && (row.Status != a.State || row.differs(a)) {
		row.fullPending = fullRepeats
	}
	t.update(row, a, now)
	if direct {
		t.pending[row.ID] = true
	}
	return zf.ReasonNone
}

func (t *Table) insert(a zf.Announcement, now time.Time) *Row {
	row := &Row{
		ID:           zf.ServerID(len(t.rows)),
		Announcement: a,
		Status:       zf.ServerGone,
		LastRampStep: now,
	}
	t.rows = append(t.rows, row)
	t.ids[a.Server] = row.ID
	return row
}

func (t *Table) update(row *Row, a zf.Announcement, now time.Time) {
	changed := row.differs(a)
	turnedCold := a.State == zf.ServerCold && row.State != zf.ServerCold
	row.Announcement = a
	row.LastAnnouncement = now
	status := a.State
	if turnedCold || row.Status == zf.ServerGone {
		t.restartRamp(row, a.State, now)
	}
	if changed || row.Status != status {
		t.revision++
	}
	row.Status = status
}

// restartRamp puts the row at the foot of its ramp, unless it says that it is
// warm when it is first heard of: then it was there before this instance.
func (t *Table) restartRamp(row *Row, state zf.ServerState, now time.Time) {
	row.Ramp = t.config.InitialShare
	if state == zf.ServerWarm {
		row.Ramp = 1
	}
	row.LastRampStep = now
	t.revision++
}

// Tick expires silent rows and moves ramps on.
func (t *Table) Tick(now time.Time) {
	for _, row := range t.rows {
		t.expire(row, now)
		t.ramp(row, now)
	}
}

func (t *Table) expire(row *Row, now time.Time) {
	silence := now.Sub(row.LastAnnouncement)
	status := row.Status
	switch {
	case silence >= t.config.GoneTimeout:
		status = zf.ServerGone
	case silence >= t.config.SilentTimeout:
		status = zf.ServerSilent
	}
	if status != row.Status {
		row.Status = status
		t.revision++
	}
}

// ramp raises the weight of a row by one step when the step's time has passed.
// A row that still says it is cold stops at half of its weight.
func (t *Table) ramp(row *Row, now time.Time) {
	if row.Ramp >= 1 || row.Status != zf.ServerCold && row.Status != zf.ServerWarm {
		return
	}
	if now.Sub(row.LastRampStep) < t.config.RampTime/rampSteps {
		return
	}
	limit := 1.0
	if row.Status == zf.ServerCold {
		limit = 0.5
	}
	step := (1 - t.config.InitialShare) / rampSteps
	next := min(row.Ramp+step, limit)
	row.LastRampStep = now
	if next > row.Ramp {
		row.Ramp = next
		t.revision++
	}
}

// differs reports whether an announcement names another place or capacity.
func (r *Row) differs(a zf.Announcement) bool {
	return r.Address != a.Address || r.Web != a.Web || r.Service != a.Service ||
		r.Centre != a.Centre || r.Capacity != a.Capacity
}

// Refresh takes the word of another instance that a backend server announced
// itself at the same place. It reports false if the whole announcement is not
// known here.
func (t *Table) Refresh(heartbeat zf.ServerHeartbeat, now time.Time) bool {
	row := t.Find(heartbeat.Server)
	if row == nil || row.Status == zf.ServerGone {
		return false
	}
	if heartbeat.Sequence <= row.Sequence {
		return true
	}
	a := row.Announcement
	a.State = heartbeat.State
	a.Sequence = heartbeat.Sequence
	a.Load = heartbeat.Load
	t.update(row, a, now)
	return true
}

// TakePending returns what the other instances are to be told now, by ServerID:
// whole announcements and short ones.
func (t *Table) TakePending() ([]zf.Announcement, []zf.ServerHeartbeat) {
	announcements := make([]zf.Announcement, 0, len(t.pending))
	heartbeats := make([]zf.ServerHeartbeat, 0, len(t.pending))
	for _, row := range t.rows {
		switch {
		case row.fullPending > 0:
			row.fullPending--
			row.heartbeatsSent = 0
			announcements = append(announcements, row.Announcement)
		case !t.pending[row.ID]:
		case row.heartbeatsSent >= heartbeatsPerFull:
			row.heartbeatsSent = 0
			announcements = append(announcements, row.Announcement)
		default:
			row.heartbeatsSent++
			heartbeats = append(heartbeats, zf.ServerHeartbeat{
				Server:   row.Server,
				State:    row.State,
				Sequence: row.Sequence,
				Load:     row.Load,
			})
		}
		delete(t.pending, row.ID)
	}
	return announcements, heartbeats
}

// Announcements returns the last announcement of every backend server that is not silent.
func (t *Table) Announcements() []zf.Announcement {
	announcements := make([]zf.Announcement, 0, len(t.rows))
	for _, row := range t.rows {
		if row.Status != zf.ServerSilent && row.Status != zf.ServerGone {
			announcements = append(announcements, row.Announcement)
		}
	}
	return announcements
}

// Weight returns the share of new flows that a row may get relative to the
// others of its service.
func (r *Row) Weight() float64 {
	if r.Status != zf.ServerCold && r.Status != zf.ServerWarm {
		return 0
	}
	return r.Ramp * float64(r.Capacity.Connections)
}

// View returns all rows, sorted by name. out holds the data centres taken out.
func (t *Table) View(out []zf.CentreName) []zf.ServerView {
	view := make([]zf.ServerView, 0, len(t.rows))
	for _, row := range t.rows {
		view = append(view, zf.ServerView{
			ID:      row.ID,
			Name:    row.Server,
			Service: row.Service,
			Centre:  row.Centre,
			Address: row.Address,
			State:   row.Status,
			Weight:  row.Weight(),
			Allowed: !slices.Contains(out, row.Centre),
		})
	}
	slices.SortFunc(view, func(a, b zf.ServerView) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return view
}
