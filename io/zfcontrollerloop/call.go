package zfcontrollerloop

import (
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfquorum"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
)

// leaderTimeout bounds the wait for the leader, so that an operator still gets an
// answer within the second that it waits.
const leaderTimeout = 900 * time.Millisecond

// Announce records the announcement of a backend server. It returns the host of the
// heartbeat receiver for the next ones, or the zero value if there is none.
// reason is why the table of backend servers refused it.
func (l *Loop) Announce(a zf.Announcement) (receiver netip.Addr, reason zf.Reason, err error) {
	err = l.do(func(now time.Time) {
		registry := l.config.World.Registry()
		before := registry.ContentRevision()
		reason = l.config.World.Announce(a, now)
		receiver = l.config.World.HeartbeatReceiver(a.Server, a.Centre, now).Addr()
		l.config.Counters.AnnounceTaken.Inc(1)
		if reason != zf.ReasonNone {
			l.config.Counters.AnnounceRefused.Add(reason)
		}
		if reason != zf.ReasonNone || registry.ContentRevision() != before {
			l.logAnnouncement(a, reason, now)
		}
	})
	return receiver, reason, err
}

func (l *Loop) logAnnouncement(a zf.Announcement, reason zf.Reason, now time.Time) {
	event := zfevent.ServerAnnounced
	if reason != zf.ReasonNone {
		event = zfevent.AnnouncementRefused
	}
	l.config.Logger.Entry(event).Str("server", string(a.Server)).Time("born", a.Born).
		Uint64("sequence", a.Sequence).Str("state", a.State.String()).Str("address", a.Address.String()).
		Str("service", string(a.Service)).Dur("cold", a.Cold).Str("reason", reason.String()).
		Dur("contact", zfcluster.ContactAge(l.config.World.Replica().LastContact(now), now)).Msg("")
}

// Leave records that a backend server has announced its end. A zero born stands for its
// latest incarnation.
func (l *Loop) Leave(name zf.ServerName, born time.Time) (zf.Reason, error) {
	var reason zf.Reason
	err := l.do(func(now time.Time) {
		reason = l.config.World.Registry().Leave(name, born, now)
		event := zfevent.ServerAnnounced
		if reason == zf.ReasonStale {
			event = zfevent.AnnouncementRefused
		}
		l.config.Logger.Entry(event).Str("server", string(name)).Time("born", born).
			Str("state", zf.ServerGone.String()).Str("reason", reason.String()).Msg("")
	})
	return reason, err
}

// PutBundle puts a bundle in force and returns once a majority has it on disk.
func (l *Loop) PutBundle(document []byte) (zfcontrol.Outcome, error) {
	compressed, err := zfdocument.Compress(document)
	if err != nil {
		return zfcontrol.Outcome{}, err
	}
	result, err := l.execute("put", zfcluster.AskArgs{
		Document: compressed,
	})
	return result.Outcome, err
}

// SetCentreOut takes a data centre out or brings it back, and returns once a majority
// has the change on disk.
func (l *Loop) SetCentreOut(command zfcontrol.CentreCommand) (zfcontrol.Outcome, error) {
	result, err := l.execute("centre", zfcluster.AskArgs{
		Centre:  command.Centre,
		Out:     command.Out,
		AsOf:    command.AsOf,
		Guarded: true,
	})
	return result.Outcome, err
}

// ReadBundle returns the document in force, or nil if there is none. The read is
// linearizable: a majority has confirmed that the document is the newest.
func (l *Loop) ReadBundle() ([]byte, error) {
	result, err := l.execute("read", zfcluster.AskArgs{})
	if err != nil {
		return nil, err
	}
	compressed := zfcontroller.DocumentInForce(result.State)
	if compressed == nil {
		return nil, nil
	}
	return zfdocument.Decompress(compressed)
}

// execute carries out an operation, here or at the leader, and logs its result.
func (l *Loop) execute(name string, args zfcluster.AskArgs) (zfcontroller.Result, error) {
	command, err := l.decodeCommand(args)
	if err != nil {
		return zfcontroller.Result{}, err
	}
	start := l.config.Clock.Now()
	result, err := l.submit(command, false)
	if err == nil && result.Redirect.ID != 0 {
		result, err = l.forward(result.Redirect, args)
	}
	took := l.config.Clock.Now().Sub(start)
	l.config.Counters.AskTime.Update(took)
	if err != nil {
		l.commandEntry(zfevent.OperationUnanswered, args).Str("ask", name).Dur("took", took).Err(err).Msg("")
		return result, err
	}
	if command != nil {
		outcome := result.Outcome
		l.commandEntry(zfevent.OfCommand(outcome.Status), args).Str("command", name).Str("status", outcome.Status.String()).
			Uint64("sequence", outcome.Sequence).Uint64("version", outcome.Version).Uint64("index", result.Index).Dur("took", took).Msg("")
	}
	return result, nil
}

// commandEntry starts the log entry of an operation.
func (l *Loop) commandEntry(event zfevent.Event, args zfcluster.AskArgs) *log.Entry {
	entry := l.config.Logger.Entry(event)
	if args.Centre == "" {
		return entry
	}
	return entry.Str("centre", string(args.Centre)).Bool("out", args.Out).Uint64("asof", args.AsOf)
}

// forward sends an operation to the leader.
func (l *Loop) forward(leader zfquorum.Node, args zfcluster.AskArgs) (zfcontroller.Result, error) {
	var index uint64
	var state zfcontrol.State
	if err := l.do(func(time.Time) { index, state = l.config.World.CommittedState() }); err != nil {
		return zfcontroller.Result{}, err
	}
	args.Known = index
	reply, err := l.client(leader.Address).Ask(args, leaderTimeout)
	if err != nil {
		return zfcontroller.Result{}, errors.Wrap(zfcontroller.ErrUnavailable, err.Error())
	}
	if reply.Refused {
		return zfcontroller.Result{}, errors.Wrapf(zfcontroller.ErrUnavailable, "%s does not lead", leader.Address)
	}
	if reply.Index != index {
		state = reply.State
	}
	return zfcontroller.Result{
		Outcome: reply.Outcome,
		State:   state,
		Index:   reply.Index,
	}, nil
}
