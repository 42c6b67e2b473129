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

// isolationTimeout is the silence of all other instances after which this one is
// taken for cut off, and leaves its traffic to those that know more. A round
// through all addresses that it knows takes about two seconds.
const isolationTimeout = 2500 * time.Millisecond

// loadInterval is the time between two exchanges of loads: flows send a request each
// one to three seconds.
const loadInterval = time.Second

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
	// synced tells that a control instance has told all it knows.
	synced bool
	// lastReply is when another instance last told anything, peers whether there
	// have been other entry instances.
	lastReply time.Time
	hasPeers  bool
	isolated  bool
	// entryCount is the number of entry instances that share what a cold backend
	// server bears.
	entryCount int
	// restored is when each data centre was last brought back.
	restored map[zf.CentreName]time.Time
	stop     plannedStop
	// loadsReported is when the requests to backend servers were last told.
	loadsReported time.Time
	published     revisions
}

// restoredColdTime is how long backend servers of a data centre that was brought back
// count as cold: they may have become so while they were empty, and tell it with
// one of their next heartbeats.
const restoredColdTime = 3 * time.Second

// revisions tells whether a view is out of date.
type revisions struct {
	servers    uint64
	index      uint64
	entryCount int
	// synced is World.synced.
	synced bool
	// restored is the number of data centres brought back lately.
	restored int
}

// New returns a world without state.
func New(config Config) *World {
	config.Registry.Subscriber = true
	return &World{
		config:   config,
		registry: zfregistry.New(config.Registry),
		restored: make(map[zf.CentreName]time.Time),
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
	if now.Sub(w.loadsReported) < loadInterval {
		return nil
	}
	w.loadsReported = now
	return w.config.Observer.Loads()
}

// Mapper returns the mapper, whose Route is for the traffic goroutines.
func (w *World) Mapper() zf.Mapper { return w.config.Mapper }

// State returns the control state in force here.
func (w *World) State() State { return w.state }

// ApplyReply takes news of a control instance. It reports whether the control state
// changed; an older one than that in force never replaces it.
func (w *World) ApplyReply(reply Reply, now time.Time) bool {
	w.lastReply = now
	w.hasPeers = w.hasPeers || reply.HasPeers
	w.isolated = false
	if reply.EntryCount > 0 {
		w.entryCount = reply.EntryCount
	}
	w.registry.Merge(reply.Changes, now)
	if reply.Loads != nil {
		w.config.Observer.SetTotalLoads(reply.Loads, now)
	}
	changed := reply.State != nil && reply.State.Index > w.state.Index
	if changed {
		w.applyState(*reply.State, now)
	}
	w.synced = w.synced || !reply.Changes.More
	w.stop.begun = w.stop.begun || w.stop.requested && reply.StopPermitted
	w.publish(now)
	return changed
}

func (w *World) applyState(state State, now time.Time) {
	for _, centre := range w.state.Out {
		if !slices.Contains(state.Out, centre) {
			w.restored[centre] = now
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
	return !w.stop.begun && !w.isolated && w.synced && w.state.Bundle != nil && w.config.Mapper.Synced()
}

// Isolated reports whether no other instance has told anything lately, though
// there are some.
func (w *World) Isolated() bool { return w.isolated }

// Tick runs every system once.
func (w *World) Tick(now time.Time) {
	w.isolated = w.synced && w.hasPeers && now.Sub(w.lastReply) >= isolationTimeout
	w.registry.Tick(now, time.Time{})
	w.beginStopIfDue(now)
	w.publish(now)
}

// publish hands the mapper the tables, with a new view where they changed.
func (w *World) publish(now time.Time) {
	current := revisions{
		servers:    w.registry.ContentRevision(),
		index:      w.state.Index,
		entryCount: w.entryCount,
		synced:     w.synced,
		restored:   w.recentlyRestored(now),
	}
	if w.view.Revision == 0 || current != w.published {
		w.published = current
		w.view.RoutesKnown = w.synced && w.state.Bundle != nil
		w.view.Routes = w.routes
		w.view.Servers = w.limitColdServers(w.registry.View(w.state.Out), now)
		w.view.Revision++
	}
	w.config.Mapper.Tick(now, w.view)
}

// recentlyRestored returns the number of data centres that were brought back lately.
func (w *World) recentlyRestored(now time.Time) int {
	count := 0
	for centre, at := range w.restored {
		if now.Sub(at) >= restoredColdTime {
			delete(w.restored, centre)
			continue
		}
		count++
	}
	return count
}

// limitColdServers gives each cold backend server this instance's share of the new flows
// that it bears.
func (w *World) limitColdServers(servers []zf.ServerView, now time.Time) []zf.ServerView {
	if w.state.Bundle == nil {
		return servers
	}
	for i := range servers {
		s := &servers[i]
		service := w.state.Bundle.Find(s.Service)
		cold := s.State == zf.ServerCold || now.Sub(w.restored[s.Centre]) < restoredColdTime
		if cold && service != nil {
			s.OpeningRate = service.Pool.ColdRate / float64(max(w.entryCount, 1))
		}
	}
	return servers
}
