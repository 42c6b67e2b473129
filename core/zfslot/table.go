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

// supersedes reports whether the row goes before other.
func (r slotRow) supersedes(other slotRow) bool {
	return r.version > other.version || r.version == other.version && r.writer > other.writer
}

// table is one service's slots, with the state of the systems that run over
// it. The service's index never changes.
type table struct {
	index     uint16
	view      zf.ServiceView
	live      bool
	rows      []slotRow
	changedAt []time.Time
	lamport   uint32
	digest    uint64
	// firstWrite is when the first row was written or came in.
	firstWrite time.Time
	// coordinator is the member that writes the table.
	coordinator zf.InstanceName
	// synced tells that the table agreed with the coordinator's since the
	// coordinator last confirmed to hear this instance.
	synced bool
	// differsSince is since when the digest differsSince from another instance's.
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

// set replaces a row and keeps clock, digest and time of change.
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

// merge takes a replicated row if it is newer. It reports whether the slot's
// base became another one.
func (t *table) merge(slot int, row slotRow, now time.Time) (baseChanged bool) {
	if slot >= len(t.rows) || !row.supersedes(t.rows[slot]) {
		return false
	}
	old := t.rows[slot].base
	t.set(slot, row, now)
	return old != noServer && old != row.base
}

func (t *table) slotOf(hash uint64) int { return int(hash) & (len(t.rows) - 1) }

// serverNames gives backend servers indexes that never change. An index may exist
// before the backend server's first announcement is heard.
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

// A message of slot rows costs about groupHeaderBytes for each group of like rows
// and rowBytes for each row; it stays below maxMessageBytes.
const (
	groupHeaderBytes = 20
	rowBytes         = 3
	maxMessageBytes  = 1100
)

// rowMessages returns the written rows of the slots in messages of bounded size.
// Like rows come together, since they are encoded as one group.
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
