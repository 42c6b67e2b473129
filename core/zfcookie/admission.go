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
	m.limits.Store(&limits)
}

// admits reports whether a new flow may be forwarded to the backend servers of a pool.
// Flows of routes that state no target latency always may.
func (m *Mapper) admits(r *route, p *pool, hash uint64, packet *zf.Packet, now time.Time) bool {
	if !m.limited.Load() || r.targetLatency <= 0 {
		return true
	}
	return m.config.Admission.Admit(zf.Opening{
		Flow:            packet.Flow,
		Service:         p.service,
		Priority:        r.priority,
		Hash:            hash,
		Retransmissions: packet.Retransmissions,
	}, now)
}
