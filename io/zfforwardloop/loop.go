// Package zfforwardloop runs one entry instance that forwards flows by cookie:
// the control goroutine that owns its tables, and the ways into its inbox.
package zfforwardloop

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfevent"
)

const (
	// tickInterval is the time between two runs of all systems; loads decay by it.
	tickInterval = 100 * time.Millisecond
	// inboxCapacity bounds the inbox; its only writers wait for room.
	inboxCapacity = 64
)

// Config holds what a loop is built from.
type Config struct {
	World *zfforward.World
	// Decode returns the bundle of a document in the control state.
	Decode func(document []byte) (*zfbundle.Bundle, error)
	// Source identifies this run of the process to those who follow it.
	Source uint64
	Clock  zf.Clock
	Logger *zfevent.Logger
}

// Loop is the control goroutine.
type Loop struct {
	config Config
	inbox  chan func(now time.Time)
	done   chan struct{}
	// stopping is closed when a planned stop has begun.
	stopping chan struct{}
	// controlHandler takes the address of a control instance that has started.
	controlHandler func(control netip.AddrPort)
	// flowsEndedHandler tells callers that their flows ended.
	flowsEndedHandler func(last []zf.Packet)
	feed              *zfcluster.Feed
	quorum            quorumStatus
	// ready and index are what other goroutines read of the world.
	ready atomic.Bool
	index atomic.Uint64
	// lastReply is when news last came, in Unix nanoseconds.
	lastReply atomic.Int64
	// decodedBundle belongs to the goroutine that calls ApplyReply.
	decodedBundle *decodedDocument
	// loggedServers and loggedRevision are what was logged last of the backend servers.
	loggedServers  map[zf.ServerID]loggedServer
	loggedRevision uint64
	// stoppingClosed tells that stopping is closed.
	stoppingClosed bool
}

// decodedDocument is the last document that was read, kept since a document comes again
// with each change of the data centres taken out.
type decodedDocument struct {
	document string
	bundle   *zfbundle.Bundle
}

// loggedServer is what is logged of a backend server when it changes.
type loggedServer struct {
	status  zf.ServerState
	suspect bool
}

// New returns a loop that has not started.
func New(config Config) *Loop {
	l := &Loop{
		config: config,
		inbox:  make(chan func(now time.Time), inboxCapacity),
		done:   make(chan struct{}),

		stopping: make(chan struct{}),

		loggedServers: make(map[zf.ServerID]loggedServer),
	}
	l.feed = zfcluster.NewFeed(zfcluster.FeedConfig{
		ID:     config.Source,
		Source: l,
	})
	return l
}

// OnControlOffered sets what takes the addresses of control instances that have started. It is
// called before the instance takes calls of others.
func (l *Loop) OnControlOffered(handler func(control netip.AddrPort)) { l.controlHandler = handler }

// OnFlowsEnded sets what tells callers that their flows ended. It is called before Run.
func (l *Loop) OnFlowsEnded(handler func(last []zf.Packet)) { l.flowsEndedHandler = handler }

// Run runs the systems until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		tick, release := l.config.Clock.After(tickInterval)
		select {
		case <-ctx.Done():
			release()
			return
		case apply := <-l.inbox:
			release()
			apply(l.config.Clock.Now())
		case <-tick:
			l.config.World.Tick(l.config.Clock.Now())
		}
		if ended := l.config.World.EndedFlows(); len(ended) > 0 && l.flowsEndedHandler != nil {
			l.flowsEndedHandler(ended)
		}
		l.feed.AnswerFetches(l.config.Clock.Now())
		l.publishChanges()
	}
}

// enqueue waits for room in the inbox; it reports false if the loop has ended.
func (l *Loop) enqueue(apply func(now time.Time)) bool {
	select {
	case l.inbox <- apply:
		return true
	case <-l.done:
		return false
	}
}

// do runs a function on the control goroutine and waits for it, unless the loop
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

// Mapper returns the mapper, whose Route is for the traffic goroutines.
func (l *Loop) Mapper() zf.Mapper { return l.config.World.Mapper() }

