// Package zfcontrollerloop runs a control instance of the keeper role, which replicates
// the control state and the table of backend servers with the others: the control
// goroutine, which owns the tables, and the calls that enqueue events for it.
package zfcontrollerloop

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrotation"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfevent"
)

const (
	// tickInterval is the time between two runs of all systems, a quarter of the
	// leader's heartbeat interval.
	tickInterval = 50 * time.Millisecond
	// inboxCapacity bounds the inbox; a full inbox blocks the senders.
	inboxCapacity = 4096
	// stopTimeout bounds the wait at a planned stop until other control instances have
	// taken over the leadership and the vote: an election and a change of the voters. It
	// is less than the platform's grace period.
	stopTimeout = 3 * time.Second
	// maxBatchEvents bounds the events that are applied between two flushes, besides
	// the one that woke the loop.
	maxBatchEvents = 256
)

// ErrStopped is returned after the loop has ended.
var ErrStopped = errors.New("instance has stopped")

// Config holds what a loop is built from.
type Config struct {
	World *zfcontroller.World
	// Source identifies this run of the process to its subscribers.
	Source      uint64
	RecordStore zf.Store
	// ServerStore keeps the backend servers over a power loss, SubscriberStore the
	// addresses of the entry instances that subscribe to this instance.
	ServerStore     zf.Store
	SubscriberStore zf.Store
	Transport       *zfcluster.Transport
	Decode          func(document []byte) (*zfbundle.Bundle, error)
	Digest          func(document []byte) string
	Clock           zf.Clock
	Logger          *zfevent.Logger
	// Counters count received and refused messages, and time operations and saves.
	Counters *zfcounter.Set
	// CountRoom is set if the counters include the room of services.
	CountRoom bool
}

// roomInterval is the time between two updates of the room of services in the counters.
const roomInterval = time.Second

// Loop runs the control goroutine and passes calls to it through an inbox.
type Loop struct {
	config       Config
	inbox        chan func(now time.Time)
	done         chan struct{}
	recordSaves  chan recordSave
	savingRecord bool
	// roomCounted is when the room of services was last counted.
	roomCounted time.Time
	// serverSaves passes tables of backend servers to the saver; savedServersRevision is
	// the content revision of the last one, lastServersSave the time it was passed.
	serverSaves          chan []zfregistry.Update
	savedServersRevision uint64
	lastServersSave      time.Time
	// subscriberSaves passes the addresses of subscribers to the saver;
	// earlierSubscribers are those that were loaded at the start.
	subscriberSaves     chan []netip.AddrPort
	savedSubscribers    []netip.AddrPort
	lastSubscribersSave time.Time
	earlierSubscribers  []netip.AddrPort
	replies             map[zfcontroller.OperationID]chan<- zfcontroller.Result
	nextID              zfcontroller.OperationID
	// readyToStop is closed when a planned stop need not wait any longer.
	readyToStop chan struct{}
	feed        *zfcluster.Feed
	logged      loggedState
	// mutex guards clients, which are shared by the goroutines of calls.
	mutex   sync.Mutex
	clients map[netip.AddrPort]*zfcluster.Client
}

// New returns a loop that has not started.
func New(config Config) *Loop {
	return &Loop{
		config: config,
		feed: zfcluster.NewFeed(zfcluster.FeedConfig{
			Source: config.Source,
			Data: feedData{
				world: config.World,
			},
			SharePeers: true,
			Centre:     config.World.Replica().Self().Centre,
		}),
		inbox:       make(chan func(now time.Time), inboxCapacity),
		done:        make(chan struct{}),
		recordSaves: make(chan recordSave, 1),
		serverSaves: make(chan []zfregistry.Update),

		subscriberSaves: make(chan []netip.AddrPort),

		replies: make(map[zfcontroller.OperationID]chan<- zfcontroller.Result),
		clients: make(map[netip.AddrPort]*zfcluster.Client),
	}
}

// Run applies events and runs all systems each tick until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	go l.runRecordSaver()
	go l.runTableSaver()
	for _, subscriber := range l.earlierSubscribers {
		go l.offer(subscriber)
	}
	l.flush(l.config.Clock.Now())
	for {
		tick, release := l.config.Clock.After(tickInterval)
		if !l.applyUntil(ctx, tick) {
			release()
			return
		}
		now := l.config.Clock.Now()
		l.config.World.Tick(now)
		l.logDepartures(now)
		l.reportAdmission()
		l.countRoom(now)
		l.flush(now)
	}
}

// applyUntil applies events until the tick; it returns false when ctx ends.
func (l *Loop) applyUntil(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case apply := <-l.inbox:
			now := l.config.Clock.Now()
			apply(now)
			for range min(len(l.inbox), maxBatchEvents) {
				(<-l.inbox)(now)
			}
			l.flush(now)
		}
	}
}

// flush passes on the effects of events and systems: it saves state, sends messages,
// answers operations and fetches, and logs changes.
func (l *Loop) flush(now time.Time) {
	l.saveRecord()
	l.saveServers(now)
	l.saveSubscribers(now)
	l.config.Transport.Send(l.config.World.Replica().TakeMessages())
	l.deliverResults()
	l.feed.AnswerFetches(now)
	l.logChanges()
	l.checkReadyToStop(now)
	l.logOutliers()
	l.logStepOuts()
}

// enqueue adds an event to the inbox and waits while the inbox is full. It returns
// false if the loop has ended.
func (l *Loop) enqueue(apply func(now time.Time)) bool {
	select {
	case l.inbox <- apply:
		return true
	case <-l.done:
		return false
	}
}

