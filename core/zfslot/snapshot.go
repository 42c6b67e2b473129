package zfslot

import (
	"net/netip"
	"time"

	zf "zinniafront"
)

// snapshot is what the traffic goroutines read. It is never changed once it
// is published.
type snapshot struct {
	services map[serviceKey]*serviceSnapshot
	servers  []serverSnapshot
	members  []memberSnapshot
	// owners and backups hold the members that own each bucket and that would
	// own it next, or -1; pending tells that this instance owns a bucket whose
	// rows have not all come in yet.
	owners  [bucketCount]int16
	backups [bucketCount]int16
	pending [bucketCount]bool
	// owned holds since when each bucket has its owner.
	owned   *[bucketCount]time.Time
	self    int16
	refresh time.Duration
}

type serviceKey struct {
	address  netip.AddrPort
	protocol zf.Protocol
}

type serviceSnapshot struct {
	index uint16
	// usable tells that the slots may be trusted for unknown flows.
	usable bool
	idle   time.Duration
	slots  []slotSnapshot
}

type slotSnapshot struct {
	base    uint32
	active  uint32
	version uint32
	settled bool
}

type serverSnapshot struct {
	id      zf.ServerID
	address netip.AddrPort
	// accepting backend servers get new flows, alive ones keep theirs, allowed
	// ones are not in a data centre taken out.
	accepting bool
	alive     bool
	allowed   bool
}

type memberSnapshot struct {
	name   zf.InstanceName
	relay  netip.AddrPort
	recent bool
}

// server returns the state of a backend server. One that has not been heard of
// counts as alive without an address.
func (s *snapshot) server(index uint32) serverSnapshot {
	if index >= uint32(len(s.servers)) {
		return serverSnapshot{
			alive:   index != noServer,
			allowed: true,
		}
	}
	return s.servers[index]
}

// publish makes a new snapshot of all tables, reusing the slots of tables that
// have not changed.
func (m *Mapper) publish(now time.Time) {
	previous := m.current.Load()
	next := &snapshot{
		services: make(map[serviceKey]*serviceSnapshot),
		servers:  m.serverSnapshots(now),
		members:  make([]memberSnapshot, 0, len(m.view.Members)),
		owned:    m.owned,
		self:     -1,
		refresh:  m.config.Refresh,
	}
	m.snapshotMembers(next)
	for _, t := range m.tables {
		if !t.live {
			continue
		}
		service := &serviceSnapshot{
			index:  t.index,
			usable: m.usable(t),
			idle:   t.view.Idle,
			slots:  m.slotSnapshots(t, previous),
		}
		for _, address := range t.view.Addresses {
			next.services[serviceKey{
				address:  address,
				protocol: t.view.Protocol,
			}] = service
		}
	}
	m.current.Store(next)
}

func (m *Mapper) snapshotMembers(next *snapshot) {
	index := make(map[zf.InstanceName]int16, len(m.view.Members))
	for i, member := range m.view.Members {
		index[member.Name] = int16(i)
		next.members = append(next.members, memberSnapshot{
			name:   member.Name,
			relay:  member.Relay,
			recent: member.Recent,
		})
	}
	if self, ok := index[m.view.Self]; ok {
		next.self = self
	}
	for b := range m.owners {
		next.owners[b] = indexOr(index, m.owners[b])
		next.backups[b] = indexOr(index, m.backups[b])
		next.pending[b] = m.handover.pending(b)
	}
}

// indexOr returns the index of a member, or -1.
func indexOr(index map[zf.InstanceName]int16, name zf.InstanceName) int16 {
	if i, ok := index[name]; ok {
		return i
	}
	return -1
}

func (m *Mapper) serverSnapshots(now time.Time) []serverSnapshot {
	servers := make([]serverSnapshot, len(m.names.list))
	for i := range servers {
		servers[i].alive = true
		servers[i].allowed = true
	}
	for _, server := range m.view.Servers {
		index, ok := m.names.index[server.Name]
		if !ok {
			continue
		}
		servers[index] = serverSnapshot{
			id:        server.ID,
			address:   server.Address,
			accepting: server.Allowed && (server.Weight > 0 || m.inGrace(index, now)),
			alive:     server.State != zf.ServerGone,
			allowed:   server.Allowed,
		}
	}
	return servers
}

func (m *Mapper) slotSnapshots(t *table, previous *snapshot) []slotSnapshot {
	if !t.dirty && previous != nil {
		for _, service := range previous.services {
			if service.index == t.index {
				return service.slots
			}
		}
	}
	slots := make([]slotSnapshot, len(t.rows))
	for i, row := range t.rows {
		slots[i] = slotSnapshot{
			base:    row.base,
			active:  row.active,
			version: row.version,
			settled: row.settled(),
		}
	}
	t.dirty = false
	return slots
}
