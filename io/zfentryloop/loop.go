// Package zfentryloop runs an entry instance of the entry role: the control goroutine,
// which owns its tables, and the methods that enqueue events for it.
package zfentryloop

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfinstance"
	"zinniafront/core/zfrequest"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfevent"
)

// Messenger sends messages to other instances.
type Messenger interface {
	// Send sends the envelopes and counts those that it can't send.
	Send(envelopes []zf.Envelope)
}

const (
	// tickInterval is the period at which all systems run.
	tickInterval = 50 * time.Millisecond
	// inboxCapacity bounds the inbox, maxBatchEvents the number of events that are
	// applied before the timer is checked again.
	inboxCapacity  = 8192
	maxBatchEvents = 512
)

// ErrStopped is returned after the loop has ended.
var ErrStopped = errors.New("instance has stopped")

// Config configures a Loop.
type Config struct {
	World     *zfinstance.World
	Messenger Messenger
	Clock     zf.Clock
	Counters  *zfcounter.Set
	Logger    *zfevent.Logger
	// Ready is updated whenever the instance's readiness changes.
	Ready *atomic.Bool
}

// Grant is the decision on a request for a slot, which may be a refusal. If the slot was
// granted, Web and Name are those of its backend server.
type Grant struct {
	zfrequest.Decision
	// Web is the address at which the backend server accepts requests.
	Web  netip.AddrPort
	Name zf.ServerName
}

// Loop is the control goroutine of an entry instance.
type Loop struct {
	config          Config
	inbox           chan event
	done            chan struct{}
	nextID          atomic.Uint64
	replies         map[zfrequest.ID]chan<- Grant
	requestsChanged bool
	ready           bool
	membersRevision uint64
	serversRevision uint64
	stopped         chan struct{}
}

// New returns a loop that is not running yet.
func New(config Config) *Loop {
	return &Loop{
		config:  config,
		inbox:   make(chan event, inboxCapacity),
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
		replies: make(map[zfrequest.ID]chan<- Grant),
	}
}

// Run applies events and runs the systems at each tick until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		tick, release := l.config.Clock.After(tickInterval)
		if !l.applyUntil(ctx, tick) {
			release()
			return
		}
		l.tick()
	}
}

// applyUntil applies events until the tick. It returns false if ctx is done.
func (l *Loop) applyUntil(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case e := <-l.inbox:
			l.applyBatch(e)
		}
	}
}

// applyBatch applies an event and up to maxBatchEvents that are queued behind it, then
// decides on requests without waiting for the next tick if they changed.
func (l *Loop) applyBatch(e event) {
	now := l.config.Clock.Now()
	e.apply(l, now)
	for range min(len(l.inbox), maxBatchEvents) {
		(<-l.inbox).apply(l, now)
	}
	if l.requestsChanged {
		l.requestsChanged = false
		l.config.World.TickRequests(now)
		l.sendGrants()
	}
}

func (l *Loop) tick() {
	now := l.config.Clock.Now()
	world := l.config.World
	l.config.Messenger.Send(world.Tick(now))
	l.sendGrants()
	l.publishChanges(now)
}

// sendGrants sends the decisions on requests to the goroutines that wait in Acquire.
func (l *Loop) sendGrants() {
	for _, decision := range l.config.World.Requests().TakeDecisions() {
		reply, ok := l.replies[decision.ID]
		if !ok {
			continue
		}
		delete(l.replies, decision.ID)
		grant := Grant{
			Decision: decision,
		}
		if decision.Granted {
			row := l.config.World.Servers().Rows()[decision.Server]
			grant.Web = row.Web
			grant.Name = row.Server
		}
		reply <- grant // Never blocks: each channel is buffered for its one decision.
	}
}

