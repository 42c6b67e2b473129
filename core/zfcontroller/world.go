// Package zfcontroller combines the tables and systems of one control instance
// with a replicated control state: the registry of backend servers, the Raft
// replica, and the operations of operators. A World is not safe for concurrent
// use; the control goroutine owns it.
package zfcontroller

import (
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfdeparture"
	"zinniafront/core/zfload"
	"zinniafront/core/zfoutlier"
	"zinniafront/core/zfpermit"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrestoration"
	"zinniafront/core/zfrotation"
)

// Config holds the parameters of a world.
type Config struct {
	Quorum   zfquorum.Config
	Registry zfregistry.Config
	Outlier  zfoutlier.Config
	// Departure is nil if data centres exchange no figures of their rooms and no new
	// flows leave.
	Departure *zfdeparture.Config
	// Decode returns the bundle of a document as stored in the control state.
	Decode func(document []byte) (*zfbundle.Bundle, error)
	// Admission is set if new flows are turned away that can't be served in time.
	Admission bool
}

const (
	// operationTimeout is how long an operation waits for its result; operators
	// give up after one second.
	operationTimeout = 850 * time.Millisecond
	// quorumTimeout is the time without contact to a majority after which missing
	// heartbeats of backend servers are no longer taken as a failure.
	quorumTimeout = 1200 * time.Millisecond
	// maxTickGap is the time between two ticks from which this instance is considered
	// to have been suspended.
	maxTickGap = 500 * time.Millisecond
)

// World holds the tables and systems of one control instance.
type World struct {
	config               Config
	replica              *zfquorum.Replica
	registry             *zfregistry.Table
	outliers             *zfoutlier.Table
	loads                *zfload.Table
	totals               totalLoads
	room                 room
	stopPermits          *zfpermit.Table
	rotation             *zfrotation.Table
	departures           departures
	lastOutlierDetection time.Time
	newOutliers          []zfoutlier.Outlier
	stateMachine         *zfcontrol.StateMachine
	// stateMachineTerm is the term in which stateMachine was created.
	stateMachineTerm uint64
	operations       []operation
	results          []Result
	// peerContact is the time of the last fetch reply of each other control
	// instance.
	peerContact map[netip.AddrPort]time.Time
	// quorumSince is the start of the current contact with a majority.
	quorumSince time.Time
	lastTick    time.Time
	// reportingSince is since when all other control instances have reported their
	// backend servers without a gap, or the zero value.
	reportingSince time.Time
	// services are those of the bundle with servicesVersion.
	services        map[zf.ServiceName]bool
	servicesVersion uint64
	admission       *zfadmission.Table
	restorations    *zfrestoration.Table
	routes          routesInForce
}

// New returns a world.
func New(config Config, now time.Time) *World {
	w := &World{
		config:      config,
		replica:     zfquorum.New(config.Quorum, now),
		registry:    zfregistry.New(config.Registry),
		outliers:    zfoutlier.New(config.Outlier),
		loads:       zfload.New(),
		room:        newRoom(),
		stopPermits: zfpermit.New(),
		rotation:    zfrotation.New(),
		admission:   zfadmission.New(config.Quorum.Self.Centre),

		restorations: zfrestoration.New(),
		peerContact:  make(map[netip.AddrPort]time.Time),
	}
	if config.Departure != nil {
		w.departures.table = zfdeparture.New(*config.Departure)
	}
	return w
}

// Replica returns the Raft replica of the control state.
func (w *World) Replica() *zfquorum.Replica { return w.replica }

// Loads returns the table of loads that entry instances report for backend servers.
func (w *World) Loads() *zfload.Table { return w.loads }

// StopPermits returns the table of stop permits of entry instances.
func (w *World) StopPermits() *zfpermit.Table { return w.stopPermits }

// Rotation returns the table of entry instances by which those that start enter the
// rotation.
func (w *World) Rotation() *zfrotation.Table { return w.rotation }

// Registry returns the table of backend servers.
func (w *World) Registry() *zfregistry.Table { return w.registry }

// QuorumSince returns when the current contact with a majority began, or the zero
// value if there is none.
func (w *World) QuorumSince() time.Time { return w.quorumSince }

// Receive handles a message of another control instance.
func (w *World) Receive(m zfquorum.Message, now time.Time) {
	w.replica.Receive(m, now)
	w.advanceOperations(now)
}

// MarkSaved records that the record with the given serial is on disk.
func (w *World) MarkSaved(serial uint64, now time.Time) {
	w.replica.MarkSaved(serial, now)
	w.advanceOperations(now)
}

// Tick runs every system once.
func (w *World) Tick(now time.Time) {
	w.replica.Tick(now)
	w.updateContact(now)
	w.updateRestorations(now)
	w.registry.SetReportingSince(w.reportingSince)
	w.registry.Tick(now, w.quorumSince)
	w.stopPermits.Tick(now)
	w.rotation.Tick(now)
	w.detectOutliers(now)
	w.decideDepartures(now)
	w.limitAdmission(now)
	w.advanceOperations(now)
	w.settleRestorations(now)
}

// updateContact updates quorumSince and reportingSince. A suspension interrupts the contact although
// messages that were received meanwhile count as contact now: heartbeats of backend
// servers can't have come in.
func (w *World) updateContact(now time.Time) {
	suspended := now.Sub(w.lastTick) >= maxTickGap
	w.lastTick = now
	switch reachable := now.Sub(w.replica.LastContact(now)) < quorumTimeout; {
	case !reachable:
		w.quorumSince = time.Time{}
	case suspended || w.quorumSince.IsZero():
		w.quorumSince = now
	}
	switch {
	case suspended || !w.allReport(now):
		w.reportingSince = time.Time{}
	case w.reportingSince.IsZero():
		w.reportingSince = now
	}
}

// allReport reports whether all other known control instances have reported recently.
func (w *World) allReport(now time.Time) bool {
	for _, node := range w.replica.Nodes(now) {
		if node.ID != w.replica.Self().ID && now.Sub(w.peerContact[node.Address]) >= quorumTimeout {
			return false
		}
	}
	return true
}

// CommittedState returns the index of the last committed entry and its state, or
// zero values if there is none.
func (w *World) CommittedState() (uint64, zfcontrol.State) {
	committed := w.replica.Committed()
	return committed.Index, committed.State
}

// DocumentInForce returns the document of the bundle in force, or nil.
func DocumentInForce(state zfcontrol.State) []byte {
	for _, accepted := range state.Bundles {
		if accepted.Version == state.InForce {
			return accepted.Signed
		}
	}
	return nil
}

// CentresOut returns the data centres taken out of service in a state.
func CentresOut(state zfcontrol.State) []zf.CentreName {
	out := make([]zf.CentreName, 0, len(state.Out))
	for _, o := range state.Out {
		out = append(out, o.Centre)
	}
	return out
}
