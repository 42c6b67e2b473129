package zfquorum

import (
	"cmp"
	"slices"
	"time"

	zf "zinniafront"
)

// VoterChange is a change of the voters by the leader. Added or Removed is empty if no
// voter was added or removed.
type VoterChange struct {
	Added   Node
	Removed Node
	Reason  VoterChangeReason
	// Silence is the time since the last contact with the removed voter.
	Silence time.Duration
}

// VoterChangeReason is the reason of a VoterChange.
type VoterChangeReason string

// The reasons of voter changes.
const (
	// ReasonMissing means that there were fewer voters than desired.
	ReasonMissing VoterChangeReason = "missing"
	// ReasonDiskLost means that another ID is in use at the address of the voter.
	ReasonDiskLost VoterChangeReason = "disklost"
	// ReasonSilent means that the voter was silent for replaceTimeout.
	ReasonSilent VoterChangeReason = "silent"
	// ReasonStopping means that the voter has begun a planned stop.
	ReasonStopping VoterChangeReason = "stopping"
	// ReasonSuccessor means that an instance joined the data centre of the voter later.
	ReasonSuccessor VoterChangeReason = "successor"
	// ReasonSpread means that the data centre of the voter had at least two voters more
	// than that of the added one.
	ReasonSpread VoterChangeReason = "spread"
	// ReasonReverted means that the added voter was lost before the entry was committed.
	ReasonReverted VoterChangeReason = "reverted"
)

// TakeVoterChanges returns the changes of the voters that this replica made as the leader
// since the last call.
func (r *Replica) TakeVoterChanges() []VoterChange {
	changes := r.voterChanges
	r.voterChanges = nil
	return changes
}

// reconcileVoters makes the next change of the voters. A voter whose disk was lost is
// removed; one is added if there are fewer than VoterTarget; one that stops, is silent or
// has a successor is replaced.
func (r *Replica) reconcileVoters(now time.Time) {
	entry := r.record.Entry
	if len(entry.OldVoters) > 0 {
		entry.OldVoters = nil
		r.writeEntry(entry, now)
		return
	}
	switch change, ok := r.nextVoterChange(now); {
	case ok && change.Removed.ID == r.config.Self.ID:
		r.retryTransfer(now) // The next leader replaces this instance.
	case ok:
		r.changeVoters(change, now)
	}
}

// revertVoters goes back to the old voters if the entry that replaces one is not committed
// since the new one was lost. That is safe at any time: all majorities that the entry
// needs include one of the old voters.
func (r *Replica) revertVoters(now time.Time) {
	entry := r.record.Entry
	i := slices.IndexFunc(entry.Voters, func(n Node) bool { return !containsNode(entry.OldVoters, n.ID) })
	if len(entry.OldVoters) == 0 || i < 0 || entry.Voters[i].ID == r.config.Self.ID {
		return
	}
	added := entry.Voters[i]
	if p := r.peers[added.ID]; p != nil && !p.stopping && now.Sub(p.lastContact) < replyTimeout {
		return
	}
	r.voterChanges = append(r.voterChanges, VoterChange{
		Removed: added,
		Reason:  ReasonReverted,
	})
	entry.Voters = entry.OldVoters
	entry.OldVoters = nil
	r.writeEntry(entry, now)
}

// nextVoterChange returns the change of the voters that is needed most.
func (r *Replica) nextVoterChange(now time.Time) (VoterChange, bool) {
	voters := r.withCentres(r.record.Entry.Voters)
	if lost, ok := r.voterWithLostDisk(voters); ok && len(voters) > 1 {
		return VoterChange{
			Removed: lost,
			Reason:  ReasonDiskLost,
		}, true
	}
	if len(voters) < r.config.VoterTarget {
		candidate, ok := r.newVoter(voters, now)
		return VoterChange{
			Added:  candidate,
			Reason: ReasonMissing,
		}, ok
	}
	if change, ok := r.unavailableVoter(voters, now); ok {
		if len(voters) > r.config.VoterTarget {
			return change, true
		}
		if change.Added, ok = r.newVoter(withoutVoter(voters, change.Removed.ID), now); ok {
			return change, true
		}
	}
	if !r.allHeard(voters, now) {
		return VoterChange{}, false // A voter that is lost is to be replaced first.
	}
	if change, ok := r.succeededVoter(voters, now); ok {
		return change, true
	}
	return r.crowdedVoter(voters, now)
}

