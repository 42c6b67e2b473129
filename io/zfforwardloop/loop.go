// Package zfforwardloop runs an entry instance of the forward role, which forwards
// packets by their cookies: the control goroutine, which owns its tables, and the
// methods that enqueue events for it.
package zfforwardloop

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfevent"
)

const (
	// tickInterval is the time between two runs of all systems, among them the mapper,
	// which decays loads.
	tickInterval = 100 * time.Millisecond
	// inboxCapacity bounds the inbox; all its writers block until there is room.
	inboxCapacity = 64
)

// Config configures a Loop.
type Config struct {
	World *zfforward.World
	// Decode parses the bundle of a control state's document.
	Decode func(document []byte) (*zfbundle.Bundle, error)
	// Source identifies this run of the process to its subscribers.
	Source uint64
	Clock  zf.Clock
	Logger *zfevent.Logger
	// Meter measures the use of resources; it is nil if the settings state none.
	Meter zf.Meter
	// Admission is the admission of the world's mapper, or nil if it has none. Its counts
	// are published as Counters.
	Admission *zfadmission.Callers
	// Counters count the changes of verdicts and hold the gauges of resources.
	Counters *zfcounter.Set
}

// Loop is the control goroutine of an entry instance.
type Loop struct {
	config Config
	inbox  chan func(now time.Time)
	done   chan struct{}
	// stopBegun is closed once a planned stop has begun.
	stopBegun chan struct{}
	// offerHandler receives the address of a control instance that has started.
	offerHandler func(control netip.AddrPort)
	// flowsEndedHandler receives the open flows whose backend servers were found dead,
	// to reset them at their callers.
	flowsEndedHandler func(ended []zf.EndedFlow)
	// routableHandler is called once the mapper can route packets. It returns the number of
	// those that had waited.
	routableHandler func() int
	startedAt       time.Time
	// strainHandler receives each change of the strain.
	strainHandler func(strain zf.Strain)
	resources     resourceState
	feed          *zfcluster.Feed
	quorum        quorumStatus
	// ready and index are copies of the world's fields for other goroutines.
	ready atomic.Bool
	index atomic.Uint64
	// lastReply is the time of the last fetch reply, in Unix nanoseconds.
	lastReply atomic.Int64
	// cachedDocument caches the last decoded document. Only the goroutine that calls
	// ApplyReply uses it.
	cachedDocument *decodedDocument
	// loggedServers holds the state last logged of each backend server,
	// loggedContentRevision the registry's content revision at that time.
	loggedServers         map[zf.ServerID]loggedServer
	loggedContentRevision uint64
	// loggedCentres holds the unresponsive data centres last logged.
	loggedCentres []zf.CentreName
	// loggedWaiting is set if the last logged state is that this instance waits to enter
	// the rotation.
	loggedWaiting bool
	// stopBegunClosed is set once stopBegun is closed.
	stopBegunClosed bool
}

// decodedDocument is the last document that was decoded. It is cached because every
// change of the data centres taken out sends the same document again.
type decodedDocument struct {
	document string
	bundle   *zfbundle.Bundle
}

// New returns a loop that is not running yet.
func New(config Config) *Loop {
	l := &Loop{
		config: config,
		inbox:  make(chan func(now time.Time), inboxCapacity),
		done:   make(chan struct{}),

		stopBegun: make(chan struct{}),

		loggedServers: make(map[zf.ServerID]loggedServer),
		startedAt:     config.Clock.Now(),
	}
	l.feed = zfcluster.NewFeed(zfcluster.FeedConfig{
		Source: config.Source,
		Data:   l,
	})
	return l
}

// OnControlOffered sets the handler that receives the address of each control instance
// that has started. Call it before the instance answers calls of others.
func (l *Loop) OnControlOffered(handler func(control netip.AddrPort)) { l.offerHandler = handler }

// OnFlowsEnded sets the handler that receives the open flows whose backend servers were
// found dead, to reset them at their callers. Call it before Run.
func (l *Loop) OnFlowsEnded(handler func(ended []zf.EndedFlow)) { l.flowsEndedHandler = handler }

// OnRoutable sets the handler that is called once the mapper can route packets and returns
// the number of those that had waited. Call it before Run.
func (l *Loop) OnRoutable(handler func() int) { l.routableHandler = handler }

// Run applies the events in the inbox and runs all systems each tick until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		due := l.config.Clock.Now().Add(tickInterval)
		tick, release := l.config.Clock.After(tickInterval)
		if !l.applyUntil(ctx, tick) {
			release()
			return
		}
		now := l.config.Clock.Now()
		l.measure(now.Sub(due), now)
		l.config.World.Tick(now)
		if l.config.Admission != nil {
			l.config.Counters.SetAdmissions(l.config.Admission.Counts())
		}
		l.flush()
	}
}

// applyUntil applies events until the tick, which goes before events that are waiting;
// it returns false when ctx is done.
func (l *Loop) applyUntil(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-tick:
			return true
		default:
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case apply := <-l.inbox:
			apply(l.config.Clock.Now())
			l.flush()
		}
	}
}

