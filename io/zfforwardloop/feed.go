package zfforwardloop

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrestoration"
	"zinniafront/core/zfrotation"
	"zinniafront/io/zfcluster"
)

// ErrStopped is returned after the loop has ended.
var ErrStopped = errors.New("instance has stopped")

// quorumStatus holds what the last fetch reply reported of the control instances.
type quorumStatus struct {
	// lastContact is the time of the last contact with a majority of them.
	lastContact time.Time
	controls    []zfquorum.Node
}

// ContentRevision implements zfcluster.FeedData.
func (l *Loop) ContentRevision() uint64 { return l.config.World.Registry().ContentRevision() }

// Revision implements zfcluster.FeedData.
func (l *Loop) Revision() uint64 { return l.config.World.Registry().Revision() }

// Since implements zfcluster.FeedData.
func (l *Loop) Since(cursor uint64, heartbeats bool, now time.Time) zfregistry.Changes {
	return l.config.World.Registry().Since(cursor, heartbeats, now)
}

// Diff implements zfcluster.FeedData.
func (l *Loop) Diff(digests []uint64, first int, heartbeats bool, now time.Time) zfregistry.Changes {
	return l.config.World.Registry().Diff(digests, first, heartbeats, now)
}

// PublishedState implements zfcluster.FeedData.
func (l *Loop) PublishedState() zfcluster.PublishedState {
	state := l.config.World.State()
	return zfcluster.PublishedState{
		Index:    state.Index,
		Document: state.Document,
		Out:      state.Out,
	}
}

// ContactAge implements zfcluster.FeedData.
func (l *Loop) ContactAge(now time.Time) time.Duration {
	return zfcluster.ContactAge(l.quorum.lastContact, now)
}

// Loads implements zfcluster.FeedData. Only control instances sum up loads.
func (l *Loop) Loads(bool, time.Time) []zf.ServerLoad { return nil }

// Figures implements zfcluster.FeedData.
func (l *Loop) Figures(time.Time) []zf.ServiceRoom { return nil }

// Departures implements zfcluster.FeedData. Only control instances decide on them.
func (l *Loop) Departures(time.Time) (departures []zf.Departure, decides bool) { return nil, false }

// Limits implements zfcluster.FeedData. Only control instances decide on limits.
func (l *Loop) Limits() []zf.AdmissionLimit { return nil }

// StopPermitted implements zfcluster.FeedData. Every subscriber is permitted to stop:
// without a control instance no stops are coordinated.
func (l *Loop) StopPermitted(zf.InstanceName, time.Time) bool { return true }

// StepOutPermitted implements zfcluster.FeedData. Only control instances know enough to let
// an instance leave the rotation.
func (l *Loop) StepOutPermitted(zf.InstanceName, zf.CentreName, time.Time) bool { return false }

// MayEnter implements zfcluster.FeedData. Without a control instance no instance waits for
// others.
func (l *Loop) MayEnter(zf.InstanceName, zf.CentreName) bool { return true }

// EntryCounts implements zfcluster.FeedData.
func (l *Loop) EntryCounts(time.Time) []zfrotation.Count { return nil }

// Restorations implements zfcluster.FeedData.
func (l *Loop) Restorations(now time.Time) []zfrestoration.Restoration {
	return l.config.World.Restorations(now)
}

// Controls implements zfcluster.FeedData.
func (l *Loop) Controls(time.Time) []zfquorum.Node { return l.quorum.controls }

// Fetch implements zfcluster.Handler. An entry instance that reaches no control
// instance may fetch from this one instead.
func (l *Loop) Fetch(args zfcluster.FetchArgs) (zfcluster.FetchReply, error) {
	reply := make(chan zfcluster.FetchReply, 1)
	if !l.enqueue(func(now time.Time) { l.feed.AddFetch(args, reply, now) }) {
		return zfcluster.FetchReply{}, ErrStopped
	}
	select {
	case r := <-reply:
		return r, nil
	case <-l.done:
		return zfcluster.FetchReply{}, ErrStopped
	}
}

// Deliver implements zfcluster.Handler. It drops the messages, as entry instances
// take no part in the replication.
func (l *Loop) Deliver([]zfquorum.Message) {}

// Offer implements zfcluster.Handler.
func (l *Loop) Offer(address netip.AddrPort) { l.offerHandler(address) }

// Ask implements zfcluster.Handler. An entry instance refuses every operation, as it is
// never the leader.
func (l *Loop) Ask(zfcluster.AskArgs) (zfcluster.AskReply, error) {
	return zfcluster.AskReply{
		Refused: true,
	}, nil
}
