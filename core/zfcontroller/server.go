package zfcontroller

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
	"zinniafront/core/zfoutlier"
	"zinniafront/core/zfregistry"
)

const (
	// freshNeighbour is how old the last word of another control instance may be
	// for backend servers to be sent there: two of its held answers.
	freshNeighbour = 900 * time.Millisecond
	// judgeEvery is the time between two judgements of backend servers; entry
	// instances tell outcomes each half second.
	judgeEvery = 200 * time.Millisecond
)

// MergeChanges takes what another control instance tells of backend servers.
func (w *World) MergeChanges(from netip.AddrPort, changes zfregistry.Changes, now time.Time) {
	w.neighbours[from] = now
	w.registry.Merge(changes, now)
}

// HeartbeatTarget returns the control instance that a backend server should send its
// heartbeats to, or the zero value if there is none: one of its own data centre, as
// bytes between data centres are dear, and always the same one, so that it is told
// once who hears them.
func (w *World) HeartbeatTarget(server zf.ServerName, centre zf.CentreName, now time.Time) netip.AddrPort {
	var home netip.AddrPort
	var best uint64
	for _, node := range w.replica.Nodes(now) {
		here := node.ID == w.replica.Self().ID
		if node.Centre != centre || !here && now.Sub(w.neighbours[node.Address]) >= freshNeighbour {
			continue
		}
		if rank := xxh3.HashStringSeed(string(server), uint64(node.ID)); !home.IsValid() || rank > best {
			home, best = node.Address, rank
		}
	}
	return home
}

// RecordOutcomes takes what an entry instance has seen of backend servers.
func (w *World) RecordOutcomes(outcomes []zf.Outcome, now time.Time) {
	w.outliers.Record(outcomes, now)
}

// judge finds the backend servers that should get no new flows for a while.
func (w *World) judge(now time.Time) {
	if !w.outliers.HasRows() || now.Sub(w.judged) < judgeEvery {
		return
	}
	w.judged = now
	servers := make([]zfoutlier.Server, 0, w.registry.Size())
	for _, row := range w.registry.Rows() {
		if row.Status != zf.ServerWarm && row.Status != zf.ServerCold {
			continue
		}
		servers = append(servers, zfoutlier.Server{
			Name:    row.Server,
			Born:    row.Born,
			Service: row.Service,
		})
	}
	for _, verdict := range w.outliers.Tick(servers, now) {
		w.registry.MarkSuspect(verdict.Server, verdict.Born, now.Add(verdict.Duration))
		w.verdicts = append(w.verdicts, verdict)
	}
}

// TakeOutliers returns the backend servers that were found to be outliers.
func (w *World) TakeOutliers() []zfoutlier.Outlier {
	verdicts := w.verdicts
	w.verdicts = nil
	return verdicts
}
