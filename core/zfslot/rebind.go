package zfslot

import (
	"sync"
	"time"

	zf "zinniafront"
)

const (
	// rebindWait is how long the other instances get to hear that a five-tuple
	// now has another backend server, before its first packet passes.
	rebindWait = 500 * time.Millisecond
	// rebindKept is how long a change is remembered.
	rebindKept = time.Minute
)

// rebinds holds five-tuples that were opened again while their earlier backend
// server takes no new flows. Other instances may trust their copy of the
// earlier row, so that the opening is dropped once and its repetition passes.
type rebinds struct {
	mutex   sync.Mutex
	started map[uint64]rebind
	untold  []uint64
}

type rebind struct {
	server  uint32
	service uint16
	at      time.Time
}

func newRebinds() *rebinds {
	return &rebinds{
		started: make(map[uint64]rebind),
	}
}

// ready reports whether a flow may open at another backend server now.
func (r *rebinds) ready(l *lookup, server uint32) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	started, ok := r.started[l.hash]
	if ok && started.server == server {
		return l.now.Sub(started.at) >= rebindWait
	}
	r.started[l.hash] = rebind{
		server:  server,
		service: l.service.index,
		at:      l.now,
	}
	r.untold = append(r.untold, l.hash)
	return false
}

func (r *rebinds) sweep(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for hash, started := range r.started {
		if now.Sub(started.at) >= rebindKept {
			delete(r.started, hash)
		}
	}
}

// takeUntold returns the rows that changed since the last call.
func (r *rebinds) takeUntold(m *Mapper) []zf.FlowRow {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	rows := make([]zf.FlowRow, 0, len(r.untold))
	for _, hash := range r.untold {
		changed := r.started[hash]
		rows = append(rows, zf.FlowRow{
			Hash:    hash,
			Server:  m.names.name(changed.server),
			Service: m.tables[changed.service].view.Name,
		})
	}
	r.untold = nil
	return rows
}

// sendRebinds tells every member of the changes.
func (m *Mapper) sendRebinds() {
	rows := m.rebinds.takeUntold(m)
	if len(rows) == 0 {
		return
	}
	for _, member := range m.view.Members {
		m.send(member.Name, zf.FlowRows{
			Rows: rows,
		})
	}
}
