package zfquorum_test

import (
	"slices"

	"zinniafront/core/zfquorum"
)

// checkVoters checks that a leader changes one voter at a time, so that the
// majorities of consecutive entries overlap.
func (c *cluster) checkVoters(inst *instance) {
	record, _, _ := inst.replica.Unsaved()
	before, entry := inst.lastEntry, record.Entry
	inst.lastEntry = entry
	if leader, ok := inst.replica.Leader(); !ok || leader.ID != inst.id || entry.Index != before.Index+1 || len(before.Voters) == 0 {
		return
	}
	changed := countMissing(before.Voters, entry.Voters) + countMissing(entry.Voters, before.Voters)
	if changed > 1 {
		c.t.Fatalf("entry %d of instance %d changes %d voters at once", entry.Index, inst.id, changed)
	}
}

// countMissing counts the nodes that are missing from others.
func countMissing(nodes, others []zfquorum.Node) int {
	count := 0
	for _, node := range nodes {
		if !slices.ContainsFunc(others, func(o zfquorum.Node) bool { return o.ID == node.ID }) {
			count++
		}
	}
	return count
}
