package zfcookie

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

func drop(reason zf.Reason) zf.Verdict {
	return zf.Verdict{
		Action: zf.ActionDrop,
		Server: zf.NoServer,
		Reason: reason,
	}
}

func reset(reason zf.Reason) zf.Verdict {
	return zf.Verdict{
		Action: zf.ActionReset,
		Server: zf.NoServer,
		Reason: reason,
	}
}

// resetServer returns the verdict that resets a flow of a backend server.
func resetServer(s *server, reason zf.Reason) zf.Verdict {
	verdict := reset(reason)
	verdict.Number = s.Number
	return verdict
}

func forward(s *server) zf.Verdict {
	return zf.Verdict{
		Action: zf.ActionForward,
		To:     s.Address,
		Server: s.ID,
		Number: s.Number,
		Cookie: s.cookie,
	}
}

// Route implements zinniafront.Mapper.
func (m *Mapper) Route(packet zf.Packet, now time.Time) zf.Verdict {
	s := m.current.Load()
	if s == nil {
		return drop(zf.ReasonNotReady)
	}
	r := s.routes.find(packet.Flow.Destination)
	if packet.Kind == zf.PacketOpening {
		return m.routeOpening(r, &packet, now)
	}
	server := s.cookies[packet.Cookie]
	switch {
	case packet.Kind == zf.PacketReset && server != nil:
		opened := m.requests.recordEnd(zfflow.Hash(m.config.Seed, packet.Flow), server.stats, acknowledgement{
			number: packet.Acknowledged,
			at:     now,
		})
		m.cancelOpening(opened, now)
		return forward(server)
	case packet.Kind == zf.PacketReset:
		return drop(zf.ReasonUnknownCookie)
	case r == nil && !s.removed[packet.Flow.Destination].IsZero():
		return reset(zf.ReasonUnknownRoute)
	case r == nil:
		// Another instance may have opened the flow by a later control state.
		return drop(zf.ReasonUnknownRoute)
	case server == nil:
		// The backend server may have just started and its row not have arrived
		// yet; the caller retransmits the packet.
		return drop(zf.ReasonUnknownCookie)
	case server.ended(now):
		return resetServer(server, zf.ReasonServerDead)
	}
	result := m.observe(server, r, &packet, now)
	verdict := forward(server)
	switch {
	case m.suspended(now):
	case server.missesHeartbeats() && server.stats.unresponsive(now):
		verdict = resetServer(server, zf.ReasonServerUnresponsive)
	case result.abandoned && server.stats.centre.unresponsive(false, now):
		verdict = resetServer(server, zf.ReasonCentreUnresponsive)
	}
	verdict.Previous = result.previous
	return verdict
}

// observe updates the statistics of a backend server by a packet of one of its open
// flows. It returns what a packet with a payload shows.
func (m *Mapper) observe(s *server, r *route, packet *zf.Packet, now time.Time) dataResult {
	hash := zfflow.Hash(m.config.Seed, packet.Flow)
	switch {
	case packet.Kind == zf.PacketClosing:
		m.recordOpened(s, m.requests.recordEnd(hash, s.stats, m.acknowledgement(packet, now)), now)
		return dataResult{}
	case packet.PayloadSize == 0:
		s.stats.recordAnswer(now) // A caller acknowledges only data it has received.
		m.recordOpened(s, m.requests.recordAcknowledgement(hash, s.stats, m.acknowledgement(packet, now)), now)
		return dataResult{}
	}
	s.stats.recordRequest()
	result := m.requests.recordData(hash, s.stats, r.times, packet, m.resumed(now), now)
	m.recordOpened(s, result.opened, now)
	switch {
	case result.answered:
		s.stats.recordAnswer(now)
	case result.retransmitted:
		m.recordMiss(s.stats, now)
	}
	return result
}

// routeOpening chooses the backend server of a new flow. A retransmission of an opening
// packet shows that the backend server chosen before has not answered.
func (m *Mapper) routeOpening(r *route, packet *zf.Packet, now time.Time) zf.Verdict {
	if r == nil {
		return reset(zf.ReasonUnknownRoute)
	}
	hash := zfflow.Hash(m.config.Seed, packet.Flow)
	var previous *serverStats
	if packet.Retransmissions > 0 {
		previous = m.recordCopy(hash, packet.Flow.Source.Addr(), now)
	}
	p := r.pickPool(hash)
	if p == nil {
		return reset(zf.ReasonNoServer)
	}
	if !m.admits(r, p, hash, packet, now) {
		return reset(zf.ReasonNoRoom)
	}
	attempt := m.beginOpening(packet, hash, now)
	d := p.departureOf(hash)
	s := p.choose(openingPacket{
		hash:            hash,
		retransmissions: packet.Retransmissions,
		previous:        previous,
		now:             now,
		totalsKnown:     m.totalsKnown.Load(),
		attempt:         &attempt,
	}.depart(d, d != nil && previous == nil && d.centre.acquireProbe(now)))
	if s == nil {
		return reset(zf.ReasonNoServer)
	}
	s.stats.recordOpening()
	m.requests.recordOpening(hash, s.stats, &packet.Flow, m.recordOpening(&attempt, s.stats, now), newTiming(r.times, packet, now), now)
	return forward(s)
}

// pickPool returns the pool of the target that the flow's hash selects, so that all
// retransmissions of its opening packet go to the same service.
func (r *route) pickPool(hash uint64) *pool {
	if r.total == 0 {
		return nil
	}
	point := hash >> 32 % r.total
	for i := range r.targets {
		if point < r.targets[i].cumulativeWeight {
			return r.targets[i].pool
		}
	}
	return nil
}