// flush passes on the effects of events and systems: it resets flows that have ended,
// answers fetches, and publishes and logs changes.
func (l *Loop) flush() {
	if l.routableHandler != nil && l.config.World.Mapper().Synced() {
		after := l.config.Clock.Now().Sub(l.startedAt)
		l.config.Counters.StartTime.Update(int64(after))
		l.config.Logger.Entry(zfevent.Routable).Dur("after", after).Int("held", l.routableHandler()).Msg("")
		l.routableHandler = nil
	}
	if ended := l.config.World.EndedFlows(); len(ended) > 0 && l.flowsEndedHandler != nil {
		l.flowsEndedHandler(ended)
	}
	l.feed.AnswerFetches(l.config.Clock.Now())
	l.publishChanges()
}

// enqueue waits for room in the inbox. It returns false if the loop has ended.
func (l *Loop) enqueue(apply func(now time.Time)) bool {
	select {
	case l.inbox <- apply:
		return true
	case <-l.done:
		return false
	}
}

// do runs a function on the control goroutine and waits until it returns or the loop
// has ended.
func (l *Loop) do(apply func(now time.Time)) {
	finished := make(chan struct{})
	if !l.enqueue(func(now time.Time) {
		apply(now)
		close(finished)
	}) {
		return
	}
	select {
	case <-finished:
	case <-l.done:
	}
}

// Mapper returns the mapper. The traffic goroutines call only its Route.
func (l *Loop) Mapper() zf.Mapper { return l.config.World.Mapper() }

// StateAge returns the index of the control state in force and the time since the last
// fetch reply.
func (l *Loop) StateAge(now time.Time) (uint64, time.Duration) {
	return l.index.Load(), now.Sub(time.Unix(0, l.lastReply.Load()))
}

// Ready reports whether the instance may receive traffic.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Stop requests a planned stop and returns once it has begun and the instance is no
// longer ready: when it has the stop permit, can't get one, or has waited as long as
// wait.
func (l *Loop) Stop(wait time.Duration) {
	start := l.config.Clock.Now()
	l.enqueue(func(now time.Time) { l.config.World.Stop(wait, now) })
	select {
	case <-l.stopBegun:
	case <-l.done:
	}
	l.config.Logger.Entry(zfevent.StopBegun).Dur("waited", l.config.Clock.Now().Sub(start)).Dur("most", wait).Msg("")
}

// FetchState returns what the next fetch reports. With withDigests it includes the
// digests of all backend servers.
func (l *Loop) FetchState(withDigests bool) zfcluster.FetchState {
	state := zfcluster.FetchState{
		Index: l.index.Load(),
	}
	l.do(func(now time.Time) {
		state.Ready = l.config.World.Ready()
		state.Able = l.config.World.Able()
		state.Stopping = l.config.World.StopPending()
		state.Strain = l.config.World.Strain()
		state.StepOut = l.config.World.StepOutRequested()
		state.Outcomes = l.config.World.Outcomes()
		state.Loads = l.config.World.Loads(now)
		if withDigests {
			state.Digests = l.config.World.Registry().Digests()
		}
	})
	return state
}

// ApplyReply applies the reply to a fetch. It returns the backend servers that the
// replying instance lacks.
func (l *Loop) ApplyReply(reply zfcluster.FetchReply) []zfregistry.Update {
	worldReply := zfforward.Reply{
		Changes:       reply.Changes,
		HasPeers:      len(reply.Peers) > 0,
		EntryCount:    reply.Entries,
		EntryPosition: reply.Position,
		Loads:         reply.Loads,
		Departures:    reply.Departures,
		Limits:        reply.Limits,
		StopPermitted: reply.Turn,
		Wait:          reply.Wait,
		Restorations:  reply.Restorations,

		StepOutPermitted: reply.StepOut,
	}
	if reply.Index > l.index.Load() {
		state, err := l.decodeState(reply)
		if err != nil {
			l.config.Logger.Entry(zfevent.StateRefused).Uint64("index", reply.Index).Err(err).Msg("")
		} else {
			worldReply.State = state
		}
	}
	var missing []zfregistry.Update
	l.do(func(now time.Time) {
		l.lastReply.Store(now.UnixNano())
		l.quorum = quorumStatus{
			lastContact: now.Add(-reply.Contact),
			controls:    reply.Controls,
		}
		if l.config.World.ApplyReply(worldReply, now) {
			l.stateApplied()
		}
		missing = l.config.World.Registry().MissingFrom(reply.Changes, now)
	})
	return missing
}

// decodeState returns the control state of a fetch reply.
func (l *Loop) decodeState(reply zfcluster.FetchReply) (*zfforward.State, error) {
	state := &zfforward.State{
		Index: reply.Index,
		Out:   reply.Out,
	}
	if reply.Document == nil {
		return state, nil
	}
	cached := l.cachedDocument
	if cached == nil || cached.document != string(reply.Document) {
		bundle, err := l.config.Decode(reply.Document)
		if err != nil {
			return nil, err
		}
		cached = &decodedDocument{
			document: string(reply.Document),
			bundle:   bundle,
		}
		l.cachedDocument = cached
	}
	state.Bundle = cached.bundle
	state.Document = reply.Document
	return state, nil
}

// stateApplied publishes the index of a control state that came into force, and logs it.
func (l *Loop) stateApplied() {
	state := l.config.World.State()
	l.index.Store(state.Index)
	entry := l.config.Logger.Entry(zfevent.StateApplied).Uint64("index", state.Index).Int("out", len(state.Out))
	if state.Bundle != nil {
		entry = entry.Uint64("version", state.Bundle.Version).Int("routes", len(state.Bundle.Routes))
	}
	entry.Msg("")
}
