package zfcookie

import (
	"time"

	zf "zinniafront"
)

// tickAdmission applies the limits in force.
func (m *Mapper) tickAdmission(now time.Time, limits []zf.AdmissionLimit) {
	if m.config.Admission == nil {
		return
	}
	m.config.Admission.Tick(now, limits)
	m.limited.Store(len(limits) > 0)
	m.limitsInForce.Store(&limits)
}

// admits reports whether a new flow may be forwarded to the backend servers of a pool.
// Flows of routes that state no target latency always may.
func (m *Mapper) admits(r *route, p *pool, hash uint64, packet *zf.Packet, now time.Time) bool {
	return !m.limits(r) || m.config.Admission.Admit(newOpening(r, p, hash, packet), now)
}

// would reports what admits would, without counting the packet.
func (m *Mapper) would(r *route, p *pool, hash uint64, packet *zf.Packet, now time.Time) bool {
	return !m.limits(r) || m.config.Admission.Would(newOpening(r, p, hash, packet), now)
}

// limits reports whether limits may apply to the new flows of a route.
func (m *Mapper) limits(r *route) bool { return m.limited.Load() && r.targetLatency > 0 }

func newOpening(r *route, p *pool, hash uint64, packet *zf.Packet) zf.Opening {
	return zf.Opening{
		Flow:            packet.Flow,
		Service:         p.service,
		Priority:        r.priority,
		Hash:            hash,
		Retransmissions: packet.Retransmissions,
	}
}
