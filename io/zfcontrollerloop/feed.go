package zfcontrollerloop

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfpermit"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrestoration"
	"zinniafront/core/zfrotation"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfevent"
)

// feedData implements zfcluster.FeedData with the tables of a world.
type feedData struct {
	world *zfcontroller.World
}

// ContentRevision implements zfcluster.FeedData.
func (d feedData) ContentRevision() uint64 { return d.world.Registry().ContentRevision() }

// Revision implements zfcluster.FeedData.
func (d feedData) Revision() uint64 { return d.world.Registry().Revision() }

// Since implements zfcluster.FeedData.
func (d feedData) Since(cursor uint64, heartbeats bool, now time.Time) zfregistry.Changes {
	return d.world.Registry().Since(cursor, heartbeats, now)
}

// Diff implements zfcluster.FeedData.
func (d feedData) Diff(digests []uint64, first int, heartbeats bool, now time.Time) zfregistry.Changes {
	return d.world.Registry().Diff(digests, first, heartbeats, now)
}

// PublishedState implements zfcluster.FeedData.
func (d feedData) PublishedState() zfcluster.PublishedState {
	index, state := d.world.CommittedState()
	return zfcluster.PublishedState{
		Index:    index,
		Document: zfcontroller.DocumentInForce(state),
		Out:      zfcontroller.CentresOut(state),
	}
}

// ContactAge implements zfcluster.FeedData.
func (d feedData) ContactAge(now time.Time) time.Duration {
	return zfcluster.ContactAge(d.world.Replica().LastContact(now), now)
}

// Loads implements zfcluster.FeedData.
func (d feedData) Loads(total bool, now time.Time) []zf.ServerLoad {
	if total {
		return d.world.TotalLoads(now)
	}
	return d.world.Loads().Local(now)
}

// Figures implements zfcluster.FeedData.
func (d feedData) Figures(now time.Time) []zf.ServiceRoom { return d.world.Figures(now) }

// Departures implements zfcluster.FeedData.
func (d feedData) Departures(now time.Time) (departures []zf.Departure, decides bool) {
	return d.world.Departures(now)
}

// Limits implements zfcluster.FeedData.
func (d feedData) Limits() []zf.AdmissionLimit { return d.world.Admission().Limits() }

// StopPermitted implements zfcluster.FeedData.
func (d feedData) StopPermitted(instance zf.InstanceName, now time.Time) bool {
	return d.world.StopPermits().Acquire(instance, now)
}

// StepOutPermitted implements zfcluster.FeedData.
func (d feedData) StepOutPermitted(instance zf.InstanceName, centre zf.CentreName, now time.Time) bool {
	return d.world.Rotation().MayLeave(instance, centre) && d.world.StopPermits().AcquireStepOut(instance, now)
}

// MayEnter implements zfcluster.FeedData.
func (d feedData) MayEnter(instance zf.InstanceName, centre zf.CentreName) bool {
	return d.world.Rotation().MayEnter(instance, centre)
}

// EntryCounts implements zfcluster.FeedData.
func (d feedData) EntryCounts(now time.Time) []zfrotation.Count {
	return d.world.Rotation().Counts(now)
}

// Restorations implements zfcluster.FeedData.
func (d feedData) Restorations(now time.Time) []zfrestoration.Restoration {
	return d.world.Restorations(now)
}

// Controls implements zfcluster.FeedData.
func (d feedData) Controls(now time.Time) []zfquorum.Node { return d.world.Replica().Nodes(now) }

// Fetch implements zfcluster.Handler. It records what the sender reports, then waits for
// the reply of the feed.
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
				Strain:   args.Strain,
				StepOut:  args.StepOut,
			}, now)
			l.config.World.Rotation().Record(zfrotation.Report{
				Instance: args.Instance,
				Centre:   args.Centre,
				Able:     args.Able || args.Ready,
				Ready:    args.Ready,
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

// logStepOuts logs the permits to leave the rotation that were granted or have ended.
func (l *Loop) logStepOuts() {
	for _, change := range l.config.World.StopPermits().TakeChanges() {
		l.config.Logger.Entry(zfevent.StepOutPermitChanged).Str("subject", string(change.Instance)).
			Bool("granted", change.Granted).Int("total", change.Total).Int("calm", change.Calm).Msg("")
	}
}
