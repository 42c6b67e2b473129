// Package zfrequest schedules requests. Its table has one row for each request;
// its system runs over the waiting rows each tick and assigns free slots of
// backend servers to them, in the order of priority.
package zfrequest

import (
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfserver"
)

// ID identifies a request at one instance.
type ID uint64

// State is the state of a request.
type State uint8

// The states of a request.
const (
	// StateWaiting is a request without a backend server.
	StateWaiting State = iota
	// StateRunning is a request that holds a slot of a backend server.
	StateRunning
)

// Request is a request for a slot of a backend server.
type Request struct {
	ID      ID
	Service zf.ServiceName
	// Deadline is when the complete response has to be available.
	Deadline time.Time
	// Avoid lists backend servers on which the request failed before.
	Avoid []zf.ServerID
}

// Decision is the result of a request: a backend server, or a refusal with its
// reason and the time after which a retry may succeed.
type Decision struct {
	ID         ID
	Server     zf.ServerID
	Reason     zf.Reason
	RetryAfter time.Duration
	Granted    bool
}

// Config holds the dependencies of a table.
type Config struct {
	Picker zf.Picker
	Random zf.Random
}

type row struct {
	request  Request
	state    State
	server   zf.ServerID
	priority zfbundle.Priority
	// expires is when a waiting request is refused: after Limits.Wait or at its
	// deadline, whichever is earlier.
	expires time.Time
}

// Table holds the requests at one instance.
type Table struct {
	config    Config
	bundle    *zfbundle.Bundle
	rows      map[ID]*row
	waiting   []ID
	inUse     map[zf.ServerID]int
	decisions []Decision
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{
		config: config,
		rows:   make(map[ID]*row),
		inUse:  make(map[zf.ServerID]int),
	}
}

// Configure sets the bundle in force.
func (t *Table) Configure(bundle *zfbundle.Bundle) { t.bundle = bundle }

// Running returns the number of requests that hold a slot.
func (t *Table) Running() int { return len(t.rows) - len(t.waiting) }

// Waiting returns the number of requests without a slot.
func (t *Table) Waiting() int { return len(t.waiting) }

// Submit adds a request. A later TakeDecisions returns its decision.
func (t *Table) Submit(request Request, now time.Time) {
	refuse := func(reason zf.Reason) {
		t.decisions = append(t.decisions, Decision{
			ID:         request.ID,
			Server:     zf.NoServer,
			Reason:     reason,
			RetryAfter: t.retryAfter(),
		})
	}
	if t.bundle == nil {
		refuse(zf.ReasonNotReady)
		return
	}
	service := t.bundle.Find(request.Service)
	switch {
	case service == nil:
		refuse(zf.ReasonNoSuchService)
		return
	case !request.Deadline.After(now):
		refuse(zf.ReasonDeadline)
		return
	case len(t.waiting) >= t.bundle.Limits.Queue:
		refuse(zf.ReasonOverLimit)
		return
	}
	expires := now.Add(t.bundle.Limits.Wait)
	if request.Deadline.Before(expires) {
		expires = request.Deadline
	}
	t.rows[request.ID] = &row{
		request:  request,
		server:   zf.NoServer,
		priority: service.Priority,
		expires:  expires,
	}
	t.waiting = append(t.waiting, request.ID)
}

// retryAfter returns how long a refused caller should wait: the maximum time
// that a queued request waits for a slot, but at least a second.
func (t *Table) retryAfter() time.Duration {
	if t.bundle == nil {
		return time.Second
	}
	return max(t.bundle.Limits.Wait, time.Second)
}

// Finish removes a request, whether it is waiting or running.
func (t *Table) Finish(id ID) {
	r, ok := t.rows[id]
	if !ok {
		return
	}
	if r.state == StateRunning {
		t.inUse[r.server]--
	} else {
		t.waiting = slices.DeleteFunc(t.waiting, func(other ID) bool { return other == id })
	}
	delete(t.rows, id)
}

// TakeDecisions returns the decisions made since the last call.
func (t *Table) TakeDecisions() []Decision {
	decisions := t.decisions
	t.decisions = nil
	return decisions
}

// Tick refuses requests that have waited too long and assigns free slots to the
// others.
func (t *Table) Tick(now time.Time, servers *zfserver.Table, out []zf.CentreName) {
	if len(t.waiting) == 0 {
		return
	}
	slices.SortStableFunc(t.waiting, func(a, b ID) int {
		return int(t.rows[b].priority) - int(t.rows[a].priority)
	})
	kept := t.waiting[:0]
	for _, id := range t.waiting {
		if !t.decide(t.rows[id], now, servers, out) {
			kept = append(kept, id)
		}
	}
	t.waiting = kept
}

// decide grants or refuses one request. It reports whether the request is
// decided.
func (t *Table) decide(r *row, now time.Time, servers *zfserver.Table, out []zf.CentreName) bool {
	if candidates := t.candidates(r, servers, out); len(candidates) > 0 {
		if i := t.config.Picker.Pick(candidates, t.config.Random); i >= 0 {
			r.state = StateRunning
			r.server = candidates[i].Server
			t.inUse[r.server]++
			t.decisions = append(t.decisions, Decision{
				ID:      r.request.ID,
				Server:  r.server,
				Granted: true,
			})
			return true
		}
	}
	if now.Before(r.expires) {
		return false
	}
	t.decisions = append(t.decisions, Decision{
		ID:         r.request.ID,
		Server:     zf.NoServer,
		Reason:     zf.ReasonWaitExpired,
		RetryAfter: t.retryAfter(),
	})
	delete(t.rows, r.request.ID)
	return true
}

func (t *Table) candidates(r *row, servers *zfserver.Table, out []zf.CentreName) []zf.Candidate {
	candidates := make([]zf.Candidate, 0, 16)
	for _, server := range servers.Rows() {
		if server.Service != r.request.Service || server.Weight() <= 0 || slices.Contains(out, server.Centre) ||
			slices.Contains(r.request.Avoid, server.ID) || !server.Web.IsValid() {
			continue
		}
		candidates = append(candidates, zf.Candidate{
			Server: server.ID,
			Free:   server.Capacity.Slots - t.inUse[server.ID],
			Load:   server.Load,
		})
	}
	return candidates
}