// StateAge returns the index of the control state in force, and how old the last
// news are.
func (l *Loop) StateAge(now time.Time) (uint64, time.Duration) {
	return l.index.Load(), now.Sub(time.Unix(0, l.lastReply.Load()))
}

// Ready reports whether the instance may get traffic.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Stop begins a planned stop and returns once the instance is no longer ready: when
// it is its turn, or after wait.
func (l *Loop) Stop(wait time.Duration) {
	start := l.config.Clock.Now()
	l.enqueue(func(now time.Time) { l.config.World.Stop(wait, now) })
	select {
	case <-l.stopping:
	case <-l.done:
	}
	l.config.Logger.Entry(zfevent.StopBegun).Dur("waited", l.config.Clock.Now().Sub(start)).Dur("most", wait).Msg("")
}

// FetchState returns what a fetch tells, the first one of a session if first is set.
func (l *Loop) FetchState(first bool) zfcluster.FetchState {
	state := zfcluster.FetchState{
		Index: l.index.Load(),
	}
	l.do(func(now time.Time) {
		state.Ready = l.config.World.Ready()
		state.Stopping = l.config.World.StopPending()
		state.Outcomes = l.config.World.Outcomes()
		state.Loads = l.config.World.Loads(now)
		if first {
			state.Digests = l.config.World.Registry().Digests()
		}
	})
	return state
}

// ApplyReply takes news of a control instance. It returns the backend servers that the
// sender lacks.
func (l *Loop) ApplyReply(reply zfcluster.FetchReply) []zfregistry.Update {
	worldReply := zfforward.Reply{
		Changes:       reply.Changes,
		HasPeers:      len(reply.Peers) > 0,
		EntryCount:    reply.Entries,
		Loads:         reply.Loads,
		StopPermitted: reply.Turn,
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

// decodeState reads the control state of a reply.
func (l *Loop) decodeState(reply zfcluster.FetchReply) (*zfforward.State, error) {
	state := &zfforward.State{
		Index: reply.Index,
		Out:   reply.Out,
	}
	if reply.Document == nil {
		return state, nil
	}
	cached := l.decodedBundle
	if cached == nil || cached.document != string(reply.Document) {
		bundle, err := l.config.Decode(reply.Document)
		if err != nil {
			return nil, err
		}
		cached = &decodedDocument{
			document: string(reply.Document),
			bundle:   bundle,
		}
		l.decodedBundle = cached
	}
	state.Bundle = cached.bundle
	state.Document = reply.Document
	return state, nil
}

func (l *Loop) stateApplied() {
	state := l.config.World.State()
	l.index.Store(state.Index)
	entry := l.config.Logger.Entry(zfevent.StateApplied).Uint64("index", state.Index).Int("out", len(state.Out))
	if state.Bundle != nil {
		entry = entry.Uint64("version", state.Bundle.Version).Int("routes", len(state.Bundle.Routes))
	}
	entry.Msg("")
}

// publishChanges logs what has changed.
func (l *Loop) publishChanges() {
	world := l.config.World
	if ready := world.Ready(); ready != l.ready.Load() {
		l.ready.Store(ready)
		l.config.Logger.Entry(zfevent.ReadyChanged).Bool("ready", ready).Bool("isolated", world.Isolated()).Msg("")
	}
	if world.Stopping() && !l.stoppingClosed {
		l.stoppingClosed = true
		close(l.stopping)
	}
	if world.Registry().ContentRevision() == l.loggedRevision {
		return
	}
	l.loggedRevision = world.Registry().ContentRevision()
	for _, row := range world.Registry().Rows() {
		current := loggedServer{
			status:  row.Status,
			suspect: !row.SuspectUntil.IsZero(),
		}
		if previous, ok := l.loggedServers[row.ID]; ok && previous == current {
			continue
		}
		l.loggedServers[row.ID] = current
		l.config.Logger.Entry(zfevent.ServerStateChanged).Str("server", string(row.Server)).Time("born", row.Born).
			Str("state", row.Status.String()).Bool("proven", row.Proven).Bool("suspect", current.suspect).Str("address", row.Address.String()).
			Str("centre", string(row.Centre)).Uint64("sequence", row.Sequence).Msg("")
	}
}
