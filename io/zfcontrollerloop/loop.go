// Package zfcontrollerloop runs one control instance that shares the control state
// with others: the control goroutine that owns its tables, and the ways into its
// inbox.
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
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfevent"
)

const (
	// tickEvery is the time between two runs of all systems, a quarter of the
	// leader's heartbeat.
	tickEvery = 50 * time.Millisecond
	// inboxEvents bounds the inbox.
	inboxEvents = 4096
	// yieldTimeout bounds the wait for another leader at a planned stop: an election
	// takes some six times the sync of a disk, which is 1 to 25 ms.
	yieldTimeout = 300 * time.Millisecond
	// batchEvents bounds the events between two runs of what follows them.
	batchEvents = 256
)

// ErrStopped tells that the instance no longer takes calls.
var ErrStopped = errors.New("instance has stopped")

// Config holds what a loop is built from.
type Config struct {
	World *zfcontroller.World
	// Source identifies this run of the process to those who follow it.
	Source      uint64
	RecordStore zf.Store
	// ServerStore keeps the backend servers over a power loss, SubscriberStore the addresses of
	// the entry instances that follow this instance.
	ServerStore     zf.Store
	SubscriberStore zf.Store
	Transport       *zfcluster.Transport
	Decode          func(document []byte) (*zfbundle.Bundle, error)
	Digest          func(document []byte) string
	Clock           zf.Clock
	Logger          *zfevent.Logger
	// Counters count what came in and what was refused.
	Counters *zfcounter.Set
}

// Loop is the control goroutine.
type Loop struct {
	config Config
	inbox  chan func(now time.Time)
	done   chan struct{}
	saves  chan save
	saving bool
	// servers carries tables of backend servers to the disk; serversSaved is the
	// last one's revision, serversAt when it was handed over.
	servers      chan []zfregistry.Update
	serversSaved uint64
	serversAt    time.Time
	// followers carries addresses to the disk, earlier are those found there.
	followers      chan []netip.AddrPort
	followersSaved []netip.AddrPort
	followersAt    time.Time
	earlier        []netip.AddrPort
	replies        map[zfcontroller.OperationID]chan<- zfcontroller.Result
	nextID         zfcontroller.OperationID
	// yielded is closed when another instance leads after this one has yielded.
	yielded chan struct{}
	feed    *zfcluster.Feed
	seen    seen
	// mutex guards clients, which the goroutines of calls share.
	mutex   sync.Mutex
	clients map[netip.AddrPort]*zfcluster.Client
}

// New returns a loop that has not started.
func New(config Config) *Loop {
	return &Loop{
		config: config,
		feed: zfcluster.NewFeed(zfcluster.FeedConfig{
			ID: config.Source,
			Source: source{
				world: config.World,
			},
			SharePeers: true,
			Centre:     config.World.Replica().Self().Centre,
		}),
		inbox:   make(chan func(now time.Time), inboxEvents),
		done:    make(chan struct{}),
		saves:   make(chan save, 1),
		servers: make(chan []zfregistry.Update),

		followers: make(chan []netip.AddrPort),

		replies: make(map[zfcontroller.OperationID]chan<- zfcontroller.Result),
		clients: make(map[netip.AddrPort]*zfcluster.Client),
	}
}

// Run runs the systems until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	go l.runDisk()
	go l.runServers()
	for _, follower := range l.earlier {
		go l.offer(follower)
	}
	l.finish(l.config.Clock.Now())
	for {
		tick, release := l.config.Clock.After(tickEvery)
		if !l.takeUntil(ctx, tick) {
			release()
			return
		}
		now := l.config.Clock.Now()
		l.config.World.Tick(now)
		l.finish(now)
	}
}

// takeUntil applies events until the tick; it reports false when ctx ends.
func (l *Loop) takeUntil(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case apply := <-l.inbox:
			now := l.config.Clock.Now()
			apply(now)
			for range min(len(l.inbox), batchEvents) {
				(<-l.inbox)(now)
			}
			l.finish(now)
		}
	}
}

