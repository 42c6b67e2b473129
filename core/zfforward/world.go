// Package zfforward combines the tables and systems of an entry instance that
// fetches the backend servers and the control state from control instances and
// forwards flows without per-flow state. It is the alternative to zfinstance,
// whose instances exchange members, backend servers and slot tables among
// themselves. A World belongs to the control goroutine.
package zfforward

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfload"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfresource"
	"zinniafront/core/zfrestoration"
)

// Config holds the dependencies of a world.
type Config struct {
	Self     zf.InstanceName
	Centre   zf.CentreName
	Mapper   zf.Mapper
	Observer zf.Observer
	Registry zfregistry.Config
	// Leaving is set if departures are applied.
	Leaving bool
}

// State is a control state that an instance puts in force.
type State struct {
	// Index is the index of the state's entry in the replicated log.
	Index  uint64
	Bundle *zfbundle.Bundle
	// Document is the compressed document of Bundle, as it was fetched.
	Document []byte
	// Out holds the data centres taken out of service.
	Out []zf.CentreName
}

// isolationTimeout is the time without a reply of any other instance after which
// this one considers itself isolated and is no longer ready, so that its traffic goes
// to instances with current state. Trying all known addresses takes about two seconds.
const isolationTimeout = 2500 * time.Millisecond

// Reply is the reply of a control instance, or of another entry instance, to a fetch.
type Reply struct {
	// HasPeers is true if there are other entry instances.
	HasPeers bool
	// EntryCount is the number of entry instances, this one included, or 0 if it is
	// not known.
	EntryCount int
	// EntryPosition is the place of this instance among them, from 1 on, or 0 if it is not
	// known.
	EntryPosition int
	Changes       zfregistry.Changes
	// Loads are the total loads of the data centre, or nil.
	Loads []zf.ServerLoad
	// Departures and Limits are the decisions for the new flows of the data centre's
	// callers. They replace earlier ones if Loads is set.
	Departures []zf.Departure
	Limits     []zf.AdmissionLimit
	// StopPermitted grants the stop permit that this instance requested.
	StopPermitted bool
	// StepOutPermitted grants the permit to leave the rotation that it requested.
	StepOutPermitted bool
	// Wait is set if this instance must not enter the rotation yet.
	Wait bool
	// Restorations are the data centres that were brought back into service recently.
	Restorations []zfrestoration.Restoration
	// State is nil if it has not changed.
	State *State
}

// World holds the tables and systems of one entry instance.
type World struct {
	config   Config
	registry *zfregistry.Table
	state    State
	routes   []zf.RouteView
	view     zf.View
	// synced is true once a reply without Changes.More was applied: this instance
	// then had all rows of the replying one.
	synced bool
	// lastReply is when the last reply was received. hasPeers is true once a reply
	// named other entry instances.
	lastReply time.Time
	hasPeers  bool
	isolated  bool
	// entryCount is the number of entry instances that share the rate of new flows of
	// a cold backend server, entryPosition the place of this one among them.
	entryCount    int
	entryPosition int
	// limitsCold is set if the bundle states such a rate.
	limitsCold bool
	// restorations holds the data centres whose backend servers count as cold.
	restorations *zfrestoration.Table
	stop         plannedStop
	entry        rotationEntry
	// resources holds the use of this instance's resources, strain whether they suffice.
	resources *zfresource.Table
	strain    zf.Strain
	shedder   zfresource.Shedder
	stepOut   stepOut
	// loadsReported is when the loads of backend servers were last reported.
	loadsReported time.Time
	limits        receivedLimits
	// loadInterval is the time between two such reports.
	loadInterval  time.Duration
	viewRevisions revisions
	// viewBuilt is when the view was last rebuilt.
	viewBuilt  time.Time
	departures departures
}

// revisions identifies the inputs of a view. A view is rebuilt when one of them has
// changed.
type revisions struct {
	servers       uint64
	index         uint64
	entryCount    int
	entryPosition int
	// synced is World.synced.
	synced bool
	// restorations is the revision of World.restorations.
	restorations uint64
	// departures is departures.revision.
	departures uint64
}

