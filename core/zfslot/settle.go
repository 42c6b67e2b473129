package zfslot

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

// settle is the question to all members which slots may settle again.
type settle struct {
	key   uint64
	slots []int
	busy  map[int]bool
	acks  map[zf.InstanceName]uint64
	asked time.Time
	next  time.Time
	// pause is the time until the next question; it grows while slots stay in
	// use.
	pause time.Duration
}

const (
	// settleEvery and settleMostly bound the time between two questions.
	settleEvery  = 5 * time.Second
	settleMostly = 2 * time.Minute
	// settlePart is the part number that marks a question's key.
	settlePart = 1<<partBits - 1
	// settleSlots bounds the slots of one question, and so its message.
	settleMost = 512
)

func (s *settle) open() bool { return len(s.slots) > 0 }

func (s *settle) answer(from zf.InstanceName, incarnation uint64, busy []uint16) {
	s.acks[from] = incarnation
	for _, slot := range busy {
		s.busy[int(slot)] = true
	}
}

// settleSlots makes Active the Base of slots that have no flow elsewhere. A
// flow that lives has sent a packet within the service's idle time, and that
// packet made it known to its owner, so that a slot is asked about when it and
// the membership have been unchanged for that long; or soon if the Base is gone,
// since its flows are, or if the owners have known all flows from the start.
func (m *Mapper) settleSlots(t *table, now time.Time) {
	if t.settle.open() {
		m.finishSettle(t, now)
		return
	}
	if now.Before(t.settle.next) {
		return
	}
	slots := m.settleable(t, now)
	if len(slots) == 0 {
		t.settle.pause = 0
		t.settle.next = now.Add(settleEvery)
		return
	}
	pause := max(settleEvery, min(2*t.settle.pause, settleMostly))
	t.round.number++
	t.settle = settle{
		key:   m.roundKey(t.round.number, settlePart),
		slots: slots,
		busy:  make(map[int]bool),
		acks:  make(map[zf.InstanceName]uint64),
		asked: now,
		next:  now.Add(pause),
		pause: pause,
	}
	ask := zf.SlotAsk{
		Service: t.view.Name,
		Round:   t.settle.key,
	}
	for _, slot := range slots {
		ask.Slots = append(ask.Slots, uint16(slot))
	}
	for _, member := range m.view.Members {
		m.send(member.Name, ask)
	}
	for slot := range m.busySlots(t, slots) {
		t.settle.busy[slot] = true
	}
	m.finishSettle(t, now)
}

func (m *Mapper) settleable(t *table, now time.Time) []int {
	quiet := t.view.Idle + m.config.HintTTL
	slots := make([]int, 0, 16)
	for slot, row := range t.rows {
		if row.settled() || row.next != row.active || len(slots) == settleMost {
			continue
		}
		waited := now.Sub(t.changed[slot]) >= quiet && now.Sub(m.stable) >= quiet
		known := now.Sub(t.changed[slot]) >= settleEvery && m.stable.Before(t.born)
		if waited || known || m.isGone(row.base) && m.handover.finished(now.Sub(m.stable), m.config.HandoverTimeout) {
			slots = append(slots, slot)
		}
	}
	return slots
}

func (m *Mapper) isGone(index uint32) bool {
	if index == noServer {
		return false
	}
	name := m.names.name(index)
	for i := range m.view.Servers {
		if m.view.Servers[i].Name == name {
			return m.view.Servers[i].State == zf.ServerGone
		}
	}
	return false
}

// finishSettle writes the slots that no member uses once all have answered.
func (m *Mapper) finishSettle(t *table, now time.Time) {
	for _, member := range m.view.Members {
		if incarnation, ok := t.settle.acks[member.Name]; member.Name != m.view.Self &&
			(!ok || incarnation != member.Incarnation) {
			if now.Sub(t.settle.asked) >= settleEvery {
				t.settle.slots = nil
			}
			return
		}
	}
	written := make([]int, 0, len(t.settle.slots))
	version := t.clock + 1
	for _, slot := range t.settle.slots {
		row := t.rows[slot]
		if t.settle.busy[slot] || row.next != row.active {
			continue
		}
		row.base = row.active
		row.moved = false
		m.write(t, slot, row, version, now)
		written = append(written, slot)
	}
	t.settle.slots = nil
	m.stats.Settles += len(written)
	if len(written) > 0 {
		t.settle.pause = 0
		m.begin(t, written, false, now)
	}
}

// receiveAsk answers which of the asked slots have flows away from Active.
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

// busySlots returns which of the slots have a live flow away from Active as
// far as this instance knows.
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
