package zfquorum

import "time"

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
		if p == nil || p.matchTerm != r.record.Entry.Term || p.matchIndex != r.record.Entry.Index ||
			now.Sub(p.lastContact) >= 2*heartbeatInterval {
			continue
		}
		if best == nil || p.lastContact.After(best.lastContact) || p.lastContact.Equal(best.lastContact) && p.ID < best.ID {
			best = p
		}
	}
	if best == nil {
		return false
	}
	r.sendNow(best.Node, Message{
		Kind: KindTimeoutNow,
	})
	return true
}

// handleTimeoutNow starts an election at once if the request is from the leader of
// the current term.
func (r *Replica) handleTimeoutNow(m Message, now time.Time) {
	if m.Term == r.record.Term && m.From.ID == r.leader.ID && r.isVoter(r.config.Self.ID) &&
		r.serial == r.savedSerial && r.isUpToDate(m) {
		r.startElection(now)
	}
}