// urgent reports whether a view has to be rebuilt at once: the control state has changed, or
// what this instance knows of it.
func (r revisions) urgent(earlier revisions) bool {
	return r.index != earlier.index || r.synced != earlier.synced || r.restorations != earlier.restorations || r.entryCount != earlier.entryCount
}

// A view is built from the rows of all backend servers, of which hundreds may change in a few
// seconds. Up to promptRows it is rebuilt with each change; each row beyond them adds
// viewIntervalPerRow to the minimum time between two views.
const (
	promptRows         = 1000
	viewIntervalPerRow = 100 * time.Microsecond
)

// viewInterval returns the minimum time between two views that differ in backend servers only.
func (w *World) viewInterval() time.Duration {
	return time.Duration(max(len(w.view.Servers)-promptRows, 0)) * viewIntervalPerRow
}

// New returns a world without control state.
func New(config Config) *World {
	config.Registry.Subscriber = true
	return &World{
		config:       config,
		registry:     zfregistry.New(config.Registry),
		restorations: zfrestoration.New(),
		resources:    zfresource.New(),
		loadInterval: zfload.ReportInterval(nil),
		view: zf.View{
			Self:   config.Self,
			Centre: config.Centre,
		},
	}
}

// Self returns the name of this instance.
func (w *World) Self() zf.InstanceName { return w.config.Self }

// Centre returns the data centre of this instance.
func (w *World) Centre() zf.CentreName { return w.config.Centre }

// Registry returns the table of backend servers.
func (w *World) Registry() *zfregistry.Table { return w.registry }

// Outcomes returns the outcomes of requests to backend servers that recently left
// some unanswered.
func (w *World) Outcomes() []zf.Outcome { return w.config.Observer.Outcomes() }

// EndedFlows returns the open flows whose backend servers have ended. The
// callers have to be sent resets.
func (w *World) EndedFlows() []zf.EndedFlow { return w.config.Observer.EndedFlows() }

// UnresponsiveCentres returns the data centres whose backend servers have stopped
// answering together.
func (w *World) UnresponsiveCentres(now time.Time) []zf.CentreName {
	return w.config.Observer.UnresponsiveCentres(now)
}

// OpeningVerdicts returns the changes, since the last call, of what this instance infers
// from opening packets.
func (w *World) OpeningVerdicts() []zf.OpeningVerdict { return w.config.Observer.OpeningVerdicts() }

// Loads returns the load of each backend server since the last report, or nil if that was
// less than the interval of reports ago.
func (w *World) Loads(now time.Time) []zf.ServerLoad {
	if now.Sub(w.loadsReported) < w.loadInterval {
		return nil
	}
	w.loadsReported = now
	return w.config.Observer.Loads()
}

// Mapper returns the mapper, whose Route is for the traffic goroutines.
func (w *World) Mapper() zf.Mapper { return w.config.Mapper }

// Restorations returns the data centres that were brought back into service recently.
func (w *World) Restorations(now time.Time) []zfrestoration.Restoration {
	return w.restorations.Restorations(now)
}

// State returns the control state in force on this instance.
func (w *World) State() State { return w.state }

// ApplyReply applies a reply of another instance. It reports whether the control state
// changed; a state with a lower or equal index never replaces the one in force.
func (w *World) ApplyReply(reply Reply, now time.Time) bool {
	w.lastReply = now
	w.hasPeers = w.hasPeers || reply.HasPeers
	w.isolated = false
	if reply.EntryCount > 0 {
		w.entryCount = reply.EntryCount
		w.entryPosition = reply.EntryPosition
	}
	w.registry.Merge(reply.Changes, now)
	w.restorations.Merge(reply.Restorations, now)
	if reply.Loads != nil {
		w.loadInterval = zfload.ReportInterval(reply.Loads)
		w.config.Observer.SetTotalLoads(reply.Loads, now)
		w.departures.update(reply.Departures, w.config.Leaving, now)
		w.limits.replace(reply.Limits, now)
	}
	changed := reply.State != nil && reply.State.Index > w.state.Index
	if changed {
		w.applyState(*reply.State, now)
	}
	w.synced = w.synced || !reply.Changes.More
	w.stop.begun = w.stop.begun || w.stop.requested && reply.StopPermitted
	if reply.StepOutPermitted {
		w.stepOut.permit(now)
	}
	w.tickMapper(now)
	w.entry.update(w.Able(), reply.Wait, now)
	return changed
}

