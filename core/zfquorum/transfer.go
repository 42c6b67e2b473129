package zfquorum

import (
	"slices"
	"time"
)

// TransferLeadership asks a voter that has the newest entry on disk to take over
// the leadership; a leader calls it before it stops. It returns false if it asked
// none: this replica is not the leader, its entry is uncommitted, or there is no
// such voter in contact.
func (r *Replica) TransferLeadership(now time.Time) bool {
	if !r.Leading() || r.Pending() {
		return false
	}
	var best *peer
	for _, voter := range r.record.Entry.Voters {
		p := r.peers[voter.ID]
		if p == nil || p.stopping || !r.isReplicated(p) || now.Sub(p.lastContact) >= replyTimeout {
			continue
		}
		if best == nil || p.lastContact.After(best.lastContact) || p.lastContact.Equal(best.lastContact) && p.ID < best.ID {
			best = p
		}
	}
	if best == nil {
		return false
	}
	r.lastTransfer = now
	r.sendNow(best.Node, Message{
		Kind: KindTimeoutNow,
	})
	return true
}

// transferring reports whether another voter may be about to be elected at the request of
// this leader. An entry written meanwhile would let it lose the election.
func (r *Replica) transferring(now time.Time) bool { return now.Sub(r.lastTransfer) < electionTime }

// mustHandOver reports whether this leader stops or has no vote any more.
func (r *Replica) mustHandOver() bool {
	return r.stopping || !containsNode(r.record.Entry.Voters, r.config.Self.ID)
}

// retryTransfer transfers the leadership unless that was tried within resendInterval. It
// returns false if there is no voter to take over.
func (r *Replica) retryTransfer(now time.Time) bool {
	return now.Sub(r.lastTransfer) < resendInterval || r.TransferLeadership(now)
}

// PrepareStop begins a planned stop: the leadership and the vote of this instance go to
// others.
func (r *Replica) PrepareStop(now time.Time) {
	r.stopping = true
	switch {
	case r.role == roleLeader:
		r.TransferLeadership(now)
	case r.leader.ID != 0:
		r.sendNow(r.leader, Message{
			Kind: KindHello,
		})
	}
}

// Stopping reports whether a planned stop has begun.
func (r *Replica) Stopping() bool { return r.stopping }

// ReadyToStop reports whether this instance is not the leader and has no vote that
// another instance could take over.
func (r *Replica) ReadyToStop(now time.Time) bool {
	if voters := r.record.Entry.allVoters(); len(voters) == 1 && r.isVoter(r.config.Self.ID) {
		return true
	}
	if r.role == roleLeader || r.leader.ID == 0 {
		return false
	}
	hasVote := r.isVoter(r.config.Self.ID) || containsNode(r.committed.allVoters(), r.config.Self.ID)
	beingReplaced := len(r.record.Entry.OldVoters) > 0
	return !hasVote || !beingReplaced && !r.knowsSpare(now)
}

// knowsSpare reports whether there are control instances without a vote.
func (r *Replica) knowsSpare(now time.Time) bool {
	return slices.ContainsFunc(r.Nodes(now), func(n Node) bool { return !r.isVoter(n.ID) })
}

// handleTimeoutNow starts an election at once if the request is from the leader of
// the current term.
func (r *Replica) handleTimeoutNow(m Message, now time.Time) {
	if m.Term == r.record.Term && m.From.ID == r.leader.ID && !r.stopping && r.isVoter(r.config.Self.ID) &&
		r.serial == r.savedSerial && r.isUpToDate(m) {
		r.startElection(now)
	}
}
