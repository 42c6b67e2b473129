package zfslot

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// round is one change of a table that live members have to acknowledge, in as
// many parts as messages are needed.
type round struct {
	number  uint64
	version uint32
	slots   []int
	parts   []zf.SlotRows
	// acks holds the incarnation with which each member acknowledged a part.
	acks map[partKey]uint64
	sent time.Time
	// prepares tells that the slots' Next becomes Active afterwards.
	prepares bool
}

type partKey struct {
	name zf.InstanceName
	part int
}

func (r *round) open() bool { return len(r.slots) > 0 }

const (
	partBits   = 8
	numberBits = 24
)

// roundKey tells a part from those of other rounds and coordinators.
func (m *Mapper) roundKey(number uint64, part int) uint64 {
	return m.writer()<<(numberBits+partBits) | number&(1<<numberBits-1)<<partBits | uint64(part)
}

// writer identifies this instance in the rows that it writes.
func (m *Mapper) writer() uint64 {
	return xxh3.HashString(string(m.view.Self)) >> 32
}

// coordinate runs the systems of the member that writes the table.
func (m *Mapper) coordinate(t *table, now time.Time) {
	c := m.coordinator(t)
	if c == nil || c.Name != m.view.Self || !t.synced {
		t.round = round{
			number: t.round.number,
		}
		t.settle = settle{}
		return
	}
	if t.round.open() {
		m.advance(t, now)
	}
	if t.round.open() {
		return
	}
	if slots := m.assign(t, now); len(slots) > 0 {
		m.begin(t, slots, true, now)
		return
	}
	m.settleSlots(t, now)
}

// begin opens a round for rows that have just been written.
func (m *Mapper) begin(t *table, slots []int, prepares bool, now time.Time) {
	number := t.round.number + 1
	parts := m.names.rowsOf(t, slots, 0)
	for i := range parts {
		parts[i].Round = m.roundKey(number, i)
	}
	t.round = round{
		number:   number,
		version:  t.clock,
		slots:    slots,
		parts:    parts,
		acks:     make(map[partKey]uint64),
		prepares: prepares,
	}
	m.advance(t, now)
}

// advance completes the round when every live member has acknowledged it, and
// repeats it to those that have not.
func (m *Mapper) advance(t *table, now time.Time) {
	resend := now.Sub(t.round.sent) >= m.config.ResendInterval
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
		t.round.sent = now
	}
	if complete {
		m.finishRound(t, now)
	}
}

func (r *round) acknowledged(member *zf.MemberView, part int) bool {
	incarnation, ok := r.acks[partKey{
		name: member.Name,
		part: part,
	}]
	return ok && incarnation == member.Incarnation
}

// finishRound ends the round. After a prepared one the slots' Next is made Active
// and told to all members in a round of its own.
func (m *Mapper) finishRound(t *table, now time.Time) {
	done := t.round
	t.round.slots = nil
	if !done.prepares {
		return
	}
	written := make([]int, 0, len(done.slots))
	version := t.clock + 1
	for _, slot := range done.slots {
		row := t.rows[slot]
		if row.version != done.version || row.writer != uint32(m.writer()) {
			continue // Another coordinator wrote the row meanwhile.
		}
		row.active = row.next
		if row.base == noServer {
			row.base = row.active
		}
		m.write(t, slot, row, version, now)
		written = append(written, slot)
	}
	if len(written) > 0 {
		m.begin(t, written, false, now)
	}
}

// write puts a row under a version of the table's clock.
func (m *Mapper) write(t *table, slot int, row slotRow, version uint32, now time.Time) {
	row.version = version
	row.writer = uint32(m.writer())
	t.put(slot, row, now)
}

// receiveAck takes a member's acknowledgement of a part, or its answer to the
// question which slots are still in use.
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
	if t.settle.open() && ack.Round == t.settle.key {
		t.settle.answer(from, incarnation, ack.Busy)
		return
	}
	part := int(ack.Round & (1<<partBits - 1))
	if !t.round.open() || ack.Round != m.roundKey(t.round.number, part) {
		return
	}
	t.round.acks[partKey{
		name: from,
		part: part,
	}] = incarnation
	m.advance(t, now)
}
