package zfslot

import (
	"cmp"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

const (
	// batchRows is the maximum number of flow rows in one message.
	batchRows = 64
	// flowRowBytes is the size of one flow row on the wire.
	flowRowBytes = 16
	// flowRowsHeaderBytes is the size of a message without rows.
	flowRowsHeaderBytes = 80
)

// handover transfers the rows of flows to their new owners after a change of
// the ready members. Only flows of unsettled slots need that.
type handover struct {
	batches   []*batch
	lastBatch uint64
	// view is the digest of the membership that the batches are for. gained
	// marks the buckets that this instance owns since then, awaited the
	// members whose last batch has not arrived yet. finishedView is the last
	// view for which a member has sent all its rows.
	view      uint64
	startedAt time.Time
	gained    [bucketCount]bool
	// gainedBackup marks the buckets that this instance backs up since then.
	gainedBackup [bucketCount]bool
	awaited      map[zf.InstanceName]bool
	finishedView map[zf.InstanceName]uint64
	// rescanFlows requests a scan at the next tick for flow rows to hand over,
	// because a received row changed the base of a slot.
	rescanFlows bool
}

// batch is one unacknowledged message of rows.
type batch struct {
	to      zf.InstanceName
	message zf.FlowRows
	sentAt  time.Time
	// forBackups marks rows that are for the flows' backups.
	forBackups bool
}

func newHandover() *handover {
	return &handover{
		awaited:      make(map[zf.InstanceName]bool),
		finishedView: make(map[zf.InstanceName]uint64),
	}
}

// pending reports whether rows of a bucket may still arrive.
func (h *handover) pending(b int) bool { return h.gained[b] && len(h.awaited) > 0 }

// finished reports whether the handover for the last change of members is over:
// the change was at least timeout ago and every batch is acknowledged.
func (h *handover) finished(sinceChange, timeout time.Duration) bool {
	return sinceChange >= timeout && len(h.batches) == 0
}

func (h *handover) acknowledge(from zf.InstanceName, number uint64) {
	h.batches = slices.DeleteFunc(h.batches, func(b *batch) bool {
		return b.to == from && b.message.Batch == number
	})
}

// reassignOwners divides the flows among the present ready members and starts
// the handover that this requires.
func (m *Mapper) reassignOwners(now time.Time) {
	previous, previousBackups := m.owners, m.backups
	m.owners = ownersOf(m.view.Members)
	m.backups = backupsOf(m.view.Members, m.owners)
	m.ownership = newOwnership(m.owners, m.backups)
	h := m.handover
	handoverPending := len(h.awaited) > 0
	// The previous backups may lack rows if their handover had less than
	// HandoverTimeout.
	backupsIncomplete := now.Sub(h.startedAt) < m.config.HandoverTimeout
	unacknowledged := h.batches
	h.view = m.membersDigest
	h.startedAt = now
	h.batches = nil
	clear(h.awaited)
	for _, member := range m.view.Members {
		if member.Name != m.view.Self && h.finishedView[member.Name] != h.view {
			h.awaited[member.Name] = true
		}
	}
	ownedSince := *m.ownedSince
	for b := range m.owners {
		if previous[b] != m.owners[b] || m.restarted(previous[b]) {
			ownedSince[b] = now
		}
		// A previous backup has the rows already, unless it became one in a
		// handover that has not finished.
		hadRows := previous[b] == m.view.Self && !(handoverPending && h.gained[b]) ||
			previousBackups[b] == m.view.Self && !(handoverPending && h.gainedBackup[b])
		h.gained[b] = m.owners[b] == m.view.Self && !hadRows
		h.gainedBackup[b] = m.backups[b] == m.view.Self && !hadRows
	}
	m.ownedSince = &ownedSince
	m.requeue(unacknowledged)
	m.collectRows(previous, previousBackups, backupsIncomplete)
	m.incarnations = make(map[zf.InstanceName]uint64, len(m.view.Members))
	for _, member := range m.view.Members {
		m.incarnations[member.Name] = member.Incarnation
	}
}

// requeue queues the rows of batches that were not acknowledged before the
// members changed, for the present owners and backups of the flows.
func (m *Mapper) requeue(unacknowledged []*batch) {
	rows, backupRows := newRowsByMember(), newRowsByMember()
	for _, b := range unacknowledged {
		for _, row := range b.message.Rows {
			if owner := m.owners[bucketOf(row.Hash)]; !b.forBackups && owner != m.view.Self {
				rows.add(owner, row)
			} else if backup := m.backups[bucketOf(row.Hash)]; backup != m.view.Self {
				backupRows.add(backup, row)
			}
		}
	}
	m.queueAll(rows, false)
	m.queueAll(backupRows, true)
}

// rowsByMember holds rows by the instance that they are for.
type rowsByMember map[zf.InstanceName][]zf.FlowRow

func newRowsByMember() rowsByMember { return make(rowsByMember) }

func (r rowsByMember) add(to zf.InstanceName, row zf.FlowRow) {
	if to != "" {
		r[to] = append(r[to], row)
	}
}

// queueAll queues the rows for all members, in a fixed order.
func (m *Mapper) queueAll(byMember rowsByMember, forBackups bool) {
	for _, member := range m.view.Members {
		if rows := byMember[member.Name]; len(rows) > 0 && member.Name != m.view.Self {
			m.queueRows(member.Name, rows, forBackups)
		}
	}
}

// restarted reports whether a member's incarnation differs from that at the
// last change of owners. A member that has left counts as restarted, too.
func (m *Mapper) restarted(name zf.InstanceName) bool {
	return m.incarnations[name] != m.incarnationOf(name)
}

// collectRows queues the rows that other instances need. An owner needs those
// that the previous owner has, or that this instance has if the previous owner
// and its backup are gone. A backup needs those that this instance owns.
// backupsIncomplete reports that the previous backups may not have received
// all rows.
func (m *Mapper) collectRows(previous, previousBackups *buckets, backupsIncomplete bool) {
	stillRunning := make(map[zf.InstanceName]bool, len(m.view.Members))
	for _, member := range m.view.Members {
		stillRunning[member.Name] = !m.restarted(member.Name)
	}
	rows, backupRows := newRowsByMember(), newRowsByMember()
	m.flows.Each(func(hash uint64, row zfflow.Row) bool {
		b := bucketOf(hash)
		t := m.tables[row.Service]
		owner, previousOwner := m.owners[b], previous[b]
		switch {
		case t.rows[t.slotOf(hash)].settled():
		case owner == m.view.Self:
			if previousOwner != owner || previousBackups[b] != m.backups[b] || !stillRunning[m.backups[b]] {
				backupRows.add(m.backups[b], m.exportFlow(hash, row))
			}
		case m.handover.rescanFlows:
			rows.add(owner, m.exportFlow(hash, row))
		case previousOwner == owner && stillRunning[previousOwner]:
		case previousOwner == m.view.Self, !stillRunning[previousOwner] && (backupsIncomplete || previousBackups[b] != owner || !stillRunning[owner]):
			rows.add(owner, m.exportFlow(hash, row))
		}
		return true
	})
	m.handover.rescanFlows = false
	m.queueAll(rows, false)
	m.queueAll(backupRows, true)
	for _, member := range m.view.Members {
		if member.Name != m.view.Self {
			m.queueBatch(&batch{
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
		Server:    m.servers.name(uint32(row.Server)),
		Service:   m.tables[row.Service].view.Name,
		Version:   row.Version,
		Age:       m.flows.Age(row, m.lastTick),
		Tentative: row.Flags&zfflow.FlagTentative != 0,
	}
}

// queueRows splits rows into batches and queues them.
func (m *Mapper) queueRows(to zf.InstanceName, rows []zf.FlowRow, forBackups bool) {
	slices.SortFunc(rows, func(a, b zf.FlowRow) int { return cmp.Compare(a.Hash, b.Hash) })
	m.stats.HandoverRows += len(rows)
	for len(rows) > 0 {
		n := min(batchRows, len(rows))
		next := &batch{
			to: to,
			message: zf.FlowRows{
				Rows: rows[:n],
			},
			forBackups: forBackups,
		}
		if !forBackups {
			next.message.View = m.handover.view
		}
		m.queueBatch(next)
		rows = rows[n:]
	}
}

func (m *Mapper) queueBatch(next *batch) {
	m.handover.lastBatch++
	next.message.Batch = m.handover.lastBatch
	m.handover.batches = append(m.handover.batches, next)
}

// runHandover sends batches within the byte budget, resends unacknowledged
// ones, and after HandoverTimeout stops waiting for members that don't answer.
func (m *Mapper) runHandover(now time.Time) {
	h := m.handover
	if h.rescanFlows {
		m.collectRows(m.owners, m.backups, false)
	}
	if now.Sub(h.startedAt) >= m.config.HandoverTimeout {
		clear(h.awaited)
	}
	for name := range h.awaited {
		if !slices.ContainsFunc(m.view.Members, func(member zf.MemberView) bool { return member.Name == name }) {
			delete(h.awaited, name)
		}
	}
	unacknowledged := make(map[zf.InstanceName]bool)
	for _, b := range h.batches {
		// The last batch signals that all earlier ones have arrived, so it is
		// sent once they are acknowledged.
		wait := b.message.Last && unacknowledged[b.to]
		unacknowledged[b.to] = true
		if wait || now.Sub(b.sentAt) < m.config.ResendInterval {
			continue
		}
		if !m.handoverLimiter.AllowN(now, flowRowsHeaderBytes+flowRowBytes*len(b.message.Rows)) {
			return
		}
		b.sentAt = now
		m.send(b.to, b.message)
	}
}

// receiveFlows handles rows from a previous owner, rows that the owner sends
// to its backup, and hints from the owner to which this instance relayed a
// packet.
func (m *Mapper) receiveFlows(from zf.InstanceName, message zf.FlowRows, now time.Time) {
	forwarded, backupRows := newRowsByMember(), newRowsByMember()
	senderAhead := false
	for _, row := range message.Rows {
		t, ok := m.byName[row.Service]
		if !ok {
			continue
		}
		b := bucketOf(row.Hash)
		owner := m.owners[b]
		changed := m.flows.Merge(row.Hash, m.importFlow(t, row, owner), row.Age, now)
		switch {
		case message.Batch == 0:
		case owner == m.view.Self && changed && m.backups[b] != from:
			backupRows.add(m.backups[b], row)
		case message.View == 0 || owner == m.view.Self:
		case owner == from:
			senderAhead = true
		default:
			forwarded.add(owner, row)
		}
	}
	if senderAhead {
		return // The sender knows a membership change that has not reached this instance, and resends.
	}
	m.queueAll(forwarded, false)
	m.queueAll(backupRows, true)
	if message.Batch == 0 {
		return
	}
	m.send(from, zf.FlowAck{
		Batch: message.Batch,
	})
	if message.Last {
		m.handover.finishedView[from] = message.View
		if message.View == m.handover.view {
			delete(m.handover.awaited, from)
		}
	}
}

func (m *Mapper) importFlow(t *table, row zf.FlowRow, owner zf.InstanceName) zfflow.Row {
	imported := zfflow.Row{
		Server:  zf.ServerID(m.servers.intern(row.Server)),
		Version: row.Version,
		Service: t.index,
	}
	if row.Tentative {
		imported.Flags |= zfflow.FlagTentative
	}
	if owner == m.view.Self {
		imported.Flags |= zfflow.FlagOwned
	}
	return imported
}
