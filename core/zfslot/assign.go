package zfslot

import (
	"math"
	"slices"
	"strings"
	"time"

	zf "zinniafront"
)

// maxRoundSlots bounds the slots that one round moves, and so its messages.
const maxRoundSlots = 4096

// share is one backend server's slot count and target during an assignment.
type share struct {
	index  uint32
	name   zf.ServerName
	target int
	count  int
}

func (s *share) deficit() int { return s.target - s.count }

// targetShares returns the backend servers of a service that accept new flows,
// sorted by name, with targets in proportion to their weights. The targets sum
// to the number of slots.
func (m *Mapper) targetShares(t *table) []*share {
	list := make([]*share, 0, 16)
	weights := make([]float64, 0, 16)
	total := 0.0
	for _, server := range m.view.Servers {
		if server.Service != t.view.Name || server.Weight <= 0 || !server.Allowed {
			continue
		}
		list = append(list, &share{
			index: m.servers.intern(server.Name),
			name:  server.Name,
		})
		weights = append(weights, server.Weight)
		total += server.Weight
	}
	if len(list) == 0 {
		return nil
	}
	remaining := len(t.rows)
	for i, s := range list {
		s.target = int(math.Floor(float64(len(t.rows)) * weights[i] / total))
		remaining -= s.target
	}
	for i := 0; remaining > 0; i = (i + 1) % len(list) {
		list[i].target++
		remaining--
	}
	return list
}

// assign decides which slots move to which backend server and writes their
// Next. It returns the slots written. Slots of a backend server that accepts
// no new flows always move. Other slots move for balance once a target is
// missed by more than the tolerance, unsettled ones first.
func (m *Mapper) assign(t *table, now time.Time) []int {
	list := m.targetShares(t)
	if len(list) == 0 || t.firstWrite.IsZero() && now.Sub(m.serversChanged) < m.config.BootDelay {
		return nil // The first assignment waits for the announcements of the servers.
	}
	byIndex := make(map[uint32]*share, len(list))
	for _, s := range list {
		byIndex[s.index] = s
	}
	moving, unfinished := t.countSlots(byIndex)
	moving = append(moving, m.takeSurplus(t, list, byIndex)...)
	if len(moving) > maxRoundSlots {
		moving = moving[:maxRoundSlots]
	}
	version := t.lamport + 1
	for _, slot := range moving {
		row := t.rows[slot]
		receiver := receivingShare(row, list, byIndex)
		receiver.count++
		row.next = receiver.index
		row.moved = row.base != noServer
		m.writeRow(t, slot, row, version, now)
	}
	for _, slot := range unfinished {
		row := t.rows[slot]
		row.moved = row.base != noServer
		m.writeRow(t, slot, row, version, now)
	}
	return append(moving, unfinished...)
}

// countSlots counts the slots of each share. It returns the slots whose Next
// accepts no new flows, and those whose change an earlier coordinator left
// unfinished.
func (t *table) countSlots(byIndex map[uint32]*share) (unassigned, unfinished []int) {
	for slot, row := range t.rows {
		s, ok := byIndex[row.next]
		if !ok {
			unassigned = append(unassigned, slot)
			continue
		}
		s.count++
		if row.next != row.active {
			unfinished = append(unfinished, slot)
		}
	}
	return unassigned, unfinished
}

// takeSurplus takes slots from shares above their target if any share misses
// its target by more than the tolerance.
func (m *Mapper) takeSurplus(t *table, list []*share, byIndex map[uint32]*share) []int {
	if !slices.ContainsFunc(list, func(s *share) bool {
		tolerance := max(1, int(m.config.Tolerance*float64(s.target)))
		return s.deficit() > tolerance || s.deficit() < -tolerance
	}) {
		return nil
	}
	slots := make([]int, 0, 64)
	for _, settled := range [...]bool{false, true} {
		for slot, row := range t.rows {
			s, ok := byIndex[row.next]
			if !ok || row.next != row.active || row.settled() != settled || s.deficit() >= 0 {
				continue
			}
			s.count--
			slots = append(slots, slot)
		}
	}
	return slots
}

// receivingShare returns the share that a moving slot goes to: that of its
// base if it is below its target, else the share with the largest deficit.
func receivingShare(row slotRow, list []*share, byIndex map[uint32]*share) *share {
	if s, ok := byIndex[row.base]; ok && s.deficit() > 0 {
		return s
	}
	return slices.MaxFunc(list, func(a, b *share) int {
		if a.deficit() != b.deficit() {
			return a.deficit() - b.deficit()
		}
		return strings.Compare(string(b.name), string(a.name))
	})
}
