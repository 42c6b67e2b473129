package zfslot

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// slotRow is the state of one slot, with servers as indexes of serverNames.
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

// settled reports whether every flow of the slot is on its base server. A slot
// that moved back to its base is not settled until its flows on other servers
// have ended.
func (r slotRow) settled() bool { return !r.moved && r.base == r.active && r.active == r.next }

// supersedes reports whether the row replaces other: the higher version wins,
// then the higher writer.
func (r slotRow) supersedes(other slotRow) bool {
	return r.version > other.version || r.version == other.version && r.writer > other.writer
}

// table is one service's slot table, with the state of the systems that run
// over it. The service's index never changes.
type table struct {
	index     uint16
	view      zf.ServiceView
	live      bool
	rows      []slotRow
	changedAt []time.Time
	lamport   uint32
	digest    uint64
	// firstWrite is when the first row was written here or received.
	firstWrite time.Time
	// coordinator is the member that writes the table.
	coordinator zf.InstanceName
	// synced is set once the table has matched the coordinator's. It is
	// cleared when the lease from the coordinator expires or another instance
	// becomes the coordinator.
	synced bool
	// differsSince is when the digest began to differ from another instance's,
	// zero while they match.
	differsSince time.Time
	lastPull     time.Time
	round        round
	query        settleQuery
	dirty        bool
}

func newTable(index uint16, view zf.ServiceView) *table {
	t := &table{
		index:     index,
		view:      view,
		rows:      make([]slotRow, view.Slots),
		changedAt: make([]time.Time, view.Slots),
		dirty:     true,
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

// rowDigest returns the digest of one written row; the digest of a table is
// the sum over its rows.
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

// set replaces a row and updates the Lamport clock, the digest and the time of
// the change.
func (t *table) set(slot int, row slotRow, now time.Time) {
	if t.firstWrite.IsZero() {
		t.firstWrite = now
	}
	t.digest += rowDigest(slot, row) - rowDigest(slot, t.rows[slot])
	t.lamport = max(t.lamport, row.version)
	t.rows[slot] = row
	t.changedAt[slot] = now
	t.dirty = true
}

// merge applies a replicated row if it supersedes the present one. It reports
// whether the slot's base moved to another server.
func (t *table) merge(slot int, row slotRow, now time.Time) (baseChanged bool) {
	if slot >= len(t.rows) || !row.supersedes(t.rows[slot]) {
		return false
	}
	old := t.rows[slot].base
	t.set(slot, row, now)
	return old != noServer && old != row.base
}

func (t *table) slotOf(hash uint64) int { return int(hash) & (len(t.rows) - 1) }

// serverNames assigns each backend server an index that never changes. An
// index may be assigned before the backend server's first announcement is
// received.
type serverNames struct {
	list  []zf.ServerName
	index map[zf.ServerName]uint32
}

func newServerNames() *serverNames {
	return &serverNames{
		index: make(map[zf.ServerName]uint32),
	}
}

func (n *serverNames) intern(name zf.ServerName) uint32 {
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

func (n *serverNames) name(index uint32) zf.ServerName {
	if index == noServer {
		return ""
	}
	return n.list[index]
}

func (n *serverNames) exportRow(slot int, row slotRow) zf.SlotRow {
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

func (n *serverNames) importRow(row zf.SlotRow) slotRow {
	return slotRow{
		base:    n.intern(row.Base),
		active:  n.intern(row.Active),
		next:    n.intern(row.Next),
		moved:   row.Moved,
		version: row.Version,
		writer:  row.Writer,
	}
}

// A SlotRows message takes about groupHeaderBytes for each group of equal rows
// and rowBytes for each row. It is closed once it reaches maxMessageBytes.
const (
	groupHeaderBytes = 20
	rowBytes         = 3
	maxMessageBytes  = 1100
)

// rowMessages returns the written rows of the slots in messages of bounded
// size. Equal rows are adjacent, since they are encoded as one group.
func (n *serverNames) rowMessages(t *table, slots []int, round uint64) []zf.SlotRows {
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
			size += groupHeaderBytes
		}
		size += rowBytes
		rows = append(rows, n.exportRow(slot, row))
		if size >= maxMessageBytes {
			messages = append(messages, newSlotRows(t, rows, round))
			rows, size = nil, 0
		}
	}
	if len(rows) > 0 {
		messages = append(messages, newSlotRows(t, rows, round))
	}
	return messages
}

func newSlotRows(t *table, rows []zf.SlotRow, round uint64) zf.SlotRows {
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
