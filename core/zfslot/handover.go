package zfslot

import (
	"cmp"
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
// ready members. Only flows of unsettled slots need that.
type handover struct {
	batches []*batch
	number  uint64
	// view is the membership that the batches are for; gained marks buckets
	// that this instance owns since then, awaited the members whose last batch
	// has not come in yet, done the view that each member has finished.
	view   uint64
	since  time.Time
	gained [bucketCount]bool
	// backed marks buckets that this instance backs up since then.
	backed  [bucketCount]bool
	awaited map[zf.InstanceName]bool
	done    map[zf.InstanceName]uint64
	// rescan asks to look through the flows although no owner changed.
	rescan bool
}

// batch is one message of rows that has not been acknowledged.
type batch struct {
	to      zf.InstanceName
	message zf.FlowRows
	sent    time.Time
	// copies tells that the rows are for the flows' backups.
	copies bool
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
	previous, previousBackups := m.owners, m.backups
	m.owners = ownersOf(m.view.Members)
	m.backups = backupsOf(m.view.Members, m.owners)
	m.ring = newRing(m.owners, m.backups)
	h := m.handover
	waiting := len(h.awaited) > 0
	unsteady := now.Sub(h.since) < m.config.HandoverTimeout
	unsent := h.batches
	h.view = m.digest
	h.since = now
	h.batches = nil
	clear(h.awaited)
	for _, member := range m.view.Members {
		if member.Name != m.view.Self && h.done[member.Name] != h.view {
			h.awaited[member.Name] = true
		}
	}
	owned := *m.owned
	for b := range m.owners {
		if previous[b] != m.owners[b] || m.restarted(previous[b]) {
			owned[b] = now
		}
		// A backup has the rows already, unless it became one just before.
		had := previous[b] == m.view.Self && !(waiting && h.gained[b]) ||
			previousBackups[b] == m.view.Self && !(waiting && h.backed[b])
		h.gained[b] = m.owners[b] == m.view.Self && !had
		h.backed[b] = m.backups[b] == m.view.Self && !had
	}
	m.owned = &owned
	m.requeue(unsent)
	m.collect(previous, previousBackups, unsteady)
	m.incarnations = make(map[zf.InstanceName]uint64, len(m.view.Members))
	for _, member := range m.view.Members {
		m.incarnations[member.Name] = member.Incarnation
	}
}

// requeue sends the rows of batches that were not acknowledged before the
// members changed to those who own or back up the flows now.
func (m *Mapper) requeue(unsent []*batch) {
	rows, copies := newParcels(), newParcels()
	for _, b := range unsent {
		for _, row := range b.message.Rows {
			if owner := m.owners[bucketOf(row.Hash)]; !b.copies && owner != m.view.Self {
				rows.add(owner, row)
			} else if backup := m.backups[bucketOf(row.Hash)]; backup != m.view.Self {
				copies.add(backup, row)
			}
		}
	}
	m.dispatch(rows, false)
	m.dispatch(copies, true)
}

// parcels holds rows by the instance that has to get them.
type parcels map[zf.InstanceName][]zf.FlowRow

func newParcels() parcels { return make(parcels) }

func (p parcels) add(to zf.InstanceName, row zf.FlowRow) {
	if to != "" {
		p[to] = append(p[to], row)
	}
}

// dispatch queues rows in a fixed order of receivers.
func (m *Mapper) dispatch(p parcels, copies bool) {
	for _, member := range m.view.Members {
		if rows := p[member.Name]; len(rows) > 0 && member.Name != m.view.Self {
			m.queue(member.Name, rows, copies)
		}
	}
}

// restarted reports whether a member runs anew since the last change.
func (m *Mapper) restarted(name zf.InstanceName) bool {
	return m.incarnations[name] != m.incarnationOf(name)
}

// collect queues the rows that other instances have to get: an owner those that
// the earlier owner has, or that this one has if the earlier owner and its
// backup are gone; a backup those that this instance owns. unsteady tells that
// the earlier backups may not have had all rows yet.
func (m *Mapper) collect(previous, previousBackups *buckets, unsteady bool) {
	lives := make(map[zf.InstanceName]bool, len(m.view.Members))
	for _, member := range m.view.Members {
		lives[member.Name] = !m.restarted(member.Name)
	}
	rows, copies := newParcels(), newParcels()
	m.flows.Each(func(hash uint64, row zfflow.Row) bool {
		b := bucketOf(hash)
		t := m.tables[row.Service]
		owner, before := m.owners[b], previous[b]
		switch {
		case t.rows[t.slotOf(hash)].settled():
		case owner == m.view.Self:
			if before != owner || previousBackups[b] != m.backups[b] || !lives[m.backups[b]] {
				copies.add(m.backups[b], m.exportFlow(hash, row))
			}
		case m.handover.rescan:
			rows.add(owner, m.exportFlow(hash, row))
		case before == owner && lives[before]:
		case before == m.view.Self, !lives[before] && (unsteady || previousBackups[b] != owner || !lives[owner]):
			rows.add(owner, m.exportFlow(hash, row))
		}
		return true
	})
	m.handover.rescan = false
	m.dispatch(rows, false)
	m.dispatch(copies, true)
	for _, member := range m.view.Members {
		if member.Name != m.view.Self {
			m.push(&batch{
				to: member.Name,
				message: zf.FlowRows{
					View: m.handover.view,
					Last: true,
				},
			})
		}
	}
}

func (m *Mapper) exportFlow(hash uint64, row zfflow.Row) zf.FlowRow {
	return zf.FlowRow{
		Hash:      hash,
		Server:    m.names.name(uint32(row.Server)),
		Service:   m.tables[row.Service].view.Name,
		Version:   row.Version,
		Age:       m.flows.Age(row, m.lastTick),
		Tentative: row.Flags&zfflow.FlagTentative != 0,
	}
}

// queue cuts rows into batches.
func (m *Mapper) queue(to zf.InstanceName, rows []zf.FlowRow, copies bool) {
	slices.SortFunc(rows, func(a, b zf.FlowRow) int { return cmp.Compare(a.Hash, b.Hash) })
	m.stats.HandoverRows += len(rows)
	for len(rows) > 0 {
		n := min(batchRows, len(rows))
		next := &batch{
			to: to,
			message: zf.FlowRows{
				Rows: rows[:n],
			},
			copies: copies,
		}
		if !copies {
			next.message.View = m.handover.view
		}
		m.push(next)
		rows = rows[n:]
	}
}

func (m *Mapper) push(next *batch) {
	m.handover.number++
	next.message.Batch = m.handover.number
	m.handover.batches = append(m.handover.batches, next)
}

// runHandover sends batches within the byte budget, repeats those that were
// not acknowledged, and ends the wait for members that do not answer.
func (m *Mapper) runHandover(now time.Time) {
	h := m.handover
	if h.rescan {
		m.collect(m.owners, m.backups, false)
	}
	if now.Sub(h.since) >= m.config.HandoverTimeout {
		clear(h.awaited)
	}
	for name := range h.awaited {
		if !slices.ContainsFunc(m.view.Members, func(member zf.MemberView) bool { return member.Name == name }) {
			delete(h.awaited, name)
		}
	}
	open := make(map[zf.InstanceName]bool)
	for _, b := range h.batches {
		// The last batch says that the ones before have come in.
		wait := b.message.Last && open[b.to]
		open[b.to] = true
		if wait || now.Sub(b.sent) < m.config.ResendInterval {
			continue
		}
		if !m.moveRate.AllowN(now, flowRowsBytes+flowRowBytes*len(b.message.Rows)) {
			return
		}
		b.sent = now
		m.send(b.to, b.message)
	}
}

// receiveFlows takes rows from an earlier owner, as a backup from the owner, or
// from the owner to which this instance relayed a packet.
func (m *Mapper) receiveFlows(from zf.InstanceName, message zf.FlowRows, now time.Time) {
	onward, copies := newParcels(), newParcels()
	early := false
	for _, row := range message.Rows {
		t, ok := m.byName[row.Service]
		if !ok {
			continue
		}
		b := bucketOf(row.Hash)
		owner := m.owners[b]
		news := m.flows.Merge(row.Hash, m.importFlow(t, row, owner), row.Age, now)
		switch {
		case message.Batch == 0:
		case owner == m.view.Self && news && m.backups[b] != from:
			copies.add(m.backups[b], row)
		case message.View == 0 || owner == m.view.Self:
		case owner == from:
			early = true
		default:
			onward.add(owner, row)
		}
	}
	if early {
		return // The sender knows of a change that has not come here yet, and sends again.
	}
	m.dispatch(onward, false)
	m.dispatch(copies, true)
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

func (m *Mapper) importFlow(t *table, row zf.FlowRow, owner zf.InstanceName) zfflow.Row {
	learned := zfflow.Row{
		Server:  zf.ServerID(m.names.intern(row.Server)),
		Version: row.Version,
		Service: t.index,
	}
	if row.Tentative {
		learned.Flags |= zfflow.FlagTentative
	}
	if owner == m.view.Self {
		learned.Flags |= zfflow.FlagOwned
	}
	return learned
}
