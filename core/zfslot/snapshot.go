package zfslot

import (
	"encoding/binary"
	"net/netip"
	"time"

	zf "zinniafront"
)

// snapshot is the state that the traffic goroutines read. It doesn't change
// after it is published.
type snapshot struct {
	// services4 holds the services at IPv4 addresses by ipv4Key, services6 all
	// others.
	services4 map[uint64]*serviceSnapshot
	services6 map[serviceKey]*serviceSnapshot
	tables    []*serviceSnapshot
	servers   []serverSnapshot
	members   []memberSnapshot
	// ownership holds the owner and the backup of each bucket as indexes of
	// members; pending marks the buckets that this instance owns and whose
	// rows have not all arrived yet.
	ownership *ownership
	pending   [bucketCount]bool
	// ownedSince is when each bucket got its present owner.
	ownedSince *[bucketCount]time.Time
	self       int16
	hintTTL    time.Duration
}

type serviceKey struct {
	address  netip.AddrPort
	protocol zf.Protocol
}

type serviceSnapshot struct {
	index uint16
	// usable reports whether the slots may be trusted for unknown flows.
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
	// accepting is set if the backend server gets new flows.
	accepting bool
	// alive is set if the backend server is not gone, so that its flows continue.
	alive bool
	// allowed is set if the backend server's data centre is not taken out.
	allowed bool
	// returnedAt is when the server announced itself again after a silence.
	returnedAt time.Time
}

// noMember is the index of an instance that owns nothing.
const noMember int16 = -2

type memberSnapshot struct {
	name   zf.InstanceName
	relay  netip.AddrPort
	recent bool
}

// ipv4Key packs an IPv4 address, a port and a protocol into one number.
func ipv4Key(address netip.AddrPort, protocol zf.Protocol) uint64 {
	b := address.Addr().As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<32 | uint64(address.Port())<<16 | uint64(protocol)
}

// service returns the service that a flow is for, or nil.
func (s *snapshot) service(flow *zf.Flow) *serviceSnapshot {
	if flow.Destination.Addr().Is4() {
		return s.services4[ipv4Key(flow.Destination, flow.Protocol)]
	}
	return s.services6[serviceKey{
		address:  flow.Destination,
		protocol: flow.Protocol,
	}]
}

// add registers a service at an address.
func (s *snapshot) add(service *serviceSnapshot, address netip.AddrPort, protocol zf.Protocol) {
	if address.Addr().Is4() {
		s.services4[ipv4Key(address, protocol)] = service
		return
	}
	s.services6[serviceKey{
		address:  address,
		protocol: protocol,
	}] = service
}

// server returns the state of a backend server. One that has not announced
// itself yet counts as alive without an address.
func (s *snapshot) server(index uint32) serverSnapshot {
	if index >= uint32(len(s.servers)) {
		return serverSnapshot{
			alive:   index != noServer,
			allowed: true,
		}
	}
	return s.servers[index]
}

// publish stores a new snapshot of all tables, reusing the slots of tables
// that have not changed.
func (m *Mapper) publish(now time.Time) {
	previous := m.published.Load()
	next := &snapshot{
		services4:  make(map[uint64]*serviceSnapshot),
		services6:  make(map[serviceKey]*serviceSnapshot),
		servers:    m.serverSnapshots(now),
		members:    make([]memberSnapshot, 0, len(m.view.Members)),
		ownedSince: m.ownedSince,
		self:       noMember,
		hintTTL:    m.config.HintTTL,
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
			next.add(service, address, t.view.Protocol)
		}
		next.tables = append(next.tables, service)
	}
	m.published.Store(next)
}

// snapshotMembers lists the members in the order of ownership.names.
func (m *Mapper) snapshotMembers(next *snapshot) {
	next.ownership = m.ownership
	for i, name := range m.ownership.names {
		member := memberSnapshot{
			name: name,
		}
		for j := range m.view.Members {
			if m.view.Members[j].Name == name {
				member.relay = m.view.Members[j].Relay
				member.recent = m.view.Members[j].Recent
			}
		}
		if name == m.view.Self {
			next.self = int16(i)
		}
		next.members = append(next.members, member)
	}
	for b := range next.pending {
		next.pending[b] = m.handover.pending(b)
	}
}

func (m *Mapper) serverSnapshots(now time.Time) []serverSnapshot {
	servers := make([]serverSnapshot, len(m.servers.list))
	for i := range servers {
		servers[i].alive = true
		servers[i].allowed = true
	}
	for _, server := range m.view.Servers {
		index, ok := m.servers.index[server.Name]
		if !ok {
			continue
		}
		servers[index] = serverSnapshot{
			id:         server.ID,
			address:    server.Address,
			accepting:  server.Allowed && (server.Weight > 0 || m.inDrainGrace(index, now)),
			alive:      server.State != zf.ServerGone,
			allowed:    server.Allowed,
			returnedAt: m.returnedAt[index],
		}
	}
	return servers
}

func (m *Mapper) slotSnapshots(t *table, previous *snapshot) []slotSnapshot {
	if !t.dirty && previous != nil {
		for _, service := range previous.tables {
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
