package zfcookie

import (
	"time"

	zf "zinniafront"
)

// leaveTime is how long a backend server may live on after it said that it ends.
const leaveTime = time.Second

// verdict is what is known of a backend server's end.
type verdict struct {
	late bool
	// proven is since when it is certain that the backend server has ended, or the
	// zero value.
	proven time.Time
	// told tells that the flows known here were ended.
	told bool
}

// learn takes the row of the backend server.
func (v *verdict) learn(row zf.ServerView, now time.Time) {
	v.late = row.Late
	switch {
	case row.State != zf.ServerGone || !row.Proven:
		v.proven = time.Time{}
	case v.proven.IsZero():
		v.proven = now
	}
}

// dead reports whether the backend server has ended, by the same evidence by which
// packets of its flows are answered with resets.
func (l *load) dead(now time.Time) bool {
	if !l.verdict.proven.IsZero() && now.Sub(l.verdict.proven) >= leaveTime {
		return true
	}
	return l.verdict.late && l.lost(now)
}

// endFlows finds the flows of backend servers that turned out to be dead: their
// callers should not lose their next request to find out.
func (m *Mapper) endFlows(now time.Time) {
	var dead map[*load]bool
	for _, l := range m.loads {
		if !l.dead(now) {
			l.verdict.told = false
			continue
		}
		if l.verdict.told {
			continue
		}
		l.verdict.told = true
		if dead == nil {
			dead = make(map[*load]bool)
		}
		dead[l] = true
	}
	if dead != nil {
		m.ended = append(m.ended, m.attempts.take(dead, now)...)
	}
}

// EndedFlows implements zinniafront.Observer.
func (m *Mapper) EndedFlows() []zf.Packet {
	ended := m.ended
	m.ended = nil
	return ended
}
