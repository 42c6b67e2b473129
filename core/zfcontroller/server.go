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
	// peerTimeout is the time since the last reply of another control instance after
	// which backend servers are no longer directed to it. Replies are held back for at
	// most 400 ms, so that one of them may be late.
	peerTimeout = 900 * time.Millisecond
	// outlierInterval is the time between two runs of the outlier detection; entry
	// instances report outcomes every half second.
	outlierInterval = 200 * time.Millisecond
)

// Announce records an announcement that a backend server sent to this instance. A new
// incarnation must belong to a service of the bundle in force, and a known one to the service
// that it had: another writer's announcement would replace a backend server that lives.
func (w *World) Announce(a zf.Announcement, now time.Time) zf.Reason {
	row := w.registry.FindIncarnation(a.Server, a.Born)
	switch {
	case row != nil && row.Service != a.Service:
		return zf.ReasonBadField
	case row == nil && !w.hasService(a.Service):
		return zf.ReasonUnknownService
	default:
		return w.registry.Announce(a, now)
	}
}

// hasService reports whether the bundle in force has a service. Without a bundle that can be
// read here every service may exist.
func (w *World) hasService(name zf.ServiceName) bool {
	_, state := w.CommittedState()
	if w.servicesVersion != state.InForce {
		bundle, err := w.config.Decode(DocumentInForce(state))
		if err != nil {
			return true
		}
		w.servicesVersion = state.InForce
		w.services = make(map[zf.ServiceName]bool, len(bundle.Services))
		for _, service := range bundle.Services {
			w.services[service.Name] = true
		}
	}
	return w.servicesVersion == 0 || w.services[name]
}

// MergeChanges merges another control instance's changes into the registry of
// backend servers.
func (w *World) MergeChanges(from netip.AddrPort, changes zfregistry.Changes, now time.Time) {
	w.peerContact[from] = now
	w.registry.Merge(changes, now)
}

// HeartbeatReceiver returns the control instance that a backend server should send its
// heartbeats to, or the zero value if there is none. It is in the backend server's
// data centre, because traffic between data centres is expensive, and selected by
// rendezvous hashing, so that it stays the same and other instances need to learn the
// heartbeat receiver only once.
func (w *World) HeartbeatReceiver(server zf.ServerName, centre zf.CentreName, now time.Time) netip.AddrPort {
	var receiver netip.AddrPort
	var best uint64
	for _, node := range w.replica.Nodes(now) {
		isSelf := node.ID == w.replica.Self().ID
		if node.Centre != centre || !isSelf && now.Sub(w.peerContact[node.Address]) >= peerTimeout {
			continue
		}
		if rank := xxh3.HashStringSeed(string(server), uint64(node.ID)); !receiver.IsValid() || rank > best {
			receiver, best = node.Address, rank
		}
	}
	return receiver
}

// RecordOutcomes records the outcomes of requests that an entry instance reports.
func (w *World) RecordOutcomes(outcomes []zf.Outcome, now time.Time) {
	w.outliers.Record(outcomes, now)
}

// detectOutliers marks the backend servers that are outliers as suspect, so that they
// get no new flows for a while.
func (w *World) detectOutliers(now time.Time) {
	if !w.outliers.HasRows() || now.Sub(w.lastOutlierDetection) < outlierInterval {
		return
	}
	w.lastOutlierDetection = now
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
	for _, outlier := range w.outliers.Tick(servers, now) {
		w.registry.MarkSuspect(outlier.Server, outlier.Born, now.Add(outlier.Duration))
		w.newOutliers = append(w.newOutliers, outlier)
	}
}

// TakeOutliers returns and clears the outliers detected since the last call.
func (w *World) TakeOutliers() []zfoutlier.Outlier {
	outliers := w.newOutliers
	w.newOutliers = nil
	return outliers
}
