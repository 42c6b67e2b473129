package zfcookie

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfopening"
)

// maxVerdicts is the number of changes of verdicts that wait to be taken. Later ones are
// found again by the next tick.
const maxVerdicts = 16

// openedFlow is the opening that the next packet of its flow settles.
type openedFlow struct {
	ticket zfopening.Ticket
	// stats belongs to the backend server that the opening packet was forwarded to.
	stats *serverStats
}

// takeOpened removes the ticket of a flow's opening from its row and returns it.
func (r *requestRow) takeOpened(hash uint64) openedFlow {
	if r.hash != hash || r.ticket == 0 {
		return openedFlow{}
	}
	opened := openedFlow{
		ticket: r.ticket,
		stats:  r.stats,
	}
	r.ticket = 0
	return opened
}

// openingTicket returns the ticket of the flow's last opening packet if the flow has had
// no other packet since, or 0.
func (t *requestTable) openingTicket(hash uint64) zfopening.Ticket {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.rows[hash%requestRows].takeOpened(hash).ticket
}

// beginOpening returns the attempt of an opening packet.
func (m *Mapper) beginOpening(packet *zf.Packet, hash uint64, now time.Time) zfopening.Attempt {
	if m.openings == nil {
		return zfopening.Attempt{}
	}
	m.discardOpenings(now)
	copied := packet.Retransmissions > 0
	if copied {
		m.openings.Unopened(m.requests.openingTicket(hash), now)
	}
	return m.openings.Begin(&packet.Flow, hash, copied, now)
}

// discardOpenings cancels the pending openings if this instance is or was just suspended.
func (m *Mapper) discardOpenings(now time.Time) {
	if m.suspended(now) || m.resumed(now) {
		m.openings.Discard()
	}
}

// recordOpening records an opening packet that was forwarded to a backend server.
func (m *Mapper) recordOpening(attempt *zfopening.Attempt, stats *serverStats, now time.Time) zfopening.Ticket {
	if m.openings == nil {
		return 0
	}
	return m.openings.Record(attempt, stats.opening, now)
}

// recordOpened records the next packet of an opening's flow. If another backend server
// has the flow, that one answered an earlier copy of the opening packet.
func (m *Mapper) recordOpened(s *server, opened openedFlow, now time.Time) {
	if opened.ticket == 0 {
		return
	}
	m.discardOpenings(now)
	if opened.stats != s.stats {
		m.cancelOpening(opened, now)
		s.stats.opening.RecordOpened(now)
		return
	}
	m.openings.Followed(opened.ticket, now)
}

// cancelOpening records that the outcome of an opening will not be known.
func (m *Mapper) cancelOpening(opened openedFlow, now time.Time) {
	if opened.ticket != 0 {
		m.openings.Cancel(opened.ticket, now)
	}
}

// passesOver reports whether the evidence from openings has a backend server passed over.
func (o openingPacket) passesOver(s *server) bool {
	return s.stats.opening != nil && !s.stats.opening.May(o.attempt, o.now)
}

// acquireOpeningProbe acquires the probe of a backend server or data centre that doesn't
// open new flows. It returns false if another goroutine was faster.
func (o openingPacket) acquireOpeningProbe(s *server) bool {
	return s.stats.opening == nil || s.stats.opening.Acquire(o.now)
}

// leastSuspect returns the backend server with a heartbeat that is the least suspect by
// the evidence from openings, for when all are passed over, or nil without that evidence.
func (p *pool) leastSuspect(o openingPacket) *server {
	var candidate *server
	for _, tier := range p.tiers[:tierSilent] {
		for i := range tier {
			s := tier[(o.hash+uint64(i))%uint64(len(tier))]
			if s.stats.opening == nil || !o.allows(s) || s.stats == o.previous || o.attempt.Avoids(s.stats.opening) {
				continue
			}
			if candidate == nil || s.stats.opening.LessSuspect(candidate.stats.opening) {
				candidate = s
			}
		}
	}
	return candidate
}

// tickOpenings counts overdue openings and collects the changes of verdicts.
func (m *Mapper) tickOpenings(now time.Time) {
	if m.openings == nil {
		return
	}
	m.discardOpenings(now)
	m.openings.Expire(now)
	if len(m.verdicts) >= maxVerdicts {
		return
	}
	m.verdicts = append(m.verdicts, m.openings.CentreChanges(now)...)
	for incarnation, stats := range m.stats {
		if len(m.verdicts) >= maxVerdicts {
			return
		}
		if verdict, changed := stats.opening.Change(now); changed {
			verdict.Server = incarnation.Server
			m.verdicts = append(m.verdicts, verdict)
		}
	}
}

// OpeningVerdicts implements zinniafront.Observer.
func (m *Mapper) OpeningVerdicts() []zf.OpeningVerdict {
	verdicts := m.verdicts
	m.verdicts = nil
	return verdicts
}

// setColdCentres records in which data centres backend servers are cold.
func (m *Mapper) setColdCentres(rows []zf.ServerView) {
	if m.openings == nil {
		return
	}
	cold := make(map[zf.CentreName]bool)
	for _, row := range rows {
		cold[row.Centre] = cold[row.Centre] || row.State == zf.ServerCold
	}
	for name, isCold := range cold {
		m.openings.Centre(name).SetCold(isCold)
	}
}

// setOpeningSums evaluates the openings in the total loads.
func (m *Mapper) setOpeningSums(loads []zf.ServerLoad, now time.Time) {
	if m.openings == nil {
		return
	}
	rows := make(map[zf.Cookie]*zfopening.Server, len(m.stats))
	for incarnation, s := range m.stats {
		rows[CookieOf(incarnation.Server, incarnation.Born())] = s.opening
	}
	sums := make([]zfopening.Sum, 0, len(loads))
	for _, load := range loads {
		if row := rows[load.Cookie]; row != nil && load.Opened+load.Unopened > 0 {
			sums = append(sums, zfopening.Sum{
				Server:   row,
				Opened:   load.Opened,
				Unopened: load.Unopened,
			})
		}
	}
	m.openings.SetSums(sums, now)
}
