// Package zfentryloop runs one entry instance: the control goroutine that owns its
// tables, and the ways into its inbox.
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
	// Send sends every envelope, or counts that it could not.
	Send(envelopes []zf.Envelope)
}

const (
	// tickInterval is the time between two runs of all systems.
	tickInterval = 50 * time.Millisecond
	// inboxCapacity bounds the inbox, maxBatchEvents the events between two looks
	// at the timer.
	inboxCapacity  = 8192
	maxBatchEvents = 512
)

// ErrStopped tells that the instance no longer takes requests.
var ErrStopped = errors.New("instance has stopped")

// Config holds what a loop is built from.
type Config struct {
	World     *zfinstance.World
	Messenger Messenger
	Clock     zf.Clock
	Counters  *zfcounter.Set
	Logger    *zfevent.Logger
	// Ready is set whenever the instance's readiness changes.
	Ready *atomic.Bool
}

// Grant is the answer to a request for a slot.
type Grant struct {
	zfrequest.Decision
	// Web is where the backend server takes requests.
	Web  netip.AddrPort
	Name zf.ServerName
}

// Loop is the control goroutine.
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

// New returns a loop that has not started.
func New(config Config) *Loop {
	return &Loop{
		config:  config,
		inbox:   make(chan event, inboxCapacity),
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
		replies: make(map[zfrequest.ID]chan<- Grant),
	}
}

// Run runs the systems until ctx ends.
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

// applyUntil applies events until the tick; it reports false when ctx ends.
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

// applyBatch applies an event and those that wait behind it.
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

// sendGrants hands the decisions on requests to those who wait for them.
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
		reply <- grant // Each reply channel has room for its one answer.
	}
}

// publishChanges logs what has changed since the last tick.
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

// tryEnqueue puts an event into the inbox unless that is full.
func (l *Loop) tryEnqueue(e event) bool {
	select {
	case l.inbox <- e:
		return true
	default:
		l.config.Counters.InboxDropped.Add(zf.ReasonQueueFull)
		return false
	}
}

// enqueue waits for room in the inbox; it reports false if the loop has ended.
func (l *Loop) enqueue(e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-l.done:
		return false
	}
}

// Announce takes an announcement of a backend server.
func (l *Loop) Announce(announcement zf.Announcement) {
	l.tryEnqueue(announceEvent{
		announcement: announcement,
	})
}

// Receive takes a message of another instance.
func (l *Loop) Receive(envelope zf.Envelope) {
	l.tryEnqueue(messageEvent{
		envelope: envelope,
	})
}

// ApplyState takes a control state and returns once it is in force.
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

// Stop begins a planned stop. Stopped is closed when it is done.
func (l *Loop) Stop() { l.enqueue(stopEvent{}) }

// Stopped returns a channel that is closed once a planned stop has handed
// everything over.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Acquire asks for a slot of a backend server and waits for the decision. A
// granted slot has to be released.
func (l *Loop) Acquire(ctx context.Context, request zfrequest.Request) (Grant, error) {
	request.ID = zfrequest.ID(l.nextID.Add(1))
	reply := make(chan Grant, 1)
	if !l.enqueue(submitEvent{
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

// Release gives a slot back, or withdraws a request that waits.
func (l *Loop) Release(id zfrequest.ID) {
	l.enqueue(finishEvent{
		id: id,
	})
}

// Report returns the state of the instance.
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
