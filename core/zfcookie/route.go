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
		return m.open(r, &packet, now)
	}
	server := s.cookies[packet.Cookie]
	switch {
	case packet.Kind == zf.PacketReset && server != nil:
		m.attempts.end(zfflow.Hash(m.config.Seed, packet.Flow), server.load, packet.Acknowledged)
		return forward(server)
	case packet.Kind == zf.PacketReset:
		return drop(zf.ReasonUnknownCookie)
	case r == nil:
		return reset(zf.ReasonUnknownRoute)
	case server == nil:
		// The backend server may have started a moment ago, and its row be on
		// the way; the caller repeats the packet.
		return drop(zf.ReasonUnknownCookie)
	case server.State == zf.ServerGone && server.Proven:
		return reset(zf.ReasonServerDead)
	}
	m.observe(server, &packet, now)
	if server.Late && server.load.lost(now) {
		return reset(zf.ReasonServerDead)
	}
	return forward(server)
}

// observe notes what a packet of an open flow tells of its backend server.
func (m *Mapper) observe(s *server, packet *zf.Packet, now time.Time) {
	hash := zfflow.Hash(m.config.Seed, packet.Flow)
	switch {
	case packet.Kind == zf.PacketClosing:
		m.attempts.end(hash, s.load, packet.Acknowledged)
		return
	case packet.PayloadSize == 0:
		s.load.answered() // A caller acknowledges only what it got.
		m.attempts.acknowledge(hash, s.load, packet.Acknowledged)
		return
	}
	s.load.request()
	repeated, answered := m.attempts.send(hash, s.load, packet, now)
	switch {
	case answered:
		s.load.answered()
	case repeated:
		s.load.missed(now)
	}
}

// open chooses the backend server of a new flow. A copy of an opening packet
// tells that the one chosen before has not answered.
func (m *Mapper) open(r *route, packet *zf.Packet, now time.Time) zf.Verdict {
	if r == nil {
		return reset(zf.ReasonUnknownRoute)
	}
	hash := zfflow.Hash(m.config.Seed, packet.Flow)
	var earlier *load
	if packet.Retransmissions > 0 {
		if earlier = m.attempts.opened(hash); earlier != nil {
			earlier.missed(now)
		}
	}
	p := r.pick(hash)
	if p == nil {
		return reset(zf.ReasonNoServer)
	}
	s := p.choose(opener{
		hash:    hash,
		copies:  packet.Retransmissions,
		earlier: earlier,
		now:     now,
		shared:  m.shared.Load(),
	})
	if s == nil {
		return reset(zf.ReasonNoServer)
	}
	s.load.open()
	m.attempts.open(hash, s.load, &packet.Flow)
	return forward(s)
}

// pick returns the pool of the target that a flow falls to by its hash, so that
// every copy of its opening packet goes to one service.
func (r *route) pick(hash uint64) *pool {
	if r.total == 0 {
		return nil
	}
	point := hash >> 32 % r.total
	for i := range r.targets {
		if point < r.targets[i].upTo {
			return r.targets[i].pool
		}
	}
	return nil
}
