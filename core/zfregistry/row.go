package zfregistry

import (
	"container/list"
	"time"

	zf "zinniafront"
)

// Row is one incarnation of a backend server.
type Row struct {
	zf.Announcement
	ID zf.ServerID
	// LastHeartbeat is when the last heartbeat that is known here came in.
	LastHeartbeat time.Time
	// receiver is the heartbeat receiver, the instance that the heartbeats are
	// sent to. It reports to others when they begin to arrive and when they are
	// overdue, not each of them, so that the traffic doesn't grow with the number
	// of backend servers times that of control instances.
	receiver Source
	// ColdUntil is when the backend server's cold start ends, or the zero value if it isn't
	// cold.
	ColdUntil time.Time
	// Status is the state derived from the heartbeats and the reports of other
	// instances, State the announced one.
	Status zf.ServerState
	// Proven is set if the backend server is certain to have ended: it left, or
	// a later one has its name or its address.
	Proven bool
	// Late is set if a heartbeat is overdue, not counting the time in which none
	// could be received.
	Late bool
	// inferredAt is when Late was inferred because reports of other instances are missing,
	// which may receive the heartbeats, or when a subscriber was told so; otherwise
	// the zero value.
	inferredAt time.Time
	// inferredThere is set if the heartbeat receiver reported Late as inferred. Only a
	// report about the row ends that.
	inferredThere bool
	// SuspectUntil is until when the backend server should receive no new flows,
	// as it leaves requests unanswered.
	SuspectUntil time.Time
	// goneAt is when Status became ServerGone.
	goneAt time.Time
	// contentRevision is the revision of the last change. feedRevision is that
	// of the last change or of the last time that heartbeats began to arrive at
	// this instance, whichever is later.
	contentRevision uint64
	feedRevision    uint64
	// element is the row's element in Table.byFeedRevision.
	element *list.Element
	// lastDigest is the digest of the row that its bucket's digest includes.
	lastDigest uint64
}

// Inferred reports whether Late was inferred while reports of another instance are missing,
// which may receive the heartbeats.
func (r *Row) Inferred() bool { return !r.inferredAt.IsZero() || r.inferredThere }

// setLate sets Late as the heartbeats or a report of their receiver show it.
func (r *Row) setLate(late bool) {
	r.Late = late
	r.inferredAt = time.Time{}
	r.inferredThere = false
}

// announcedStatus returns the state of a row that is not silent.
func (r *Row) announcedStatus(now time.Time) zf.ServerState {
	switch {
	case r.State == zf.ServerDraining:
		return zf.ServerDraining
	case now.Before(r.ColdUntil):
		return zf.ServerCold
	default:
		return zf.ServerWarm
	}
}

// silentStatus returns the state of a row that is silent. ServerSilent allows new flows
// where no other backend server is left, which one that drains must not get.
func (r *Row) silentStatus() zf.ServerState {
	if r.State == zf.ServerDraining {
		return zf.ServerDraining
	}
	return zf.ServerSilent
}

// differs reports whether an announcement has another address, service, data
// centre, capacity or number.
func (r *Row) differs(a zf.Announcement) bool {
	return r.Address != a.Address || r.Web != a.Web || r.Service != a.Service || r.Centre != a.Centre ||
		r.Capacity != a.Capacity || r.Number != a.Number
}
