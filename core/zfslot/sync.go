package zfslot

import (
	"time"

	zf "zinniafront"
)

const (
	// pullDelay is how long digests may differ before rows are requested; a
	// change in progress makes them differ for a moment.
	pullDelay = 900 * time.Millisecond
)

// coordinator returns the member that writes a table, or nil.
func (m *Mapper) coordinator(t *table) *zf.MemberView {
	i := coordinatorOf(m.view.Members, t.view.Name)
	if i < 0 {
		return nil
	}
	return &m.view.Members[i]
}

// usable reports whether this instance may trust the table for flows that it
// does not know: the table is synced, and this instance is the coordinator or
// holds a lease from it.
func (m *Mapper) usable(t *table) bool {
	c := m.coordinator(t)
	return t.synced && c != nil && (c.Name == m.view.Self || c.Leased)
}

// syncTable compares the table with the coordinator's, and requests rows if
// they stay different.
func (m *Mapper) syncTable(t *table, now time.Time) {
	c := m.coordinator(t)
	if c != nil && c.Name != t.coordinator {
		// Only agreement with the new coordinator counts from now on.
		t.coordinator = c.Name
		t.synced = false
	}
	switch {
	case c == nil:
		t.synced = false
	case c.Name == m.view.Self:
		m.syncAsCoordinator(t, now)
	default:
		m.syncWith(t, c, now)
	}
}

func (m *Mapper) syncWith(t *table, c *zf.MemberView, now time.Time) {
	same := digestOf(c, t.view.Name) == t.digest
	if !c.Leased {
		t.synced = false
	} else if same {
		t.synced = true
	}
	if same {
		t.differsSince = time.Time{}
		return
	}
	m.pullRows(t, c.Name, now)
}

// syncAsCoordinator allows the coordinator to write once it has the rows of
// every other live member.
func (m *Mapper) syncAsCoordinator(t *table, now time.Time) {
	if now.Sub(m.config.Start) < m.config.BootDelay {
		return
	}
	for i := range m.view.Members {
		member := &m.view.Members[i]
		if member.Name == m.view.Self || !member.Leased {
			continue
		}
		if digestOf(member, t.view.Name) != t.digest && digestOf(member, t.view.Name) != 0 {
			m.pullRows(t, member.Name, now)
			return
		}
	}
	t.synced = true
	t.differsSince = time.Time{}
}

func (m *Mapper) pullRows(t *table, from zf.InstanceName, now time.Time) {
	if t.differsSince.IsZero() {
		t.differsSince = now
	}
	wait := pullDelay
	if !t.synced {
		wait = 0
	}
	if now.Sub(t.differsSince) < wait || now.Sub(t.lastPull) < pullDelay {
		return
	}
	t.lastPull = now
	m.send(from, zf.SlotPull{
		Service: t.view.Name,
	})
}

func digestOf(member *zf.MemberView, service zf.ServiceName) uint64 {
	for _, digest := range member.SlotDigests {
		if digest.Service == service {
			return digest.Digest
		}
	}
	return 0
}
