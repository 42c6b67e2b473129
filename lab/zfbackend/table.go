// Package zfbackend is a stand-in for a backend server: it announces itself,
// holds connections, runs requests in its slots, drains, starts cold, fails for
// a while if it is overloaded while cold, and records the requests that it ran.
package zfbackend

import (
	"time"

	zf "zinniafront"
	"zinniafront/lab/zfsegment"
	"zinniafront/lab/zftopology"
)

const (
	// coldDuration is how long a cold backend server stays cold.
	coldDuration = 5 * time.Second
	// maxColdOpens is how many connections a cold backend server can open in
	// one second.
	maxColdOpens = 6
	// overloadOutage is how long it doesn't respond after an overload.
	overloadOutage = 3 * time.Second
	// idleTimeout is how long a connection without packets is kept.
	idleTimeout = time.Minute
)

// Stats holds the counts of a backend server, which it writes to a file at its
// end.
type Stats struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	Centre  string `json:"centre"`
	Opened  int    `json:"opened"`
	Closed  int    `json:"closed"`
	Held    int    `json:"held"`
	Most    int    `json:"most"`
	// Foreign counts packets for another service, Unknown those without a
	// connection, Late openings later than drainGrace after the start of a
	// drain, Falls the overloads while cold.
	Foreign int `json:"foreign"`
	Unknown int `json:"unknown"`
	Late    int `json:"late"`
	Falls   int `json:"falls"`
	// Runs counts the requests that ran, Doubled those whose key had run
	// before.
	Runs    int `json:"runs"`
	Doubled int `json:"doubled"`
	// MostSlots is the highest number of concurrent requests, Over the number
	// of requests refused because all slots were in use or the backend server
	// was overloaded.
	MostSlots int `json:"slots"`
	Over      int `json:"over"`
	// LastPacket is when the last packet arrived, in Unix milliseconds.
	LastPacket int64 `json:"last"`
}

// drainGrace is how long after the start of a drain flows may still be opened.
const drainGrace = 3 * time.Second

// Table holds the connections and requests of one backend server. It belongs
// to the control goroutine.
type Table struct {
	server        zftopology.Server
	frontend      *zftopology.Service
	conns         map[zf.Flow]time.Time
	requestKeys   map[string]bool
	running       int
	state         zf.ServerState
	coldSince     time.Time
	overloadedAt  time.Time
	drainStart    time.Time
	opensInWindow int
	windowStart   time.Time
	stats         Stats
}

// NewTable returns the table of a backend server.
func NewTable(server zftopology.Server, frontend *zftopology.Service, state zf.ServerState, now time.Time) *Table {
	t := &Table{
		server:      server,
		frontend:    frontend,
		conns:       make(map[zf.Flow]time.Time),
		requestKeys: make(map[string]bool),
		state:       state,
		stats: Stats{
			Server:  server.Name,
			Service: server.Service,
			Centre:  server.Centre,
		},
	}
	if state == zf.ServerCold {
		t.coldSince = now
	}
	return t
}

// Drain makes the backend server announce that it drains.
func (t *Table) Drain(now time.Time) {
	t.state = zf.ServerDraining
	t.drainStart = now
}

// SetCold makes the backend server cold without announcing it.
func (t *Table) SetCold(now time.Time) { t.coldSince = now }

func (t *Table) isCold(now time.Time) bool {
	return !t.coldSince.IsZero() && now.Sub(t.coldSince) < coldDuration
}

func (t *Table) isOverloaded(now time.Time) bool {
	return !t.overloadedAt.IsZero() && now.Sub(t.overloadedAt) < overloadOutage
}

// Tick removes idle connections and ends a cold start.
func (t *Table) Tick(now time.Time) {
	for flow, last := range t.conns {
		if now.Sub(last) >= idleTimeout {
			delete(t.conns, flow)
		}
	}
	if t.state == zf.ServerCold && !t.isCold(now) && !t.isOverloaded(now) {
		t.state = zf.ServerWarm
	}
}

// HandlePacket handles one packet and returns the response to it, if there is
// one.
func (t *Table) HandlePacket(in zfsegment.Segment, now time.Time) (zfsegment.Segment, bool) {
	t.stats.LastPacket = now.UnixMilli()
	if t.isOverloaded(now) {
		return zfsegment.Segment{}, false
	}
	out := zfsegment.Segment{
		Source:      in.Destination,
		Destination: in.Source,
		ACK:         true,
		Number:      in.Number,
		Payload:     []byte(t.server.Name),
	}
	if in.Destination != t.frontend.Frontend {
		t.stats.Foreign++
		out.RST = true
		return out, true
	}
	if in.SYN {
		return t.openConnection(in, out, now)
	}
	flow := in.Flow()
	if _, ok := t.conns[flow]; !ok {
		if in.RST {
			return zfsegment.Segment{}, false
		}
		t.stats.Unknown++
		out.RST = !in.FIN
		out.FIN = in.FIN
		return out, true
	}
	t.conns[flow] = now
	if in.FIN || in.RST {
		delete(t.conns, flow)
		t.stats.Closed++
		out.FIN = true
	}
	return out, !in.RST
}

func (t *Table) openConnection(in, out zfsegment.Segment, now time.Time) (zfsegment.Segment, bool) {
	out.SYN = true
	flow := in.Flow()
	if _, ok := t.conns[flow]; ok {
		return out, true // A retransmission; the first response was lost.
	}
	if t.state == zf.ServerDraining && now.Sub(t.drainStart) > drainGrace {
		t.stats.Late++
	}
	if now.Sub(t.windowStart) >= time.Second {
		t.windowStart = now
		t.opensInWindow = 0
	}
	t.opensInWindow++
	if t.isCold(now) && t.opensInWindow > maxColdOpens {
		t.overload(now)
		return zfsegment.Segment{}, false
	}
	t.conns[flow] = now
	t.stats.Opened++
	t.stats.Most = max(t.stats.Most, len(t.conns))
	return out, true
}

// overload drops every connection and stops all responses for overloadOutage.
func (t *Table) overload(now time.Time) {
	t.overloadedAt = now
	t.coldSince = now
	t.stats.Falls++
	clear(t.conns)
}

// BeginRequest starts a request. It reports false if no slot is free or the
// backend server is overloaded.
func (t *Table) BeginRequest(key string, now time.Time) bool {
	if t.isOverloaded(now) || t.running >= t.frontend.Slots {
		t.stats.Over++
		return false
	}
	t.running++
	t.stats.MostSlots = max(t.stats.MostSlots, t.running)
	t.stats.Runs++
	if key != "" && t.requestKeys[key] {
		t.stats.Doubled++
	}
	t.requestKeys[key] = true
	return true
}

// EndRequest ends a request and frees its slot.
func (t *Table) EndRequest() { t.running-- }

// Keys returns the keys of the requests that ran.
func (t *Table) Keys() []string {
	keys := make([]string, 0, len(t.requestKeys))
	for key := range t.requestKeys {
		if key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// Load returns the share of capacity in use.
func (t *Table) Load() float64 {
	return min(1, max(float64(t.running)/float64(t.frontend.Slots), float64(len(t.conns))/float64(t.frontend.Limit)))
}

// State returns the state that the backend server announces.
func (t *Table) State() zf.ServerState { return t.state }

// Stats returns the counts of the backend server.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Held = len(t.conns)
	return stats
}