// publishChanges logs what has changed since the last tick, publishes the readiness, and
// closes stopped once a planned stop is complete.
func (l *Loop) publishChanges(now time.Time) {
	world := l.config.World
	if ready := world.Ready(); ready != l.ready {
		l.ready = ready
		l.config.Ready.Store(ready)
		l.config.Logger.Entry(zfevent.ReadyChanged).Bool("ready", ready).Msg("")
	}
	if revision := world.Members().Revision(); revision != l.membersRevision {
		l.membersRevision = revision
		l.config.Logger.Entry(zfevent.MembersChanged).Int("live", len(world.Members().View(now, l.ready))).Msg("")
	}
	if revision := world.Servers().Revision(); revision != l.serversRevision {
		l.serversRevision = revision
		l.config.Logger.Entry(zfevent.ServersChanged).Int("known", len(world.Servers().Rows())).Msg("")
	}
	if world.Stopped(now) {
		select {
		case <-l.stopped:
		default:
			l.config.Messenger.Send(world.LeaveMessages())
			close(l.stopped)
		}
	}
}

func (l *Loop) applyState(state zfinstance.State) {
	if !l.config.World.ApplyState(state) {
		l.config.Logger.Entry(zfevent.StateRefused).Uint64("sequence", state.Sequence).
			Str("reason", zf.ReasonStale.String()).Msg("")
		return
	}
	l.config.Logger.Entry(zfevent.StateApplied).Uint64("sequence", state.Sequence).
		Uint64("version", state.Bundle.Version).Int("out", len(state.Out)).Msg("")
}

// tryEnqueue appends an event to the inbox, or drops and counts it if the inbox is full.
func (l *Loop) tryEnqueue(e event) bool {
	select {
	case l.inbox <- e:
		return true
	default:
		l.config.Counters.InboxDropped.Add(zf.ReasonQueueFull)
		return false
	}
}

// enqueue waits for room in the inbox. It returns false if the loop has ended.
func (l *Loop) enqueue(e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-l.done:
		return false
	}
}

// Announce enqueues an announcement of a backend server, or drops it if the inbox is full.
func (l *Loop) Announce(announcement zf.Announcement) {
	l.tryEnqueue(announceEvent{
		announcement: announcement,
	})
}

// Receive enqueues a message of another instance, or drops it if the inbox is full.
func (l *Loop) Receive(envelope zf.Envelope) {
	l.tryEnqueue(messageEvent{
		envelope: envelope,
	})
}

// ApplyState applies a control state and returns once it is in force, was refused as
// stale, or the loop has ended.
func (l *Loop) ApplyState(state zfinstance.State) {
	done := make(chan struct{})
	if !l.enqueue(stateEvent{
		state: state,
		done:  done,
	}) {
		return
	}
	select {
	case <-done:
	case <-l.done:
	}
}

// Stop begins a planned stop. The channel of Stopped is closed when it is complete.
func (l *Loop) Stop() { l.enqueue(stopEvent{}) }

// Stopped returns a channel that is closed once a planned stop has handed over
// everything.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Acquire requests a slot of a backend server and waits for the decision. A granted
// slot must be freed with Release.
func (l *Loop) Acquire(ctx context.Context, request zfrequest.Request) (Grant, error) {
	request.ID = zfrequest.ID(l.nextID.Add(1))
	reply := make(chan Grant, 1)
	if !l.enqueue(acquireEvent{
		request: request,
		reply:   reply,
	}) {
		return Grant{}, ErrStopped
	}
	select {
	case grant := <-reply:
		return grant, nil
	case <-ctx.Done():
		l.Release(request.ID)
		return Grant{}, ctx.Err()
	case <-l.done:
		return Grant{}, ErrStopped
	}
}

// Release frees a granted slot, or cancels a pending request.
func (l *Loop) Release(id zfrequest.ID) {
	l.enqueue(releaseEvent{
		id: id,
	})
}

// Report returns a snapshot of the instance's state.
func (l *Loop) Report(ctx context.Context) (Report, error) {
	reply := make(chan Report, 1)
	if !l.enqueue(reportEvent{
		reply: reply,
	}) {
		return Report{}, ErrStopped
	}
	select {
	case report := <-reply:
		return report, nil
	case <-ctx.Done():
		return Report{}, ctx.Err()
	case <-l.done:
		return Report{}, ErrStopped
	}
}
