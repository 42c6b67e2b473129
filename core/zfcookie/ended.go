package zfcookie

import (
	"net/netip"
	"time"

	zf "zinniafront"
)

const (
	// leaveGrace is how long a backend server may keep running after it announced its
	// end: it calls another control instance after a second without an answer.
	leaveGrace = 3 * time.Second
	// announceDelay is how long a backend server that has started may take to announce
	// itself everywhere. Flows that opened since then may be its own.
	announceDelay = 2 * time.Second
)

// termination holds what is known about the end of a backend server.
type termination struct {
	// heartbeatLate is server.missesHeartbeats of the current row.
	heartbeatLate bool
	// provenAt is when this instance learned that the backend server announced its end or
	// was replaced, or the zero value.
	provenAt time.Time
	// endsAt is from when on the backend server has certainly ended, or the zero value.
	endsAt time.Time
	// restartedAt is the start time of a later incarnation with the same number and
	// address, or the zero value.
	restartedAt time.Time
	// flowsEnded is true once endFlows has collected the backend server's open flows.
	flowsEnded bool
}

// update applies the current row of the backend server. One that announced its end may still serve
// for leaveGrace; one that was replaced doesn't.
func (t *termination) update(s *server, replaced bool, now time.Time) {
	t.heartbeatLate = s.missesHeartbeats()
	switch {
	case s.State != zf.ServerGone || !s.Proven:
		t.provenAt = time.Time{}
		t.endsAt = time.Time{}
		return
	case t.provenAt.IsZero():
		t.provenAt = now
	}
	t.endsAt = t.provenAt
	if !replaced {
		t.endsAt = t.provenAt.Add(leaveGrace)
	}
}

// flowsUntil returns until when packets of flows that end with the backend server came. Later
// ones may be of flows of its next incarnation, which this instance may have learned of late.
func (t *termination) flowsUntil(now time.Time) time.Time {
	if t.restartedAt.IsZero() {
		return now
	}
	until := t.provenAt.Add(-announceDelay)
	if t.restartedAt.Before(until) {
		return t.restartedAt
	}
	return until
}

// successors holds the latest start time of a backend server by name and by address.
type successors struct {
	byName    map[zf.ServerName]time.Time
	byAddress map[netip.AddrPort]time.Time
}

func newSuccessors(rows []zf.ServerView) successors {
	s := successors{
		byName:    make(map[zf.ServerName]time.Time, len(rows)),
		byAddress: make(map[netip.AddrPort]time.Time, len(rows)),
	}
	for _, row := range rows {
		if row.Born.After(s.byName[row.Name]) {
			s.byName[row.Name] = row.Born
		}
		if row.Born.After(s.byAddress[row.Address]) {
			s.byAddress[row.Address] = row.Born
		}
	}
	return s
}

// hasSuccessor reports whether a later backend server has the name or the address of a row's.
func (s successors) hasSuccessor(row zf.ServerView) bool {
	return s.byName[row.Name].After(row.Born) || s.byAddress[row.Address].After(row.Born)
}

// dead returns why the backend server is considered to have ended: its end is certain, or its
// heartbeats are missed and it is unresponsive. It returns ReasonNone if it may live.
func (s *serverStats) dead(now time.Time) zf.Reason {
	switch {
	case !s.termination.endsAt.IsZero() && !now.Before(s.termination.endsAt):
		return zf.ReasonServerDead
	case s.termination.heartbeatLate && s.unresponsive(now):
		return zf.ReasonServerUnresponsive
	default:
		return zf.ReasonNone
	}
}

// endedServer describes why the flows of a backend server end, and until when their last packets
// came.
type endedServer struct {
	until  time.Time
	reason zf.Reason
}

// endFlows collects the flows of backend servers that were found to be dead, so that
// their callers are sent resets before they lose their next request.
func (m *Mapper) endFlows(now time.Time) {
	var dead map[*serverStats]endedServer
	for _, stats := range m.stats {
		reason := stats.dead(now)
		if reason == zf.ReasonNone {
			stats.termination.flowsEnded = false
			continue
		}
		if stats.termination.flowsEnded {
			continue
		}
		stats.termination.flowsEnded = true
		if dead == nil {
			dead = make(map[*serverStats]endedServer)
		}
		dead[stats] = endedServer{
			until:  stats.termination.flowsUntil(now),
			reason: reason,
		}
	}
	if dead != nil {
		m.endedFlows = append(m.endedFlows, m.requests.takeEnded(dead, now)...)
	}
}

// EndedFlows implements zinniafront.Observer.
func (m *Mapper) EndedFlows() []zf.EndedFlow {
	ended := m.endedFlows
	m.endedFlows = nil
	return ended
}
