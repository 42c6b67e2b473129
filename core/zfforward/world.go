// Package zfforward joins the tables and systems of an entry instance that
// learns of backend servers and of the control state from control instances,
// and sends flows on without remembering them. A World belongs to the control
// goroutine.
package zfforward

import (
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfregistry"
)

// Config holds what a world is built from.
type Config struct {
	Self     zf.InstanceName
	Centre   zf.CentreName
	Mapper   zf.Mapper
	Observer zf.Observer
	Registry zfregistry.Config
}

// State is the control state as an instance serves it.
type State struct {
	// Index is that of the entry in the replicated log.
	Index  uint64
	Bundle *zfbundle.Bundle
	// Document is what Bundle was read from.
	Document []byte
	Out      []zf.CentreName
}

// isolatedAfter is the silence of all other instances after which this one is
// taken for cut off, and leaves its traffic to those that know more. A round
// through all addresses that it knows takes about two seconds.
const isolatedAfter = 2500 * time.Millisecond

// loadEvery is the time between two exchanges of loads: flows send a request each
// one to three seconds.
const loadEvery = time.Second

// Reply is what a control instance tells, or another entry instance.
type Reply struct {
	// HasPeers tells of other entry instances.
	HasPeers bool
	// EntryCount is the number of entry instances, this one included, or 0 if that
	// is not known.
	EntryCount int
	Changes    zfregistry.Changes
	// Loads are those of all entry instances of the data centre, or nil.
	Loads []zf.ServerLoad
	// StopPermitted tells that it is this instance's turn to stop.
	StopPermitted bool
	// State is nil where it is the same as before.
	State *State
}

// World is one entry instance's tables and systems.
type World struct {
	config   Config
	registry *zfregistry.Table
	state    State
	routes   []zf.RouteView
	view     zf.View
	// informed tells that a control instance has told all it knows.
	informed bool
	// heard is when another instance last told anything, peers whether there
	// have been other entry instances.
	heard    time.Time
	peers    bool
	isolated bool
	// entries is the number of entry instances that share what a cold backend
	// server bears.
	entries int
	// returned is when each data centre was last brought back.
	returned map[zf.CentreName]time.Time
	stop     planned
	// loadsTold is when the requests to backend servers were last told.
	loadsTold time.Time
	seen      revisions
}

// returnCare is how long backend servers of a data centre that was brought back
// count as cold: they may have become so while they were empty, and tell it with
// one of their next heartbeats.
const returnCare = 3 * time.Second

// revisions tells whether a view is out of date.
type revisions struct {
	servers uint64
	index   uint64
	entries int
	// informed is World.informed.
	informed bool
	// returning is the number of data centres brought back lately.
	returning int
}

// New returns a world without state.
func New(config Config) *World {
	config.Registry.Subscriber = true
	return &World{
		config:   config,
		registry: zfregistry.New(config.Registry),
		returned: make(map[zf.CentreName]time.Time),
		view: zf.View{
			Self:   config.Self,
			Centre: config.Centre,
		},
	}
}

// Registry returns the table of backend servers.
func (w *World) Registry() *zfregistry.Table { return w.registry }

// Outcomes returns what became of requests to backend servers that left some
// unanswered lately.
func (w *World) Outcomes() []zf.Outcome { return w.config.Observer.Outcomes() }

// EndedFlows returns the last packets of flows whose callers have to hear that they ended.
func (w *World) EndedFlows() []zf.Packet { return w.config.Observer.EndedFlows() }

// Loads returns the requests to each backend server since the last call, or nil if
// that was told lately.
func (w *World) Loads(now time.Time) []zf.ServerLoad {
	if now.Sub(w.loadsTold) < loadEvery {
		return nil
	}
	w.loadsTold = now
	return w.config.Observer.Loads()
}

// Mapper returns the mapper, whose Route is for the traffic goroutines.
func (w *World) Mapper() zf.Mapper { return w.config.Mapper }

// State returns the control state in force here.
func (w *World) State() State { return w.state }

// ApplyReply takes news of a control instance. It reports whether the control state
// changed; an older one than that in force never replaces it.
func (w *World) ApplyReply(news Reply, now time.Time) bool {
	w.heard = now
	w.peers = w.peers || news.HasPeers
	w.isolated = false
	if news.EntryCount > 0 {
		w.entries = news.EntryCount
	}
	w.registry.Merge(news.Changes, now)
	if news.Loads != nil {
		w.config.Observer.SetTotalLoads(news.Loads, now)
	}
	changed := news.State != nil && news.State.Index > w.state.Index
	if changed {
		w.enforce(*news.State, now)
	}
	w.informed = w.informed || !news.Changes.More
	w.stop.begun = w.stop.begun || w.stop.asked && news.StopPermitted
	w.publish(now)
	return changed
}

func (w *World) enforce(state State, now time.Time) {
	for _, centre := range w.state.Out {
		if !slices.Contains(state.Out, centre) {
			w.returned[centre] = now
		}
	}
	w.state = state
	w.routes = nil
	if state.Bundle == nil {
		return
	}
	w.routes = make([]zf.RouteView, 0, len(state.Bundle.Routes))
	for _, route := range state.Bundle.Routes {
		w.routes = append(w.routes, route.View())
	}
}

// Ready reports whether the instance may get traffic.
func (w *World) Ready() bool {
	return !w.stop.begun && !w.isolated && w.informed && w.state.Bundle != nil && w.config.Mapper.Synced()
}

// Isolated reports whether no other instance has told anything lately, though
// there are some.
func (w *World) Isolated() bool { return w.isolated }

// Tick runs every system once.
func (w *World) Tick(now time.Time) {
	w.isolated = w.informed && w.peers && now.Sub(w.heard) >= isolatedAfter
	w.registry.Tick(now, time.Time{})
	w.waitTurn(now)
	w.publish(now)
}

// publish hands the mapper the tables, with a new view where they changed.
func (w *World) publish(now time.Time) {
	seen := revisions{
		servers:   w.registry.ContentRevision(),
		index:     w.state.Index,
		entries:   w.entries,
		informed:  w.informed,
		returning: w.returning(now),
	}
	if w.view.Revision == 0 || seen != w.seen {
		w.seen = seen
		w.view.RoutesKnown = w.informed && w.state.Bundle != nil
		w.view.Routes = w.routes
		w.view.Servers = w.limit(w.registry.View(w.state.Out), now)
		w.view.Revision++
	}
	w.config.Mapper.Tick(now, w.view)
}

// returning returns the number of data centres that were brought back lately.
func (w *World) returning(now time.Time) int {
	count := 0
	for centre, at := range w.returned {
		if now.Sub(at) >= returnCare {
			delete(w.returned, centre)
			continue
		}
		count++
	}
	return count
}

// limit gives each cold backend server this instance's share of the new flows
// that it bears.
func (w *World) limit(servers []zf.ServerView, now time.Time) []zf.ServerView {
	if w.state.Bundle == nil {
		return servers
	}
	for i := range servers {
		s := &servers[i]
		service := w.state.Bundle.Find(s.Service)
		cold := s.State == zf.ServerCold || now.Sub(w.returned[s.Centre]) < returnCare
		if cold && service != nil {
			s.OpeningRate = service.Pool.ColdRate / float64(max(w.entries, 1))
		}
	}
	return servers
}
