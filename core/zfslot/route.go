package zfslot

import (
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

// Route implements zinniafront.Mapper.
func (m *Mapper) Route(packet zf.Packet, now time.Time) zf.Verdict {
	s := m.published.Load()
	if s == nil {
		return drop(zf.ReasonNotReady)
	}
	service := s.service(&packet.Flow)
	if service == nil {
		return drop(zf.ReasonUnknownService)
	}
	l := lookup{
		snapshot:     s,
		service:      service,
		hash:         zfflow.Hash(m.config.Seed, packet.Flow),
		kind:         packet.Kind,
		relayAddress: packet.Relay,
		now:          now,
	}
	l.slot = service.slots[int(l.hash)&(len(service.slots)-1)]
	l.row, l.age, l.known = m.flows.Touch(l.hash, packet.Kind, now)
	l.known = l.known && l.trusted() && s.server(uint32(l.row.Server)).alive
	switch {
	case l.hintValid():
		return l.forward(uint32(l.row.Server))
	case !service.usable && !l.known:
		return drop(zf.ReasonIsolated)
	case l.ownedHere():
		return m.routeOwned(&l)
	default:
		return m.routeByOwner(&l)
	}
}

// lookup holds the inputs of the decision on one packet.
type lookup struct {
	snapshot *snapshot
	service  *serviceSnapshot
	slot     slotSnapshot
	hash     uint64
	row      zfflow.Row
	// age is the time since the owner last confirmed the row.
	age time.Duration
	// known is set if the flow has a row that may route packets and its backend
	// server is not gone.
	known        bool
	kind         zf.PacketKind
	relayAddress netip.AddrPort
	now          time.Time
}

// hintValid reports whether the packet may follow a recent hint from the
// flow's present owner.
func (l *lookup) hintValid() bool {
	if !l.known || l.kind != zf.PacketMidFlow || l.ownedHere() || l.age >= l.snapshot.hintTTL {
		return false
	}
	return l.confirmedAfter(l.snapshot.ownedSince[bucketOf(l.hash)]) &&
		l.confirmedAfter(l.snapshot.server(uint32(l.row.Server)).returnedAt)
}

// confirmedAfter reports whether the owner confirmed the flow's server after
// since, or since is zero. The second allows for ages in whole seconds.
func (l *lookup) confirmedAfter(since time.Time) bool {
	return since.IsZero() || l.now.Sub(since) > l.age+time.Second
}

func (l *lookup) owner() int16 { return l.snapshot.ownership.owners[bucketOf(l.hash)] }

func (l *lookup) ownedHere() bool { return l.owner() == l.snapshot.self }

func (l *lookup) pending() bool { return l.snapshot.pending[bucketOf(l.hash)] }

// trusted reports whether the flow's row may route packets. A tentative row
// may only at the owner, once no better row can arrive.
func (l *lookup) trusted() bool {
	return l.row.Flags&zfflow.FlagTentative == 0 || l.ownedHere() && !l.pending()
}

func (l *lookup) relayed() bool { return l.relayAddress.IsValid() }

func drop(reason zf.Reason) zf.Verdict {
	return zf.Verdict{
		Action: zf.ActionDrop,
		Server: zf.NoServer,
		Reason: reason,
	}
}

// relayTo relays a packet to another instance.
func (l *lookup) relayTo(member int16, reason zf.Reason) zf.Verdict {
	return zf.Verdict{
		Action: zf.ActionRelay,
		To:     l.snapshot.members[member].relay,
		Server: zf.NoServer,
		Reason: reason,
	}
}

// recent reports whether a member has sent a heartbeat recently.
func (l *lookup) recent(member int16) bool {
	return member >= 0 && l.snapshot.members[member].recent
}

// relayOrForward relays a packet to the flow's owner. A packet of a settled
// slot is forwarded without the owner if it was relayed already or the owner
// has not sent a heartbeat recently. Any other packet is dropped if it was
// relayed already or has no owner.
func (l *lookup) relayOrForward(reason zf.Reason) zf.Verdict {
	owner := l.owner()
	switch {
	case l.slot.settled && (l.relayed() || !l.recent(owner)):
		if l.kind == zf.PacketOpening {
			return l.open(l.slot.active)
		}
		return l.forward(l.slot.active)
	case l.relayed() || owner < 0:
		return drop(zf.ReasonNoOwner)
	}
	return l.relayTo(owner, reason)
}

// forward sends a packet to a backend server if that may have flows.
func (l *lookup) forward(index uint32) zf.Verdict {
	if index == noServer {
		return drop(zf.ReasonNoServer)
	}
	server := l.snapshot.server(index)
	switch {
	case !server.alive:
		return drop(zf.ReasonServerGone)
	case !server.allowed:
		return drop(zf.ReasonCentreOut)
	case !server.address.IsValid():
		return drop(zf.ReasonNoServer)
	}
	return zf.Verdict{
		Action: zf.ActionForward,
		To:     server.address,
		Server: server.id,
	}
}

// open sends the first packet of a flow to a backend server if that accepts
// new flows.
func (l *lookup) open(index uint32) zf.Verdict {
	verdict := l.forward(index)
	if verdict.Action == zf.ActionForward && !l.snapshot.server(index).accepting {
		return drop(zf.ReasonLeaving)
	}
	return verdict
}

// routeByOwner relays packets to the flow's owner: those that open or end a
// flow, and of the others the first one that arrives here and then one every
// HintTTL. In between this instance knows the flow's server, for a settled
// slot from the slot and for another from the owner's hint. A hint from a
// previous owner doesn't count, since the present owner may not know the flow.
func (m *Mapper) routeByOwner(l *lookup) zf.Verdict {
	switch {
	case l.kind == zf.PacketOpening && l.slot.settled:
		verdict := l.relayOrForward(zf.ReasonOpening)
		if verdict.Action == zf.ActionForward {
			m.recordUnowned(l)
		}
		return verdict
	case l.kind == zf.PacketOpening:
		return m.relayOpening(l)
	case l.kind != zf.PacketMidFlow:
		return l.relayOrForward(zf.ReasonEnding)
	case !l.slot.settled && l.known:
		return l.relayOrForward(zf.ReasonRefresh)
	case !l.slot.settled:
		return l.relayOrForward(zf.ReasonMovedSlot)
	}
	verdict := l.relayOrForward(zf.ReasonRefresh)
	if verdict.Action == zf.ActionRelay && l.slot.active != noServer {
		m.recordFlow(l, l.slot.active, 0)
	}
	if verdict.Action == zf.ActionForward {
		m.recordUnowned(l)
	}
	return verdict
}

// recordUnowned records a flow that was placed without its owner. The row
// counts as confirmed HintTTL ago, so it is never used as a hint, but while it
// exists the slot is not settled on another backend server.
func (m *Mapper) recordUnowned(l *lookup) {
	m.flows.Merge(l.hash, zfflow.Row{
		Server:  zf.ServerID(l.slot.active),
		Version: l.slot.version,
		Service: l.service.index,
	}, l.snapshot.hintTTL, l.now)
}

// relayOpening relays the first packet of a flow in an unsettled slot to the
// owner through the backup, so that two instances know the flow without an
// extra message. The backup predicts the server from its own slot table.
func (m *Mapper) relayOpening(l *lookup) zf.Verdict {
	owner, backup := l.owner(), l.snapshot.ownership.backups[bucketOf(l.hash)]
	switch {
	case owner < 0:
		return drop(zf.ReasonNoOwner)
	case backup == l.snapshot.self:
		if l.slot.active != noServer && !(l.known && l.snapshot.server(uint32(l.row.Server)).accepting) {
			m.recordFlow(l, l.slot.active, zfflow.FlagTentative)
		}
		return l.relayTo(owner, zf.ReasonOpening)
	case l.relayed():
		return drop(zf.ReasonNoOwner)
	case l.recent(backup):
		return l.relayTo(backup, zf.ReasonBackup)
	}
	return l.relayTo(owner, zf.ReasonOpening)
}

// routeOwned decides on a packet of a flow that this instance owns. An unknown
// flow of an unsettled slot is on the base server.
func (m *Mapper) routeOwned(l *lookup) zf.Verdict {
	if l.kind == zf.PacketOpening {
		return m.openOwned(l)
	}
	if !l.known && !l.slot.settled && l.pending() {
		return drop(zf.ReasonOwnerPending)
	}
	server := l.slot.base
	switch {
	case l.known:
		server = uint32(l.row.Server)
	case !l.snapshot.server(server).alive:
		server = l.slot.active
	}
	verdict := l.forward(server)
	if verdict.Action != zf.ActionForward {
		return verdict
	}
	version := l.row.Version
	if !l.known {
		version = m.recordUnknown(l, server)
	}
	m.queueHints(l, server, version)
	return verdict
}

// recordUnknown records a flow that existed before this instance owned it. It
// returns the version of the row.
func (m *Mapper) recordUnknown(l *lookup, server uint32) uint32 {
	version := uint32(0)
	if l.slot.settled {
		version = l.slot.version
	}
	m.flows.Put(l.hash, zfflow.Row{
		Server:  zf.ServerID(server),
		Version: version,
		Service: l.service.index,
		Flags:   zfflow.FlagOwned,
	}, l.now)
	return version
}

// openOwned places a new flow. A retransmitted opening packet goes to the same
// server as the first one. A new flow with the five-tuple of an earlier one
// goes to the earlier flow's server while that accepts new flows.
func (m *Mapper) openOwned(l *lookup) zf.Verdict {
	if !l.known && !l.slot.settled && l.pending() {
		return drop(zf.ReasonOwnerPending)
	}
	if backup := l.snapshot.ownership.backups[bucketOf(l.hash)]; !l.slot.settled && !l.relayed() && l.recent(backup) {
		return l.relayTo(backup, zf.ReasonBackup) // The backup records the flow and relays the packet back.
	}
	server := l.slot.active
	if l.known {
		earlier := uint32(l.row.Server)
		switch {
		case l.snapshot.server(earlier).accepting:
			server = earlier
		case !l.slot.settled && server != earlier:
			m.recordFlow(l, server, zfflow.FlagOwned)
			m.rebinds.start(l, server)
		}
	}
	if m.rebinds.pending(l.hash) {
		return drop(zf.ReasonRebind)
	}
	verdict := l.open(server)
	if verdict.Action != zf.ActionForward {
		return verdict
	}
	version := l.slot.version
	if l.known && server == uint32(l.row.Server) {
		version = l.row.Version
	}
	if !m.recordFlow(l, server, zfflow.FlagOwned) {
		return drop(zf.ReasonFull)
	}
	m.queueHints(l, server, version)
	return verdict
}

// recordFlow records a flow's backend server; it reports false if the flow
// table is full.
func (m *Mapper) recordFlow(l *lookup, server uint32, flags zfflow.Flags) bool {
	version := l.slot.version
	if l.known && server == uint32(l.row.Server) {
		version = l.row.Version
	}
	return m.flows.Put(l.hash, zfflow.Row{
		Server:  zf.ServerID(server),
		Version: version,
		Service: l.service.index,
		Flags:   flags,
	}, l.now)
}

// queueHints queues hints about the server of a flow in an unsettled slot: to
// the backup for a new flow and then twice per idle time, and to the instance
// that relayed the packet.
func (m *Mapper) queueHints(l *lookup, server, version uint32) {
	ended := l.row.Flags&zfflow.FlagEnded != 0
	opening := l.kind == zf.PacketOpening
	if l.slot.settled || ended && !opening {
		return
	}
	h := hint{
		hash:    l.hash,
		server:  server,
		version: version,
		service: l.service.index,
	}
	if opening || !l.known || l.age >= l.service.idle/2 && m.flows.Confirm(l.hash, l.service.idle/2, l.now) {
		m.hints.push(h)
	}
	if l.relayed() && !opening {
		h.relay = l.relayAddress
		m.hints.push(h)
	}
}
