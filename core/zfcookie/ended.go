package zfcookie

import (
	"time"

	zf "zinniafront"
)

// leaveGrace is how long a backend server may live on after it said that it ends.
const leaveGrace = time.Second

// termination is what is known of a backend server's end.
type termination struct {
	heartbeatLate bool
	// provenAt is since when it is certain that the backend server has ended, or the
	// zero value.
	provenAt time.Time
	// flowsEnded tells that the flows known here were ended.
	flowsEnded bool
}

// update takes the row of the backend server.
func (t *termination) update(row zf.ServerView, now time.Time) {
	t.heartbeatLate = row.Late
	switch {
	case row.State != zf.ServerGone || !row.Proven:
		t.provenAt = time.Time{}
	case t.provenAt.IsZero():
		t.provenAt = now
	}
}

// dead reports whether the backend server has ended, by the same evidence by which
// packets of its flows are answered with resets.
func (s *serverStats) dead(now time.Time) bool {
	if !s.termination.provenAt.IsZero() && now.Sub(s.termination.provenAt) >= leaveGrace {
		return true
	}
	return s.termination.heartbeatLate && s.unresponsive(now)
}

// endFlows finds the flows of backend servers that turned out to be dead: their
// callers should not lose their next request to find out.
func (m *Mapper) endFlows(now time.Time) {
	var dead map[*serverStats]bool
	for _, stats := range m.stats {
		if !stats.dead(now) {
			stats.termination.flowsEnded = false
			continue
		}
		if stats.termination.flowsEnded {
			continue
		}
		stats.termination.flowsEnded = true
		if dead == nil {
			dead = make(map[*serverStats]bool)
		}
		dead[stats] = true
	}
	if dead != nil {
		m.endedFlows = append(m.endedFlows, m.requests.takeLastPackets(dead, now)...)
	}
}

// EndedFlows implements zinniafront.Observer.
func (m *Mapper) EndedFlows() []zf.Packet {
	ended := m.endedFlows
	m.endedFlows = nil
	return ended
}
