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
		if p == nil || p.term != r.record.Entry.Term || p.index != r.record.Entry.Index ||
			now.Sub(p.heard) >= 2*heartbeatEvery {
			continue
		}
		if best == nil || p.heard.After(best.heard) || p.heard.Equal(best.heard) && p.ID < best.ID {
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

// takeOver stands for the lead at once, as the leader of the present term asks to.
func (r *Replica) takeOver(m Message, now time.Time) {
	if m.Term == r.record.Term && m.From.ID == r.leader.ID && r.isVoter(r.config.Self.ID) &&
		r.serial == r.saved && r.upToDate(m) {
		r.stand(now)
	}
}
