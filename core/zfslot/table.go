package zfslot

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// slotRow is the state of one slot with servers as indexes of the name table.
type slotRow struct {
	base    uint32
	active  uint32
	next    uint32
	version uint32
	writer  uint32
	moved   bool
}

// noServer is the index of no backend server.
const noServer uint32 = 1<<32 - 1

// settled reports whether every flow of the slot is with its base. A slot that
// went back to its base is not settled until its other flows have ended.
func (r slotRow) settled() bool { return !r.moved && r.base == r.active && r.active == r.next }

// newer reports whether the row goes before other.
func (r slotRow) newer(other slotRow) bool {
	return r.version > other.version || r.version == other.version && r.writer > other.writer
}

// table is one service's slots, with the state of the systems that run over
// it. The service's index never changes.
type table struct {
	index   uint16
	view    zf.ServiceView
	live    bool
	rows    []slotRow
	changed []time.Time
	clock   uint32
	digest  uint64
	// born is when the first row was written or came in.
	born time.Time
	// coordinator is the member that writes the table.
	coordinator zf.InstanceName
	// synced tells that the table agreed with the coordinator's since the
	// coordinator last confirmed to hear this instance.
	synced bool
	// differs is since when the digest differs from another instance's.
	differs time.Time
	pulled  time.Time
	round   round
	settle  settle
	dirty   bool
}

func newTable(index uint16, view zf.ServiceView) *table {
	t := &table{
		index:   index,
		view:    view,
		rows:    make([]slotRow, view.Slots),
		changed: make([]time.Time, view.Slots),
		dirty:   true,
	}
	for i := range t.rows {
		t.rows[i] = slotRow{
			base:   noServer,
			active: noServer,
			next:   noServer,
		}
	}
	return t
}

// rowDigest identifies one written row; the digest of a table is their sum.
func rowDigest(slot int, row slotRow) uint64 {
	if row.version == 0 {
		return 0
	}
	var buffer [12]byte
	binary.BigEndian.PutUint32(buffer[0:4], uint32(slot))
	binary.BigEndian.PutUint32(buffer[4:8], row.version)
	binary.BigEndian.PutUint32(buffer[8:12], row.writer)
	return xxh3.Hash(buffer[:])
}

// put replaces a row and keeps clock, digest and time of change.
func (t *table) put(slot int, row slotRow, now time.Time) {
	if t.born.IsZero() {
		t.born = now
	}
	t.digest += rowDigest(slot, row) - rowDigest(slot, t.rows[slot])
	t.clock = max(t.clock, row.version)
	t.rows[slot] = row
	t.changed[slot] = now
	t.dirty = true
}

// merge takes a replicated row if it is newer. It reports whether the slot's
// base became another one.
func (t *table) merge(slot int, row slotRow, now time.Time) (rebased bool) {
	if slot >= len(t.rows) || !row.newer(t.rows[slot]) {
		return false
	}
	old := t.rows[slot].base
	t.put(slot, row, now)
	return old != noServer && old != row.base
}

func (t *table) slotOf(hash uint64) int { return int(hash) & (len(t.rows) - 1) }

// names gives backend servers indexes that never change. An index may exist
// before the backend server's first announcement is heard.
type names struct {
	list  []zf.ServerName
	index map[zf.ServerName]uint32
}

func newNames() *names {
	return &names{
		index: make(map[zf.ServerName]uint32),
	}
}

func (n *names) intern(name zf.ServerName) uint32 {
	if name == "" {
		return noServer
	}
	if i, ok := n.index[name]; ok {
		return i
	}
	i := uint32(len(n.list))
	n.list = append(n.list, name)
	n.index[name] = i
	return i
}

func (n *names) name(index uint32) zf.ServerName {
	if index == noServer {
		return ""
	}
	return n.list[index]
}

func (n *names) export(slot int, row slotRow) zf.SlotRow {
	return zf.SlotRow{
		Slot:    uint16(slot),
		Base:    n.name(row.base),
		Active:  n.name(row.active),
		Next:    n.name(row.next),
		Moved:   row.moved,
		Version: row.version,
		Writer:  row.writer,
	}
}

func (n *names) accept(row zf.SlotRow) slotRow {
	return slotRow{
		base:    n.intern(row.Base),
		active:  n.intern(row.Active),
		next:    n.intern(row.Next),
		moved:   row.Moved,
		version: row.Version,
		writer:  row.Writer,
	}
}

// A message of slot rows costs about groupBytes for each group of like rows
// and slotBytes for each row; it stays below messageBytes.
const (
	groupBytes   = 20
	slotBytes    = 3
	messageBytes = 1100
)

// rowsOf returns the written rows of the slots in messages of bounded size.
// Like rows come together, since they are encoded as one group.
func (n *names) rowsOf(t *table, slots []int, round uint64) []zf.SlotRows {
	slots = slices.Clone(slots)
	slices.SortStableFunc(slots, func(a, b int) int { return compareRows(t.rows[a], t.rows[b]) })
	messages := make([]zf.SlotRows, 0, 1)
	rows := make([]zf.SlotRow, 0, len(slots))
	size := 0
	for i, slot := range slots {
		row := t.rows[slot]
		if row.version == 0 {
			continue
		}
		if i == 0 || compareRows(row, t.rows[slots[i-1]]) != 0 {
			size += groupBytes
		}
		size += slotBytes
		rows = append(rows, n.export(slot, row))
		if size >= messageBytes {
			messages = append(messages, slotRows(t, rows, round))
			rows, size = nil, 0
		}
	}
	if len(rows) > 0 {
		messages = append(messages, slotRows(t, rows, round))
	}
	return messages
}

func slotRows(t *table, rows []zf.SlotRow, round uint64) zf.SlotRows {
	return zf.SlotRows{
		Service: t.view.Name,
		Rows:    rows,
		Round:   round,
	}
}

func compareRows(a, b slotRow) int {
	for _, pair := range [...][2]uint32{
		{a.version, b.version},
		{a.writer, b.writer},
		{a.base, b.base},
		{a.active, b.active},
		{a.next, b.next},
	} {
		switch {
		case pair[0] < pair[1]:
			return -1
		case pair[0] > pair[1]:
			return 1
		}
	}
	return 0
}
