package zfslot

import (
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

const (
	// batchRows is the number of flow rows in one message.
	batchRows = 64
	// flowRowBytes is the size of one flow row on the wire.
	flowRowBytes = 16
	// flowRowsBytes is the size of a message without rows.
	flowRowsBytes = 80
)

// handover passes the rows of flows to their new owners after a change of the
// ready members. A flow needs one only if it is not with its slot's Base.
type handover struct {
	batches []*batch
	number  uint64
	// view is the membership that the batches are for; gained marks buckets
	// that this instance owns since then, awaited the members whose last batch
	// has not come in yet, done the view that each member has finished.
	view    uint64
	since   time.Time
	gained  [bucketCount]bool
	awaited map[zf.InstanceName]bool
	done    map[zf.InstanceName]uint64
	// rescan asks to look through the flows although no owner changed.
	rescan bool
}

type batch struct {
	to      zf.InstanceName
	message zf.FlowRows
	sent    time.Time
}

func newHandover() *handover {
	return &handover{
		awaited: make(map[zf.InstanceName]bool),
		done:    make(map[zf.InstanceName]uint64),
	}
}

// pending reports whether rows of a bucket may still come in.
func (h *handover) pending(b int) bool { return h.gained[b] && len(h.awaited) > 0 }

// finished reports whether the last change of members is over with.
func (h *handover) finished(since, limit time.Duration) bool {
	return since >= limit && len(h.batches) == 0
}

func (h *handover) acknowledge(from zf.InstanceName, number uint64) {
	h.batches = slices.DeleteFunc(h.batches, func(b *batch) bool {
		return b.to == from && b.message.Batch == number
	})
}

// adoptOwners divides the flows among the ready members anew and starts the
// handover that this calls for.
func (m *Mapper) adoptOwners(now time.Time) {
	previous := m.owners
	m.owners = ownersOf(m.view.Members)
	m.backups = backupsOf(m.view.Members, m.owners)
	h := m.handover
	waiting := len(h.awaited) > 0
	h.view = m.digest
	h.since = now
	h.batches = nil
	clear(h.awaited)
	for _, member := range m.view.Members {
		if member.Name != m.view.Self && h.done[member.Name] != h.view {
			h.awaited[member.Name] = true
		}
	}
	for b := range m.owners {
		gained := previous[b] != m.view.Self || waiting && h.gained[b]
		h.gained[b] = m.owners[b] == m.view.Self && gained
	}
	m.collect(previous)
	m.incarnations = make(map[zf.InstanceName]uint64, len(m.view.Members))
	for _, member := range m.view.Members {
		m.incarnations[member.Name] = member.Incarnation
	}
}

// collect queues the rows that owners other than this instance have to get. If
// the earlier owner still lives, its own rows are enough.
func (m *Mapper) collect(previous *buckets) {
	lives := make(map[zf.InstanceName]bool, len(m.view.Members))
	for _, member := range m.view.Members {
		lives[member.Name] = m.incarnations[member.Name] == member.Incarnation
	}
	rows := make(map[zf.InstanceName][]zf.FlowRow)
	m.flows.Each(func(hash uint64, row zfflow.Row) bool {
		b := bucketOf(hash)
		owner, before := m.owners[b], previous[b]
		t := m.tables[row.Service]
		if owner == "" || owner == m.view.Self || uint32(row.Server) == t.rows[t.slotOf(hash)].base {
			return true
		}
		changed := before == m.view.Self || !lives[before]
		if changed || m.handover.rescan {
			rows[owner] = append(rows[owner], m.exportFlow(hash, row))
		}
		return true
	})
	m.handover.rescan = false
	for _, member := range m.view.Members {
		if member.Name != m.view.Self {
			m.queue(member.Name, rows[member.Name])
		}
	}
}

func (m *Mapper) exportFlow(hash uint64, row zfflow.Row) zf.FlowRow {
	return zf.FlowRow{
		Hash:      hash,
		Server:    m.names.name(uint32(row.Server)),
		Service:   m.tables[row.Service].view.Name,
		Age:       m.flows.Age(row, m.lastTick),
		Tentative: row.Flags&zfflow.FlagTentative != 0,
	}
}

// queue cuts rows into batches; the last one is sent even if it is empty.
func (m *Mapper) queue(to zf.InstanceName, rows []zf.FlowRow) {
	h := m.handover
	slices.SortFunc(rows, func(a, b zf.FlowRow) int {
		if a.Hash < b.Hash {
			return -1
		}
		return 1
	})
	m.stats.HandoverRows += len(rows)
	for {
		n := min(batchRows, len(rows))
		h.number++
		h.batches = append(h.batches, &batch{
			to: to,
			message: zf.FlowRows{
				Rows:  rows[:n],
				Batch: h.number,
				View:  h.view,
				Last:  n == len(rows),
			},
		})
		rows = rows[n:]
		if len(rows) == 0 {
			return
		}
	}
}

// runHandover sends batches within the byte budget, repeats those that were
// not acknowledged, and ends the wait for members that do not answer.
func (m *Mapper) runHandover(now time.Time) {
	h := m.handover
	if h.rescan {
		m.collect(m.owners)
	}
	if now.Sub(h.since) >= m.config.Handover {
		clear(h.awaited)
	}
	for name := range h.awaited {
		if !slices.ContainsFunc(m.view.Members, func(member zf.MemberView) bool { return member.Name == name }) {
			delete(h.awaited, name)
		}
	}
	for _, b := range h.batches {
		if now.Sub(b.sent) < m.config.Resend {
			continue
		}
		if !m.limiter.AllowN(now, flowRowsBytes+flowRowBytes*len(b.message.Rows)) {
			return
		}
		b.sent = now
		m.send(b.to, b.message)
	}
}

// receiveFlows takes rows from an earlier owner, or from the owner to which
// this instance relayed a packet.
func (m *Mapper) receiveFlows(from zf.InstanceName, message zf.FlowRows, now time.Time) {
	for _, row := range message.Rows {
		t, ok := m.byName[row.Service]
		if !ok {
			continue
		}
		flags := zfflow.Flags(0)
		if row.Tentative {
			flags = zfflow.FlagTentative
		}
		if m.owners[bucketOf(row.Hash)] == m.view.Self {
			flags |= zfflow.FlagOwned
		}
		m.flows.LearnAged(row.Hash, zfflow.Row{
			Server:  zf.ServerID(m.names.intern(row.Server)),
			Service: t.index,
			Flags:   flags,
		}, row.Age, now)
	}
	if message.Batch == 0 {
		return
	}
	m.send(from, zf.FlowAck{
		Batch: message.Batch,
	})
	if message.Last {
		m.handover.done[from] = message.View
		if message.View == m.handover.view {
			delete(m.handover.awaited, from)
		}
	}
}
