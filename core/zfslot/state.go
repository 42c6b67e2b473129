package zfslot

import (
	"time"

	zf "zinniafront"
)

// disagreementTimeout is how long an instance stays ready while its tables
// differ from the coordinator's or it has no lease from the coordinator.
const disagreementTimeout = 6 * time.Second

// serverDiscoveryTimeout bounds how long a starting instance waits for
// announcements of all backend servers that have slots.
const serverDiscoveryTimeout = 5 * time.Second

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

// Synced implements zinniafront.Mapper. A starting instance is synced once it
// also knows the backend servers that the tables name, or after
// serverDiscoveryTimeout. An instance whose tables were synced before has
// disagreementTimeout to sync with a new coordinator, so that the failure of
// a coordinator doesn't make every instance unready at once.
func (m *Mapper) Synced() bool {
	if m.view.Members == nil {
		return false
	}
	if m.tablesSynced() {
		m.lastSynced = m.lastTick
	}
	if m.lastSynced.IsZero() || m.lastTick.Sub(m.lastSynced) >= disagreementTimeout {
		return false
	}
	m.serversKnown = m.serversKnown || m.lastTick.Sub(m.config.Start) >= serverDiscoveryTimeout || m.knowsServers()
	return m.serversKnown
}

// tablesSynced reports whether every table is synced with its coordinator's.
func (m *Mapper) tablesSynced() bool {
	for _, t := range m.tables {
		if t.live && !t.synced {
			return false
		}
	}
	return true
}

// knowsServers reports whether the addresses of all servers with slots are known.
func (m *Mapper) knowsServers() bool {
	known := make(map[uint32]bool, len(m.view.Servers))
	for _, server := range m.view.Servers {
		known[m.servers.index[server.Name]] = true
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