// allHeard reports whether all voters replied to the last heartbeats.
func (r *Replica) allHeard(voters []Node, now time.Time) bool {
	for _, voter := range voters {
		p := r.peers[voter.ID]
		if voter.ID != r.config.Self.ID && (p == nil || now.Sub(p.lastContact) >= replyTimeout) {
			return false
		}
	}
	return true
}

// changeVoters writes an entry with changed voters. Where one replaces another, the entry
// needs the majorities of both sets of voters, and an entry with the new ones follows.
func (r *Replica) changeVoters(change VoterChange, now time.Time) {
	if p := r.peers[change.Removed.ID]; p != nil {
		change.Silence = now.Sub(p.lastContact)
	}
	r.voterChanges = append(r.voterChanges, change)
	next := r.record.Entry
	if change.Added.ID != 0 && change.Removed.ID != 0 {
		next.OldVoters = next.Voters
	}
	next.Voters = withoutVoter(next.Voters, change.Removed.ID)
	if change.Added.ID != 0 {
		next.Voters = append(next.Voters, change.Added)
	}
	r.writeEntry(next, now)
}

func withoutVoter(voters []Node, id ID) []Node {
	return slices.DeleteFunc(slices.Clone(voters), func(n Node) bool { return n.ID == id })
}

// voterWithLostDisk returns a voter whose address is now used by an instance with
// another ID.
func (r *Replica) voterWithLostDisk(voters []Node) (Node, bool) {
	for _, voter := range voters {
		for id, p := range r.peers {
			moreRecent := r.peers[voter.ID] == nil || p.lastContact.After(r.peers[voter.ID].lastContact)
			if id != voter.ID && p.Address == voter.Address && moreRecent {
				return voter, true
			}
		}
	}
	return Node{}, false
}

// unavailableVoter returns the removal of a voter that stops, or of the one with the oldest
// last contact among those silent for replaceTimeout.
func (r *Replica) unavailableVoter(voters []Node, now time.Time) (VoterChange, bool) {
	var oldest *peer
	for _, voter := range voters {
		p := r.peers[voter.ID]
		if p == nil {
			continue
		}
		if p.stopping {
			return VoterChange{
				Removed: voter,
				Reason:  ReasonStopping,
			}, true
		}
		silent := now.Sub(p.lastContact) >= replaceTimeout && now.Sub(r.leaderSince) >= replyTimeout
		if silent && (oldest == nil || p.lastContact.Before(oldest.lastContact)) {
			oldest = p
		}
	}
	if oldest == nil {
		return VoterChange{}, false
	}
	return VoterChange{
		Removed: oldest.Node,
		Reason:  ReasonSilent,
	}, true
}

// succeededVoter returns the replacement of a voter by an instance that joined its data
// centre later: a machine may be removed without notice once its successor has run for
// some seconds.
func (r *Replica) succeededVoter(voters []Node, now time.Time) (VoterChange, bool) {
	var change VoterChange
	for _, voter := range voters {
		successor, ok := r.successor(voter, now)
		if ok && (change.Added.ID == 0 || change.Removed.ID == r.config.Self.ID || voter.Joined < change.Removed.Joined) {
			change = VoterChange{
				Added:   successor,
				Removed: voter,
				Reason:  ReasonSuccessor,
			}
		}
	}
	return change, change.Added.ID != 0
}

