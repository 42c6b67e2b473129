package zfslot

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// round is one change of a table that all live members have to acknowledge,
// split into as many parts as messages are needed.
type round struct {
	number  uint64
	version uint32
	slots   []int
	parts   []zf.SlotRows
	// ackedBy holds the incarnation with which each member acknowledged a
	// part.
	ackedBy map[partKey]uint64
	sentAt  time.Time
	// prepare marks the first of two phases: the slots' Next becomes Active
	// when the round completes.
	prepare bool
}

type partKey struct {
	name zf.InstanceName
	part int
}

func (r *round) inProgress() bool { return len(r.slots) > 0 }

const (
	partBits  = 8
	roundBits = 24
)

// roundKey returns a key that distinguishes a part from those of other rounds
// and coordinators.
func (m *Mapper) roundKey(number uint64, part int) uint64 {
	return m.writerID()<<(roundBits+partBits) | number&(1<<roundBits-1)<<partBits | uint64(part)
}

// writerID identifies this instance in the rows that it writes.
func (m *Mapper) writerID() uint64 {
	return xxh3.HashString(string(m.view.Self)) >> 32
}

// coordinate runs the coordinator's systems if this instance is the table's
// coordinator, and resets their state otherwise.
func (m *Mapper) coordinate(t *table, now time.Time) {
	c := m.coordinator(t)
	if c == nil || c.Name != m.view.Self || !t.synced {
		t.round = round{
			number: t.round.number,
		}
		t.query = settleQuery{}
		return
	}
	if t.round.inProgress() {
		m.advanceRound(t, now)
	}
	if t.round.inProgress() {
		return
	}
	if slots := m.assign(t, now); len(slots) > 0 {
		m.startRound(t, slots, true, now)
		return
	}
	m.runSettle(t, now)
}

// startRound starts a round for rows that have just been written.
func (m *Mapper) startRound(t *table, slots []int, prepare bool, now time.Time) {
	number := t.round.number + 1
	parts := m.servers.rowMessages(t, slots, 0)
	for i := range parts {
		parts[i].Round = m.roundKey(number, i)
	}
	t.round = round{
		number:  number,
		version: t.lamport,
		slots:   slots,
		parts:   parts,
		ackedBy: make(map[partKey]uint64),
		prepare: prepare,
	}
	m.advanceRound(t, now)
}

// advanceRound completes the round once every live member has acknowledged it,
// and resends it to those that have not.
func (m *Mapper) advanceRound(t *table, now time.Time) {
	resend := now.Sub(t.round.sentAt) >= m.config.ResendInterval
	complete := true
	for part, message := range t.round.parts {
		for i := range m.view.Members {
			member := &m.view.Members[i]
			if member.Name == m.view.Self || t.round.acknowledged(member, part) {
				continue
			}
			complete = false
			if resend {
				m.send(member.Name, message)
			}
		}
	}
	if resend {
		t.round.sentAt = now
	}
	if complete {
		m.finishRound(t, now)
	}
}

func (r *round) acknowledged(member *zf.MemberView, part int) bool {
	incarnation, ok := r.ackedBy[partKey{
		name: member.Name,
		part: part,
	}]
	return ok && incarnation == member.Incarnation
}

// finishRound ends the round. After a prepare round it writes the slots' Next
// as Active and sends that to all members in a round of its own.
func (m *Mapper) finishRound(t *table, now time.Time) {
	done := t.round
	t.round.slots = nil
	if !done.prepare {
		return
	}
	written := make([]int, 0, len(done.slots))
	version := t.lamport + 1
	for _, slot := range done.slots {
		row := t.rows[slot]
		if row.version != done.version || row.writer != uint32(m.writerID()) {
			continue // Another coordinator wrote the row meanwhile.
		}
		row.active = row.next
		if row.base == noServer {
			row.base = row.active
		}
		m.writeRow(t, slot, row, version, now)
		written = append(written, slot)
	}
	if len(written) > 0 {
		m.startRound(t, written, false, now)
	}
}

// writeRow writes a row as this instance, with a version of the table's
// Lamport clock.
func (m *Mapper) writeRow(t *table, slot int, row slotRow, version uint32, now time.Time) {
	row.version = version
	row.writer = uint32(m.writerID())
	t.set(slot, row, now)
}

// receiveAck handles a member's acknowledgement of a part, or its answer to a
// settle query.
func (m *Mapper) receiveAck(from zf.InstanceName, ack zf.SlotAck, now time.Time) {
	t, ok := m.byName[ack.Service]
	if !ok {
		return
	}
	i := slices.IndexFunc(m.view.Members, func(member zf.MemberView) bool { return member.Name == from })
	if i < 0 {
		return
	}
	incarnation := m.view.Members[i].Incarnation
	if t.query.inProgress() && ack.Round == t.query.roundKey {
		t.query.answer(from, incarnation, ack.Busy)
		return
	}
	part := int(ack.Round & (1<<partBits - 1))
	if !t.round.inProgress() || ack.Round != m.roundKey(t.round.number, part) {
		return
	}
	t.round.ackedBy[partKey{
		name: from,
		part: part,
	}] = incarnation
	m.advanceRound(t, now)
}
