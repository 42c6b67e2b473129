package zfquorum

import "time"

// TransferLeadership has a leader that is about to stop hand its lead over to a voter that has its
// newest entry on disk. It reports whether there is one, which leads soon.
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

// handleTimeoutNow stands for the lead at once, as the leader of the present term asks to.
func (r *Replica) handleTimeoutNow(m Message, now time.Time) {
	if m.Term == r.record.Term && m.From.ID == r.leader.ID && r.isVoter(r.config.Self.ID) &&
		r.serial == r.savedSerial && r.isUpToDate(m) {
		r.startElection(now)
	}
}
