package zfslot

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

// settleQuery asks all members which slots are no longer used by flows away
// from Active, so that they can be settled.
type settleQuery struct {
	roundKey uint64
	slots    []int
	busy     map[int]bool
	ackedBy  map[zf.InstanceName]uint64
	sentAt   time.Time
	nextAt   time.Time
	// interval is the time until the next query; it grows while slots stay in
	// use.
	interval time.Duration
}

const (
	// minSettleInterval and maxSettleInterval bound the time between two
	// queries.
	minSettleInterval = 5 * time.Second
	maxSettleInterval = 2 * time.Minute
	// settlePartNumber is the part number that marks the key of a query.
	settlePartNumber = 1<<partBits - 1
	// maxSettleSlots bounds the slots of one query, and so its message.
	maxSettleSlots = 512
)

func (q *settleQuery) inProgress() bool { return len(q.slots) > 0 }

func (q *settleQuery) answer(from zf.InstanceName, incarnation uint64, busy []uint16) {
	q.ackedBy[from] = incarnation
	for _, slot := range busy {
		q.busy[int(slot)] = true
	}
}

// runSettle makes Active the Base of slots that have no flow on another
// server. A live flow sends a packet within the service's idle time, and that
// packet makes it known to its owner. A slot is therefore queried once it and
// the membership have been unchanged for that long and the copies of rows have
// expired. It is queried sooner if its Base is gone, since the flows there are
// gone too, or if the owners have known all flows from the start.
func (m *Mapper) runSettle(t *table, now time.Time) {
	if t.query.inProgress() {
		m.finishSettle(t, now)
		return
	}
	if now.Before(t.query.nextAt) {
		return
	}
	slots := m.settleableSlots(t, now)
	if len(slots) == 0 {
		t.query.interval = 0
		t.query.nextAt = now.Add(minSettleInterval)
		return
	}
	interval := max(minSettleInterval, min(2*t.query.interval, maxSettleInterval))
	t.round.number++
	t.query = settleQuery{
		roundKey: m.roundKey(t.round.number, settlePartNumber),
		slots:    slots,
		busy:     make(map[int]bool),
		ackedBy:  make(map[zf.InstanceName]uint64),
		sentAt:   now,
		nextAt:   now.Add(interval),
		interval: interval,
	}
	ask := zf.SlotAsk{
		Service: t.view.Name,
		Round:   t.query.roundKey,
	}
	for _, slot := range slots {
		ask.Slots = append(ask.Slots, uint16(slot))
	}
	for _, member := range m.view.Members {
		m.send(member.Name, ask)
	}
	for slot := range m.busySlots(t, slots) {
		t.query.busy[slot] = true
	}
	m.finishSettle(t, now)
}

func (m *Mapper) settleableSlots(t *table, now time.Time) []int {
	minUnchanged := t.view.Idle + m.config.HintTTL
	slots := make([]int, 0, 16)
	for slot, row := range t.rows {
		if row.settled() || row.next != row.active || len(slots) == maxSettleSlots {
			continue
		}
		idleElapsed := now.Sub(t.changedAt[slot]) >= minUnchanged && now.Sub(m.stableSince) >= minUnchanged
		ownersKnowAll := now.Sub(t.changedAt[slot]) >= minSettleInterval && m.stableSince.Before(t.firstWrite)
		if idleElapsed || ownersKnowAll || m.isGone(row.base) && m.handover.finished(now.Sub(m.stableSince), m.config.HandoverTimeout) {
			slots = append(slots, slot)
		}
	}
	return slots
}

func (m *Mapper) isGone(index uint32) bool {
	if index == noServer {
		return false
	}
	name := m.servers.name(index)
	for i := range m.view.Servers {
		if m.view.Servers[i].Name == name {
			return m.view.Servers[i].State == zf.ServerGone
		}
	}
	return false
}

// finishSettle settles the slots that no member uses once all members have
// answered.
func (m *Mapper) finishSettle(t *table, now time.Time) {
	for _, member := range m.view.Members {
		if incarnation, ok := t.query.ackedBy[member.Name]; member.Name != m.view.Self &&
			(!ok || incarnation != member.Incarnation) {
			if now.Sub(t.query.sentAt) >= minSettleInterval {
				t.query.slots = nil
			}
			return
		}
	}
	written := make([]int, 0, len(t.query.slots))
	version := t.lamport + 1
	for _, slot := range t.query.slots {
		row := t.rows[slot]
		if t.query.busy[slot] || row.next != row.active {
			continue
		}
		row.base = row.active
		row.moved = false
		m.writeRow(t, slot, row, version, now)
		written = append(written, slot)
	}
	t.query.slots = nil
	m.stats.Settles += len(written)
	if len(written) > 0 {
		t.query.interval = 0
		m.startRound(t, written, false, now)
	}
}

// receiveAsk answers a settle query with the slots that have flows away from
// Active.
func (m *Mapper) receiveAsk(from zf.InstanceName, ask zf.SlotAsk) {
	t, ok := m.byName[ask.Service]
	if !ok {
		return
	}
	slots := make([]int, 0, len(ask.Slots))
	for _, slot := range ask.Slots {
		slots = append(slots, int(slot))
	}
	ack := zf.SlotAck{
		Service: ask.Service,
		Round:   ask.Round,
	}
	busy := m.busySlots(t, slots)
	for _, slot := range ask.Slots {
		if busy[int(slot)] {
			ack.Busy = append(ack.Busy, slot)
		}
	}
	m.send(from, ack)
}

// busySlots returns the slots that have a live flow away from Active, as far
// as this instance knows.
func (m *Mapper) busySlots(t *table, slots []int) map[int]bool {
	asked := make(map[int]bool, len(slots))
	for _, slot := range slots {
		asked[slot] = true
	}
	gone := make(map[uint32]bool)
	busy := make(map[int]bool)
	m.flows.Each(func(hash uint64, row zfflow.Row) bool {
		slot := t.slotOf(hash)
		server := uint32(row.Server)
		if row.Service != t.index || !asked[slot] || server == t.rows[slot].active || row.Flags&zfflow.FlagTentative != 0 {
			return true
		}
		if _, ok := gone[server]; !ok {
			gone[server] = m.isGone(server)
		}
		if !gone[server] {
			busy[slot] = true
		}
		return true
	})
	return busy
}
