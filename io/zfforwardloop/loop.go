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
	// tickEvery is the time between two runs of all systems; loads decay by it.
	tickEvery = 100 * time.Millisecond
	// inboxEvents bounds the inbox; its only writers wait for room.
	inboxEvents = 64
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
	// offer takes the address of a control instance that has started.
	offer func(control netip.AddrPort)
	// end tells callers that their flows ended.
	end  func(last []zf.Packet)
	feed *zfcluster.Feed
	told told
	// ready and index are what other goroutines read of the world.
	ready atomic.Bool
	index atomic.Uint64
	// informed is when news last came, in Unix nanoseconds.
	informed atomic.Int64
	// bundle belongs to the goroutine that calls ApplyReply.
	bundle *decoded
	// shown and seen are what was logged last of the backend servers.
	shown map[zf.ServerID]shown
	seen  uint64
	// stopped tells that stopping is closed.
	stopped bool
}

// decoded is the last document that was read, kept since a document comes again
// with each change of the data centres taken out.
type decoded struct {
	document string
	bundle   *zfbundle.Bundle
}

// shown is what is logged of a backend server when it changes.
type shown struct {
	status  zf.ServerState
	suspect bool
}

// New returns a loop that has not started.
func New(config Config) *Loop {
	l := &Loop{
		config: config,
		inbox:  make(chan func(now time.Time), inboxEvents),
		done:   make(chan struct{}),

		stopping: make(chan struct{}),

		shown: make(map[zf.ServerID]shown),
	}
	l.feed = zfcluster.NewFeed(zfcluster.FeedConfig{
		ID:     config.Source,
		Source: l,
	})
	return l
}

// OnControlOffered sets what takes the addresses of control instances that have started. It is
// called before the instance takes calls of others.
func (l *Loop) OnControlOffered(offer func(control netip.AddrPort)) { l.offer = offer }

// OnFlowsEnded sets what tells callers that their flows ended. It is called before Run.
func (l *Loop) OnFlowsEnded(end func(last []zf.Packet)) { l.end = end }

// Run runs the systems until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		tick, release := l.config.Clock.After(tickEvery)
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
		if ended := l.config.World.EndedFlows(); len(ended) > 0 && l.end != nil {
			l.end(ended)
		}
		l.feed.AnswerFetches(l.config.Clock.Now())
		l.watch()
	}
}

// put waits for room in the inbox; it reports false if the loop has ended.
func (l *Loop) put(apply func(now time.Time)) bool {
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
	if !l.put(func(now time.Time) {
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
	return l.index.Load(), now.Sub(time.Unix(0, l.informed.Load()))
}

// Ready reports whether the instance may get traffic.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Stop begins a planned stop and returns once the instance is no longer ready: when
// it is its turn, or after wait.
func (l *Loop) Stop(wait time.Duration) {
	start := l.config.Clock.Now()
	l.put(func(now time.Time) { l.config.World.Stop(wait, now) })
	select {
	case <-l.stopping:
	case <-l.done:
	}
	l.config.Logger.Entry(zfevent.StopBegun).Dur("waited", l.config.Clock.Now().Sub(start)).Dur("most", wait).Msg("")
}

// FetchState returns what a fetch tells, the first one of a session if first is set.
func (l *Loop) FetchState(first bool) zfcluster.FetchState {
	known := zfcluster.FetchState{
		Index: l.index.Load(),
	}
	l.do(func(now time.Time) {
		known.Ready = l.config.World.Ready()
		known.Stopping = l.config.World.StopPending()
		known.Outcomes = l.config.World.Outcomes()
		known.Loads = l.config.World.Loads(now)
		if first {
			known.Digests = l.config.World.Registry().Digests()
		}
	})
	return known
}

// ApplyReply takes news of a control instance. It returns the backend servers that the
// sender lacks.
func (l *Loop) ApplyReply(reply zfcluster.FetchReply) []zfregistry.Update {
	news := zfforward.Reply{
		Changes:       reply.Changes,
		HasPeers:      len(reply.Peers) > 0,
		EntryCount:    reply.Entries,
		Loads:         reply.Loads,
		StopPermitted: reply.Turn,
	}
	if reply.Index > l.index.Load() {
		state, err := l.state(reply)
		if err != nil {
			l.config.Logger.Entry(zfevent.StateRefused).Uint64("index", reply.Index).Err(err).Msg("")
		} else {
			news.State = state
		}
	}
	var lacking []zfregistry.Update
	l.do(func(now time.Time) {
		l.informed.Store(now.UnixNano())
		l.told = told{
			contact:  now.Add(-reply.Contact),
			controls: reply.Controls,
		}
		if l.config.World.ApplyReply(news, now) {
			l.enforced()
		}
		lacking = l.config.World.Registry().MissingFrom(reply.Changes, now)
	})
	return lacking
}

// state reads the control state of a reply.
func (l *Loop) state(reply zfcluster.FetchReply) (*zfforward.State, error) {
	state := &zfforward.State{
		Index: reply.Index,
		Out:   reply.Out,
	}
	if reply.Document == nil {
		return state, nil
	}
	last := l.bundle
	if last == nil || last.document != string(reply.Document) {
		bundle, err := l.config.Decode(reply.Document)
		if err != nil {
			return nil, err
		}
		last = &decoded{
			document: string(reply.Document),
			bundle:   bundle,
		}
		l.bundle = last
	}
	state.Bundle = last.bundle
	state.Document = reply.Document
	return state, nil
}

func (l *Loop) enforced() {
	state := l.config.World.State()
	l.index.Store(state.Index)
	entry := l.config.Logger.Entry(zfevent.StateApplied).Uint64("index", state.Index).Int("out", len(state.Out))
	if state.Bundle != nil {
		entry = entry.Uint64("version", state.Bundle.Version).Int("routes", len(state.Bundle.Routes))
	}
	entry.Msg("")
}

// watch logs what has changed.
func (l *Loop) watch() {
	world := l.config.World
	if ready := world.Ready(); ready != l.ready.Load() {
		l.ready.Store(ready)
		l.config.Logger.Entry(zfevent.ReadyChanged).Bool("ready", ready).Bool("isolated", world.Isolated()).Msg("")
	}
	if world.Stopping() && !l.stopped {
		l.stopped = true
		close(l.stopping)
	}
	if world.Registry().ContentRevision() == l.seen {
		return
	}
	l.seen = world.Registry().ContentRevision()
	for _, row := range world.Registry().Rows() {
		now := shown{
			status:  row.Status,
			suspect: !row.SuspectUntil.IsZero(),
		}
		if before, ok := l.shown[row.ID]; ok && before == now {
			continue
		}
		l.shown[row.ID] = now
		l.config.Logger.Entry(zfevent.ServerStateChanged).Str("server", string(row.Server)).Time("born", row.Born).
			Str("state", row.Status.String()).Bool("proven", row.Proven).Bool("suspect", now.suspect).Str("address", row.Address.String()).
			Str("centre", string(row.Centre)).Uint64("sequence", row.Sequence).Msg("")
	}
}