// do runs a function on the control goroutine and waits for it.
func (l *Loop) do(apply func(now time.Time)) error {
	finished := make(chan struct{})
	if !l.enqueue(func(now time.Time) {
		apply(now)
		close(finished)
	}) {
		return ErrStopped
	}
	select {
	case <-finished:
		return nil
	case <-l.done:
		return ErrStopped
	}
}

func (l *Loop) deliverResults() {
	for _, result := range l.config.World.TakeResults() {
		l.replies[result.ID] <- result // Each reply channel has room for its one result.
		delete(l.replies, result.ID)
	}
}

// submit submits a command to the world, or a read if command is nil, and waits for
// its result. forwarded is set if another instance sent it to this one as the leader.
func (l *Loop) submit(command zfcontrol.Command, forwarded bool) (zfcontroller.Result, error) {
	reply := make(chan zfcontroller.Result, 1)
	if !l.enqueue(func(now time.Time) {
		l.nextID++
		l.replies[l.nextID] = reply
		l.config.World.Submit(l.nextID, command, forwarded, now)
	}) {
		return zfcontroller.Result{}, ErrStopped
	}
	select {
	case result := <-reply:
		return result, result.Err
	case <-l.done:
		return zfcontroller.Result{}, ErrStopped
	}
}

// Deliver implements zfcluster.Handler.
func (l *Loop) Deliver(messages []zfquorum.Message) {
	l.enqueue(func(now time.Time) {
		for _, message := range messages {
			l.config.World.Receive(message, now)
		}
	})
}

// Ask implements zfcluster.Handler.
func (l *Loop) Ask(args zfcluster.AskArgs) (zfcluster.AskReply, error) {
	command, err := l.decodeCommand(args)
	if err != nil {
		return zfcluster.AskReply{}, err
	}
	if args.Centre != "" && !args.Guarded {
		return zfcluster.AskReply{
			Refused: true,
		}, nil
	}
	result, err := l.submit(command, true)
	if err != nil {
		return zfcluster.AskReply{
			Refused: true,
		}, nil
	}
	reply := zfcluster.AskReply{
		Outcome: result.Outcome,
		Index:   result.Index,
	}
	if command == nil && result.Index != args.Known {
		reply.State = result.State
	}
	return reply, nil
}

// decodeCommand returns the command of an operation, or nil for a read.
func (l *Loop) decodeCommand(args zfcluster.AskArgs) (zfcontrol.Command, error) {
	switch {
	case args.Document != nil:
		bundle, err := l.config.Decode(args.Document)
		if err != nil {
			return nil, err
		}
		return zfcontrol.PutCommand{
			AcceptCommand: zfcontrol.AcceptCommand{
				Signed: args.Document,
				Digest: l.config.Digest(args.Document),
				Bundle: bundle,
			},
		}, nil
	case args.Centre != "":
		return zfcontrol.CentreCommand{
			Centre: args.Centre,
			Out:    args.Out,
			AsOf:   args.AsOf,
		}, nil
	default:
		return nil, nil
	}
}

// countRoom updates the room of the services of this data centre in the counters.
func (l *Loop) countRoom(now time.Time) {
	if !l.config.CountRoom || now.Sub(l.roomCounted) < roomInterval {
		return
	}
	l.roomCounted = now
	for _, room := range l.config.World.Rooms(now) {
		if room.Centre == l.config.World.Replica().Self().Centre {
			l.config.Counters.SetRoom(room, l.config.World.ServiceTime(room.Service))
		}
	}
}

// SetSeeds replaces the possible addresses of other control instances.
func (l *Loop) SetSeeds(seeds []netip.AddrPort) {
	l.enqueue(func(time.Time) { l.config.World.Replica().SetSeeds(seeds) })
}

// PrepareStop gives the leadership and the vote of this instance to others before a planned
// stop. It returns when they have taken over, when none can, or after stopTimeout.
func (l *Loop) PrepareStop() {
	ready := make(chan struct{})
	err := l.do(func(now time.Time) {
		l.config.World.Replica().PrepareStop(now)
		l.readyToStop = ready
	})
	if err != nil {
		return // The loop has ended.
	}
	timeout, release := l.config.Clock.After(stopTimeout)
	defer release()
	select {
	case <-ready:
	case <-timeout:
	case <-l.done:
	}
}

// checkReadyToStop ends the wait of PrepareStop.
func (l *Loop) checkReadyToStop(now time.Time) {
	if l.readyToStop != nil && l.config.World.Replica().ReadyToStop(now) {
		close(l.readyToStop)
		l.readyToStop = nil
	}
}

// Digests returns the digests of the table of backend servers.
func (l *Loop) Digests() []uint64 {
	var digests []uint64
	if l.do(func(time.Time) { digests = l.config.World.Registry().Digests() }) != nil {
		return nil // The loop has ended, so the digests are no longer used.
	}
	return digests
}

// ApplyPeerReply applies a reply of another control instance: its backend servers,
// their loads, its subscribers, and what its data centre reports. roundTrip is that of the
// fetch without the time for which it was held back.
func (l *Loop) ApplyPeerReply(from netip.AddrPort, reply zfcluster.FetchReply, roundTrip time.Duration) {
	l.enqueue(func(now time.Time) {
		l.config.World.MergeChanges(from, reply.Changes, now)
		if reply.Loads != nil {
			l.config.World.Loads().SetRemote(reply.Source, reply.Loads, now)
		}
		l.config.World.RecordFigures(reply.Centre, reply.Rooms, roundTrip, now)
		if reply.Decides {
			l.config.World.FollowDepartures(reply.Source, reply.Departures, now)
		}
		l.config.World.MergeRestorations(reply.Restorations, now)
		l.config.World.Rotation().SetRemote(zfrotation.Source(reply.Source), reply.Counts, now)
		l.feed.RecordRemote(from, reply, now)
	})
}