// finish carries out what the events and systems have led to.
func (l *Loop) finish(now time.Time) {
	l.save()
	l.saveServers(now)
	l.saveFollowers(now)
	l.config.Transport.Send(l.config.World.Replica().TakeMessages())
	l.answer()
	l.feed.AnswerFetches(now)
	l.watch()
	l.report()
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

// do runs a function on the control goroutine and waits for it.
func (l *Loop) do(apply func(now time.Time)) error {
	finished := make(chan struct{})
	if !l.put(func(now time.Time) {
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

func (l *Loop) answer() {
	for _, answer := range l.config.World.TakeResults() {
		l.replies[answer.ID] <- answer // Each reply channel has room for its one answer.
		delete(l.replies, answer.ID)
	}
}

// ask has the world carry out a command, or a read if command is nil.
func (l *Loop) ask(command zfcontrol.Command, forwarded bool) (zfcontroller.Result, error) {
	reply := make(chan zfcontroller.Result, 1)
	if !l.put(func(now time.Time) {
		l.nextID++
		l.replies[l.nextID] = reply
		l.config.World.Submit(l.nextID, command, forwarded, now)
	}) {
		return zfcontroller.Result{}, ErrStopped
	}
	select {
	case answer := <-reply:
		return answer, answer.Err
	case <-l.done:
		return zfcontroller.Result{}, ErrStopped
	}
}

// Deliver implements zfcluster.Handler.
func (l *Loop) Deliver(messages []zfquorum.Message) {
	l.put(func(now time.Time) {
		for _, message := range messages {
			l.config.World.Receive(message, now)
		}
	})
}

// Ask implements zfcluster.Handler.
func (l *Loop) Ask(args zfcluster.AskArgs) (zfcluster.AskReply, error) {
	command, err := l.command(args)
	if err != nil {
		return zfcluster.AskReply{}, err
	}
	answer, err := l.ask(command, true)
	if err != nil {
		return zfcluster.AskReply{
			Refused: true,
		}, nil
	}
	reply := zfcluster.AskReply{
		Outcome: answer.Outcome,
		Index:   answer.Index,
	}
	if command == nil && answer.Index != args.Known {
		reply.State = answer.State
	}
	return reply, nil
}

// command returns the command of a call, or nil for a read.
func (l *Loop) command(args zfcluster.AskArgs) (zfcontrol.Command, error) {
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
		}, nil
	default:
		return nil, nil
	}
}

// SetSeeds replaces the addresses at which other control instances may be.
func (l *Loop) SetSeeds(seeds []netip.AddrPort) {
	l.put(func(time.Time) { l.config.World.Replica().SetSeeds(seeds) })
}

// TransferLeadership hands the lead over, if this instance has it, and returns when another one
// leads, or after yieldTimeout.
func (l *Loop) TransferLeadership() {
	yielded := make(chan struct{})
	asked := false
	err := l.do(func(now time.Time) {
		asked = l.config.World.Replica().TransferLeadership(now)
		if asked {
			l.yielded = yielded
		}
	})
	if err != nil || !asked {
		return // There is nothing to hand over, or nobody to take it.
	}
	timeout, release := l.config.Clock.After(yieldTimeout)
	defer release()
	select {
	case <-yielded:
	case <-timeout:
	case <-l.done:
	}
}

// Digests returns those of the backend servers known here.
func (l *Loop) Digests() []uint64 {
	var digests []uint64
	if l.do(func(time.Time) { digests = l.config.World.Registry().Digests() }) != nil {
		return nil // The loop has ended; nobody asks any more.
	}
	return digests
}

// ApplyPeerReply takes what another control instance tells: its backend servers, and some
// of the entry instances that follow it.
func (l *Loop) ApplyPeerReply(from netip.AddrPort, reply zfcluster.FetchReply) {
	l.put(func(now time.Time) {
		l.config.World.MergeChanges(from, reply.Changes, now)
		if reply.Loads != nil {
			l.config.World.Loads().SetRemote(reply.Source, reply.Loads, now)
		}
		l.feed.RecordRemote(from, reply, now)
	})
}
