package zfforwardloop

import (
	"slices"

	zf "zinniafront"
	"zinniafront/io/zfevent"
)

// loggedServer is the part of a backend server's state whose changes are logged.
type loggedServer struct {
	status   zf.ServerState
	late     bool
	inferred bool
	suspect  bool
}

// publishChanges publishes and logs the readiness and the changes of backend servers, and
// closes stopBegun once a planned stop has begun.
func (l *Loop) publishChanges() {
	world := l.config.World
	if ready := world.Ready(); ready != l.ready.Load() {
		l.ready.Store(ready)
		l.config.Logger.Entry(zfevent.ReadyChanged).Bool("ready", ready).Bool("isolated", world.Isolated()).Msg("")
	}
	l.publishStrain()
	if waiting := world.WaitsToEnter(); waiting != l.loggedWaiting {
		l.loggedWaiting = waiting
		l.config.Logger.Entry(zfevent.EntryWaits).Bool("waits", waiting).Msg("")
	}
	if world.Stopping() && !l.stopBegunClosed {
		l.stopBegunClosed = true
		close(l.stopBegun)
	}
	if centres := world.UnresponsiveCentres(l.config.Clock.Now()); !slices.Equal(centres, l.loggedCentres) {
		l.loggedCentres = centres
		l.config.Logger.Entry(zfevent.CentresUnresponsive).Strs("centres", centreNames(centres)).Msg("")
	}
	l.logOpenings(world.OpeningVerdicts())
	if world.Registry().ContentRevision() == l.loggedContentRevision {
		return
	}
	l.loggedContentRevision = world.Registry().ContentRevision()
	for _, row := range world.Registry().Rows() {
		current := loggedServer{
			status:   row.Status,
			late:     row.Late,
			inferred: row.Inferred(),
			suspect:  !row.SuspectUntil.IsZero(),
		}
		if previous, ok := l.loggedServers[row.ID]; ok && previous == current {
			continue
		}
		l.loggedServers[row.ID] = current
		l.config.Logger.Entry(zfevent.ServerStateChanged).Str("server", string(row.Server)).Time("born", row.Born).
			Str("state", row.Status.String()).Bool("proven", row.Proven).Bool("late", row.Late).Bool("inferred", current.inferred).Bool("suspect", current.suspect).Str("address", row.Address.String()).
			Str("centre", string(row.Centre)).Uint64("sequence", row.Sequence).Msg("")
	}
}

// logOpenings logs and counts what has changed of what was inferred from opening packets.
// The world bounds the number of changes a tick.
func (l *Loop) logOpenings(changes []zf.OpeningVerdict) {
	for _, change := range changes {
		counter := l.config.Counters.OpeningServer
		if change.Server == "" {
			counter = l.config.Counters.OpeningCentre
		}
		counter.Inc(1)
		l.config.Logger.Entry(zfevent.OpeningsInferred).Str("server", string(change.Server)).Str("centre", string(change.Centre)).Float64("share", change.Share).
			Int("callers", change.Callers).Int("servers", change.Servers).Dur("age", change.Age).Int("sample", change.Sample).Dur("timeout", change.Timeout).Msg("")
	}
}

func centreNames(centres []zf.CentreName) []string {
	names := make([]string, len(centres))
	for i, centre := range centres {
		names[i] = string(centre)
	}
	return names
}
