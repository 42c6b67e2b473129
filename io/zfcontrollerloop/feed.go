package zfcontrollerloop

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfpermit"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfcluster"
)

// feedSource implements zfcluster.FeedSource with the tables of a world.
type feedSource struct {
	world *zfcontroller.World
}

// ContentRevision implements zfcluster.FeedSource.
func (s feedSource) ContentRevision() uint64 { return s.world.Registry().ContentRevision() }

// Revision implements zfcluster.FeedSource.
func (s feedSource) Revision() uint64 { return s.world.Registry().Revision() }

// Since implements zfcluster.FeedSource.
func (s feedSource) Since(cursor uint64, heartbeats bool, now time.Time) zfregistry.Changes {
	return s.world.Registry().Since(cursor, heartbeats, now)
}

// Diff implements zfcluster.FeedSource.
func (s feedSource) Diff(digests []uint64, first int, heartbeats bool, now time.Time) zfregistry.Changes {
	return s.world.Registry().Diff(digests, first, heartbeats, now)
}

// PublishedState implements zfcluster.FeedSource.
func (s feedSource) PublishedState() zfcluster.PublishedState {
	index, state := s.world.CommittedState()
	return zfcluster.PublishedState{
		Index:    index,
		Document: zfcontroller.DocumentInForce(state),
		Out:      zfcontroller.CentresOut(state),
	}
}

// ContactAge implements zfcluster.FeedSource.
func (s feedSource) ContactAge(now time.Time) time.Duration {
	return zfcluster.ContactAge(s.world.Replica().LastContact(now), now)
}

// Loads implements zfcluster.FeedSource.
func (s feedSource) Loads(total bool, now time.Time) []zf.ServerLoad {
	if total {
		return s.world.Loads().Total(now)
	}
	return s.world.Loads().Local(now)
}

// Turn implements zfcluster.FeedSource.
func (s feedSource) Turn(instance zf.InstanceName, now time.Time) bool {
	return s.world.StopPermits().Acquire(instance, now)
}

// Controls implements zfcluster.FeedSource.
func (s feedSource) Controls(now time.Time) []zfquorum.Node { return s.world.Replica().Nodes(now) }

// Fetch implements zfcluster.Handler.
func (l *Loop) Fetch(args zfcluster.FetchArgs) (zfcluster.FetchReply, error) {
	reply := make(chan zfcluster.FetchReply, 1)
	if !l.enqueue(func(now time.Time) {
		l.config.World.Registry().Merge(zfregistry.Changes{
			Updates: args.Rows,
		}, now)
		l.config.World.RecordOutcomes(args.Outcomes, now)
		l.config.World.Loads().Record(args.Loads, now)
		if !args.Control {
			l.config.World.StopPermits().Record(zfpermit.Report{
				Instance: args.Instance,
				Centre:   args.Centre,
				Ready:    args.Ready,
				Stopping: args.Stopping,
			}, now)
		}
		l.feed.AddFetch(args, reply, now)
	}) {
		return zfcluster.FetchReply{}, ErrStopped
	}
	select {
	case r := <-reply:
		return r, nil
	case <-l.done:
		return zfcluster.FetchReply{}, ErrStopped
	}
}
