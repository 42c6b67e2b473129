package zfcookie

import (
	"time"

	zf "zinniafront"
)

// admits reports whether a new flow may be forwarded to the backend servers of a pool.
// Flows of routes that state no target latency always may.
func (m *Mapper) admits(r *route, p *pool, hash uint64, packet *zf.Packet, now time.Time) bool {
	if m.config.Admission == nil || r.targetLatency <= 0 {
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
