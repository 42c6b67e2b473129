package zfslot

import (
	"cmp"
	"slices"
	"sync"
	"time"

	zf "zinniafront"
)

// rebindKept is how long a change is remembered.
const rebindKept = time.Minute

// rebinds holds five-tuples that were opened again while their earlier backend
// server takes no new flows. Other instances may trust their copy of the
// earlier row, so that the opening is dropped until all of them have
// acknowledged the new one; its repetition passes.
type rebinds struct {
	mutex   sync.Mutex
	started map[uint64]*rebind
}

type rebind struct {
	hash    uint64
	server  uint32
	version uint32
	service uint16
	at      time.Time
	// number is the batch that members acknowledge, acks their incarnations.
	number uint64
	sent   time.Time
	acks   map[zf.InstanceName]uint64
	done   bool
}

func newRebinds() *rebinds {
	return &rebinds{
		started: make(map[uint64]*rebind),
	}
}

// begin starts a change; the flow may open once it is no longer pending.
func (r *rebinds) begin(l *lookup, server uint32) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.started[l.hash] = &rebind{
		hash:    l.hash,
		server:  server,
		version: l.slot.version,
		service: l.service.index,
		at:      l.now,
		acks:    make(map[zf.InstanceName]uint64),
	}
}

// pending reports whether a change of the flow is not acknowledged by all.
func (r *rebinds) pending(hash uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	started, ok := r.started[hash]
	return ok && !started.done
}

// acknowledge notes that a member replaced its copy.
func (r *rebinds) acknowledge(from zf.InstanceName, incarnation, number uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, started := range r.started {
		if started.number == number {
			started.acks[from] = incarnation
		}
	}
}

// open returns the changes that are not acknowledged by all, in a fixed order,
// and forgets old ones.
func (r *rebinds) open(now time.Time) []*rebind {
	list := make([]*rebind, 0, len(r.started))
	for hash, started := range r.started {
		if now.Sub(started.at) >= rebindKept {
			delete(r.started, hash)
		} else if !started.done {
			list = append(list, started)
		}
	}
	slices.SortFunc(list, func(a, b *rebind) int { return cmp.Compare(a.hash, b.hash) })
	return list
}

// runRebinds tells every member of the changes until all have acknowledged.
func (m *Mapper) runRebinds(now time.Time) {
	m.rebinds.mutex.Lock()
	defer m.rebinds.mutex.Unlock()
	for _, started := range m.rebinds.open(now) {
		if started.number == 0 {
			m.handover.number++
			started.number = m.handover.number
		}
		resend := now.Sub(started.sent) >= m.config.ResendInterval
		started.done = true
		for _, member := range m.view.Members {
			if member.Name == m.view.Self || started.acks[member.Name] == member.Incarnation {
				continue
			}
			started.done = false
			if resend {
				m.send(member.Name, m.rebindRows(started))
			}
		}
		if resend {
			started.sent = now
		}
	}
}

func (m *Mapper) rebindRows(started *rebind) zf.FlowRows {
	return zf.FlowRows{
		Rows: []zf.FlowRow{{
			Hash:    started.hash,
			Server:  m.names.name(started.server),
			Service: m.tables[started.service].view.Name,
			Version: started.version,
		}},
		Batch: started.number,
	}
}
