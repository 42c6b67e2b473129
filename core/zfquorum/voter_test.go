package zfquorum_test

import (
	"slices"

	"zinniafront/core/zfquorum"
)

// checkVoters checks that a leader changes one voter at a time: then any two
// majorities in a row share one.
func (c *cluster) checkVoters(m *machine) {
	record, _, _ := m.replica.Unsaved()
	before, entry := m.entry, record.Entry
	m.entry = entry
	if leader, ok := m.replica.Leader(); !ok || leader.ID != m.id || entry.Index != before.Index+1 || len(before.Voters) == 0 {
		return
	}
	changed := missing(before.Voters, entry.Voters) + missing(entry.Voters, before.Voters)
	if changed > 1 {
		c.t.Fatalf("entry %d of %d changes %d voters at once", entry.Index, m.id, changed)
	}
}

// missing counts the nodes that are not among the others.
func missing(nodes, others []zfquorum.Node) int {
	count := 0
	for _, node := range nodes {
		if !slices.ContainsFunc(others, func(o zfquorum.Node) bool { return o.ID == node.ID }) {
			count++
		}
	}
	return count
}