// successor returns the instance that joined the data centre of a voter last, if that was
// after the voter and it is a candidate.
func (r *Replica) successor(voter Node, now time.Time) (Node, bool) {
	last := &peer{
		Node: voter,
	}
	for _, p := range r.peers {
		order := cmp.Or(cmp.Compare(last.Joined, p.Joined), cmp.Compare(p.ID, last.ID))
		if p.Centre == voter.Centre && p.Joined > voter.Joined && order < 0 && now.Sub(p.lastContact) < contactTimeout {
			last = p
		}
	}
	return last.Node, last.ID != voter.ID && r.isSettled(last, now)
}

// crowdedVoter returns the replacement of a voter by an instance in a data centre that has
// at least two voters fewer, so that the loss of a data centre takes few votes.
func (r *Replica) crowdedVoter(voters []Node, now time.Time) (VoterChange, bool) {
	candidate, ok := r.newVoter(voters, now)
	if !ok || !r.isSettled(r.peers[candidate.ID], now) {
		return VoterChange{}, false
	}
	counts := countByCentre(voters)
	var removed Node
	for _, voter := range voters {
		better := removed.ID == 0 || removed.ID == r.config.Self.ID || counts[voter.Centre] > counts[removed.Centre] ||
			counts[voter.Centre] == counts[removed.Centre] && voter.Joined < removed.Joined
		if counts[voter.Centre] >= counts[candidate.Centre]+2 && better {
			removed = voter
		}
	}
	return VoterChange{
		Added:   candidate,
		Removed: removed,
		Reason:  ReasonSpread,
	}, removed.ID != 0
}

// withCentres returns voters with their data centres, which are not known at the first start.
func (r *Replica) withCentres(voters []Node) []Node {
	voters = slices.Clone(voters)
	for i, voter := range voters {
		switch p := r.peers[voter.ID]; {
		case voter.ID == r.config.Self.ID:
			voters[i].Centre = r.config.Self.Centre
		case p != nil && p.Centre != "":
			voters[i].Centre = p.Centre
		}
	}
	return voters
}

func countByCentre(voters []Node) map[zf.CentreName]int {
	counts := make(map[zf.CentreName]int)
	for _, voter := range voters {
		counts[voter.Centre]++
	}
	return counts
}

// isCandidate reports whether an instance could become a voter: it has none, is reachable,
// goes on to run and has the newest entry.
func (r *Replica) isCandidate(p *peer, now time.Time) bool {
	return !r.isVoter(p.ID) && !p.stopping && r.isReplicated(p) && now.Sub(p.lastContact) < contactTimeout
}

// isSettled reports whether a candidate has been reachable for a while, so that a voter lost
// at the time when it started is known to be.
func (r *Replica) isSettled(p *peer, now time.Time) bool {
	return r.isCandidate(p, now) && now.Sub(p.reachableSince) >= contactTimeout
}

// isReplicated reports whether an instance has the newest entry on disk.
func (r *Replica) isReplicated(p *peer) bool {
	return p.matchTerm == r.record.Entry.Term && p.matchIndex == r.record.Entry.Index
}

// newVoter returns the best instance to add to voters: one that has been reachable for a
// while if there is any, in the data centre with the fewest voters, and of these the one
// that joined last.
func (r *Replica) newVoter(voters []Node, now time.Time) (Node, bool) {
	counts := countByCentre(voters)
	var best *peer
	for _, p := range r.peers {
		if r.isCandidate(p, now) && (best == nil || r.compareCandidates(p, best, counts, now) < 0) {
			best = p
		}
	}
	if best == nil {
		return Node{}, false
	}
	return best.Node, true
}

func (r *Replica) compareCandidates(a, b *peer, counts map[zf.CentreName]int, now time.Time) int {
	if settled := r.isSettled(a, now); settled != r.isSettled(b, now) {
		if settled {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(counts[a.Centre], counts[b.Centre]), cmp.Compare(b.Joined, a.Joined), cmp.Compare(a.ID, b.ID))
}
