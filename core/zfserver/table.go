// Package zfserver decides the share of new flows of each backend server. Its
// table has one row for each backend server that has ever announced itself. Its
// system runs over the rows each tick, expires the silent ones and ramps up the
// cold ones.
package zfserver

import (
	"slices"
	"strings"
	"time"

	zf "zinniafront"
)

// Config holds the timeouts and bounds of a table.
type Config struct {
	// SilentTimeout is the time without an announcement after which a backend
	// server gets no new work.
	SilentTimeout time.Duration
	// GoneTimeout is the time without an announcement after which the flows of a
	// backend server are given up.
	GoneTimeout time.Duration
	// RampTime is the minimum time from cold to full weight.
	RampTime time.Duration
	// InitialShare is the share of its weight that a cold backend server starts with.
	InitialShare float64
	// MaxRows is the maximum number of rows in the table.
	MaxRows int
}

// DefaultConfig returns the values used where a bundle sets none.
func DefaultConfig() Config {
	return Config{
		SilentTimeout: 2500 * time.Millisecond,
		GoneTimeout:   2 * time.Minute,
		RampTime:      10 * time.Second,
		InitialShare:  0.05,
		MaxRows:       20000,
	}
}

// rampSteps is the number of steps from InitialShare to full weight. Each step
// changes the slot tables, so there are few.
const rampSteps = 8

// Row is one backend server.
type Row struct {
	ID zf.ServerID
	zf.Announcement
	// LastAnnouncement is when the last announcement or heartbeat was received.
	LastAnnouncement time.Time
	// Status is the effective state, State the announced one.
	Status zf.ServerState
	// Ramp is the share of full weight that the row has reached, from 0 to 1.
	Ramp float64
	// LastRampStep is when the ramp started or its last step was evaluated.
	LastRampStep time.Time
	// fullRepeatsLeft is how many more times the full announcement is sent to the other
	// instances, heartbeatsSent the number of heartbeats sent to them since the last
	// full announcement.
	fullRepeatsLeft int
	heartbeatsSent  int
}

// Table holds the backend servers; a row's index is its ServerID.
type Table struct {
	config   Config
	rows     []*Row
	ids      map[zf.ServerName]zf.ServerID
	revision uint64
	// pending holds the rows with an announcement that this instance received from
	// the backend server and has not yet sent to the other instances.
	pending map[zf.ServerID]bool
}

const (
	// fullRepeats is how many times an announcement that changes the row is sent
	// in full, in case a message is lost. heartbeatsPerFull is the number of
	// heartbeats sent for an unchanged row before the next full announcement.
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

// Configure replaces the configuration, for example by that of a new bundle.
func (t *Table) Configure(config Config) { t.config = config }

// Revision returns a number that changes whenever a state, a weight or an address
// does.
func (t *Table) Revision() uint64 { return t.revision }

// Rows returns all rows by ServerID. They must not be changed.
func (t *Table) Rows() []*Row { return t.rows }

// Find returns the row of the named backend server, or nil.
func (t *Table) Find(name zf.ServerName) *Row {
	id, ok := t.ids[name]
	if !ok {
		return nil
	}
	return t.rows[id]
}

// Announce applies an announcement to the table. direct is true if the backend
// server sent it to this instance, which then has to send it to the others. The
// reason is ReasonNone if the announcement was accepted.
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
		row.fullRepeatsLeft = fullRepeats
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
		Status:       zf.ServerGone, // update starts the ramp of a row that was gone.
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

// restartRamp starts the row's ramp at InitialShare. A backend server that
// announces itself as warm gets its full weight at once: it was already running
// before this instance knew it.
func (t *Table) restartRamp(row *Row, state zf.ServerState, now time.Time) {
	row.Ramp = t.config.InitialShare
	if state == zf.ServerWarm {
		row.Ramp = 1
	}
	row.LastRampStep = now
	t.revision++
}

// Tick expires silent rows and advances ramps.
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

// ramp raises the weight of a row by one step once the duration of a step has
// passed. A row that still announces itself as cold stops at half of its weight.
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

// differs reports whether an announcement has another address, service, data
// centre or capacity than the row.
func (r *Row) differs(a zf.Announcement) bool {
	return r.Address != a.Address || r.Web != a.Web || r.Service != a.Service ||
		r.Centre != a.Centre || r.Capacity != a.Capacity
}

// Refresh applies a heartbeat that another instance sent for a backend server
// whose addresses, service, data centre and capacity are unchanged. It returns
// false if the backend server is unknown or gone here.
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

// TakePending removes and returns what has to be sent to the other instances,
// ordered by ServerID: full announcements, and heartbeats for unchanged rows.
func (t *Table) TakePending() ([]zf.Announcement, []zf.ServerHeartbeat) {
	announcements := make([]zf.Announcement, 0, len(t.pending))
	heartbeats := make([]zf.ServerHeartbeat, 0, len(t.pending))
	for _, row := range t.rows {
		switch {
		case row.fullRepeatsLeft > 0:
			row.fullRepeatsLeft--
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

// Announcements returns the last announcement of every backend server that is
// neither silent nor gone.
func (t *Table) Announcements() []zf.Announcement {
	announcements := make([]zf.Announcement, 0, len(t.rows))
	for _, row := range t.rows {
		if row.Status != zf.ServerSilent && row.Status != zf.ServerGone {
			announcements = append(announcements, row.Announcement)
		}
	}
	return announcements
}

// Weight returns the share of new flows that a row may get, relative to the other
// rows of its service.
func (r *Row) Weight() float64 {
	if r.Status != zf.ServerCold && r.Status != zf.ServerWarm {
		return 0
	}
	return r.Ramp * float64(r.Capacity.Connections)
}

// View returns all rows, sorted by name. out holds the data centres taken out of
// service.
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
