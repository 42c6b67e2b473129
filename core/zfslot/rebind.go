package zfslot

import (
	"cmp"
	"slices"
	"sync"
	"time"

	zf "zinniafront"
)

// rebindRetention is how long a rebind is kept.
const rebindRetention = time.Minute

// rebinds holds five-tuples that were opened again while their earlier backend
// server accepts no new flows. Other instances may trust their copy of the
// earlier row, so the opening packet is dropped until all of them have
// acknowledged the new row; a retransmission then passes.
type rebinds struct {
	mutex  sync.Mutex
	byHash map[uint64]*rebind
}

type rebind struct {
	hash      uint64
	server    uint32
	version   uint32
	service   uint16
	startedAt time.Time
	// batch is the batch number that members acknowledge, ackedBy holds their
	// incarnations.
	batch   uint64
	sentAt  time.Time
	ackedBy map[zf.InstanceName]uint64
	done    bool
}

func newRebinds() *rebinds {
	return &rebinds{
		byHash: make(map[uint64]*rebind),
	}
}

// start records a rebind; the flow may open once it is no longer pending.
func (r *rebinds) start(l *lookup, server uint32) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byHash[l.hash] = &rebind{
		hash:      l.hash,
		server:    server,
		version:   l.slot.version,
		service:   l.service.index,
		startedAt: l.now,
		ackedBy:   make(map[zf.InstanceName]uint64),
	}
}

// pending reports whether the flow's rebind has not been acknowledged by all
// members.
func (r *rebinds) pending(hash uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change, ok := r.byHash[hash]
	return ok && !change.done
}

// acknowledge records that a member has replaced its copy.
func (r *rebinds) acknowledge(from zf.InstanceName, incarnation, number uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, change := range r.byHash {
		if change.batch == number {
			change.ackedBy[from] = incarnation
		}
	}
}

// unacknowledged returns the rebinds that not all members have acknowledged,
// in a fixed order, and removes expired ones.
func (r *rebinds) unacknowledged(now time.Time) []*rebind {
	list := make([]*rebind, 0, len(r.byHash))
	for hash, change := range r.byHash {
		if now.Sub(change.startedAt) >= rebindRetention {
			delete(r.byHash, hash)
		} else if !change.done {
			list = append(list, change)
		}
	}
	slices.SortFunc(list, func(a, b *rebind) int { return cmp.Compare(a.hash, b.hash) })
	return list
}

// sendRebinds sends each rebind to every member until all have acknowledged
// it.
func (m *Mapper) sendRebinds(now time.Time) {
	m.rebinds.mutex.Lock()
	defer m.rebinds.mutex.Unlock()
	for _, change := range m.rebinds.unacknowledged(now) {
		if change.batch == 0 {
			m.handover.lastBatch++
			change.batch = m.handover.lastBatch
		}
		resend := now.Sub(change.sentAt) >= m.config.ResendInterval
		change.done = true
		for _, member := range m.view.Members {
			if member.Name == m.view.Self || change.ackedBy[member.Name] == member.Incarnation {
				continue
			}
			change.done = false
			if resend {
				m.send(member.Name, m.rebindRows(change))
			}
		}
		if resend {
			change.sentAt = now
		}
	}
}

func (m *Mapper) rebindRows(change *rebind) zf.FlowRows {
	return zf.FlowRows{
		Rows: []zf.FlowRow{{
			Hash:    change.hash,
			Server:  m.servers.name(change.server),
			Service: m.tables[change.service].view.Name,
			Version: change.version,
		}},
		Batch: change.batch,
	}
}