func (w *World) applyState(state State, now time.Time) {
	w.restorations.SetOut(state.Out, now)
	w.state = state
	w.routes = nil
	w.limitsCold = false
	if state.Bundle == nil {
		return
	}
	for _, service := range state.Bundle.Services {
		w.limitsCold = w.limitsCold || service.Pool.ColdRate > 0
	}
	w.routes = make([]zf.RouteView, 0, len(state.Bundle.Routes))
	for _, route := range state.Bundle.Routes {
		w.routes = append(w.routes, route.View())
	}
}

// Ready reports whether the instance may get traffic.
func (w *World) Ready() bool { return w.Able() && w.entry.entered }

// Able reports whether the instance could take traffic: it takes it, or waits until it
// may enter the rotation. One that has stepped out is not able.
func (w *World) Able() bool {
	return !w.stop.begun && !w.stepOut.out && !w.isolated && w.synced && w.state.Bundle != nil && w.config.Mapper.Synced()
}

// Isolated reports whether no reply has been received within isolationTimeout although
// there are other entry instances.
func (w *World) Isolated() bool { return w.isolated }

// Tick runs every system once.
func (w *World) Tick(now time.Time) {
	w.isolated = w.synced && w.hasPeers && now.Sub(w.lastReply) >= isolationTimeout
	w.registry.Tick(now, time.Time{})
	w.stepOut.update(w.strain, w.Ready() && !w.stop.requested, now)
	w.beginStopIfDue(now)
	w.tickMapper(now)
	repliesArrive := now.Sub(w.lastReply) < replyTimeout
	w.entry.update(w.Able(), repliesArrive, now)
}

// tickMapper runs the mapper's tick, with a new view if the inputs of the view changed.
func (w *World) tickMapper(now time.Time) {
	w.departures.expire(now)
	w.restorations.Tick(now)
	current := revisions{
		servers:      w.registry.ContentRevision(),
		index:        w.state.Index,
		synced:       w.synced,
		restorations: w.restorations.Revision(),
		departures:   w.departures.revision,
	}
	if w.limitsCold {
		current.entryCount = w.entryCount
		current.entryPosition = w.entryPosition
	}
	if w.view.Revision == 0 || current != w.viewRevisions && (current.urgent(w.viewRevisions) || now.Sub(w.viewBuilt) >= w.viewInterval()) {
		w.viewRevisions = current
		w.viewBuilt = now
		w.view.RoutesKnown = w.synced && w.state.Bundle != nil
		w.view.Routes = w.routes
		w.view.Departures = w.departures.inForce
		w.view.EntryCount = max(w.entryCount, 1)
		w.view.EntryPosition = w.entryPosition
		w.view.Servers = w.limitColdServers(w.registry.View(w.state.Out))
		w.view.Revision++
	}
	w.view.Limits = w.limits.inForce(now)
	w.config.Mapper.Tick(now, w.view)
}

// limitColdServers limits the rate of new flows of each cold backend server to this
// instance's share of the rate that the server sustains.
func (w *World) limitColdServers(servers []zf.ServerView) []zf.ServerView {
	if w.state.Bundle == nil {
		return servers
	}
	for i := range servers {
		s := &servers[i]
		service := w.state.Bundle.Find(s.Service)
		cold := s.Cold || w.restorations.IsRecent(s.Centre)
		if cold && service != nil {
			s.OpeningRate = service.Pool.ColdRate / float64(max(w.entryCount, 1))
		}
	}
	return servers
}
