package zfslot

import (
	"time"

	zf "zinniafront"
)

// disagreement is how long an instance stays ready while its tables differ from
// the coordinator's or the coordinator does not confirm to hear it.
const disagreement = 6 * time.Second

// startWait bounds how long a started instance waits to hear of all backend
// servers that have slots.
const startWait = 5 * time.Second

// Stats implements zinniafront.Mapper.
func (m *Mapper) Stats() zf.MapperStats {
	stats := m.stats
	stats.Flows = m.flows.Len()
	stats.FlowBytes = m.flows.Bytes()
	for _, t := range m.tables {
		for _, row := range t.rows {
			if t.live && !row.settled() {
				stats.UnsettledSlots++
			}
			if t.live && row.active == noServer {
				stats.UnplacedSlots++
			}
		}
		stats.PendingSlots += len(t.round.slots)
	}
	return stats
}

// Digests implements zinniafront.Mapper.
func (m *Mapper) Digests() []zf.SlotDigest {
	digests := make([]zf.SlotDigest, 0, len(m.tables))
	for _, t := range m.tables {
		if t.live {
			digests = append(digests, zf.SlotDigest{
				Service: t.view.Name,
				Digest:  t.digest,
			})
		}
	}
	return digests
}

// Synced implements zinniafront.Mapper. An instance that starts also waits for
// a while until it has heard of the backend servers that the tables name. A
// death of the coordinator must not make every instance unready at once, so
// that one that agreed before has some time to agree with the next one.
func (m *Mapper) Synced() bool {
	if m.view.Members == nil {
		return false
	}
	if m.agrees() {
		m.agreed = m.lastTick
	}
	if m.agreed.IsZero() || m.lastTick.Sub(m.agreed) >= disagreement {
		return false
	}
	m.complete = m.complete || m.lastTick.Sub(m.config.Start) >= startWait || m.hasServers()
	return m.complete
}

// agrees reports whether every table agrees with its coordinator's.
func (m *Mapper) agrees() bool {
	for _, t := range m.tables {
		if t.live && !t.synced {
			return false
		}
	}
	return true
}

// hasServers reports whether the addresses of all servers with slots are known.
func (m *Mapper) hasServers() bool {
	known := make(map[uint32]bool, len(m.view.Servers))
	for _, server := range m.view.Servers {
		known[m.names.index[server.Name]] = true
	}
	for _, t := range m.tables {
		for _, row := range t.rows {
			if t.live && row.active != noServer && !known[row.active] {
				return false
			}
		}
	}
	return true
}

// Busy implements zinniafront.Mapper.
func (m *Mapper) Busy() bool { return len(m.handover.batches) > 0 }
