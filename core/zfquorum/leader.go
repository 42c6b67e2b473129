package zfquorum

import (
	"slices"
	"time"

	"zinniafront/core/zfcontrol"
)

// becomeLeader makes this replica the leader. Its first entry repeats the newest
// state in the new term; committing it commits all earlier entries.
func (r *Replica) becomeLeader(now time.Time) {
	r.role = roleLeader
	r.leader = Node{}
	clear(r.peers)
	for _, node := range mergeNodes(r.knownNodes, r.record.Entry.allVoters()) {
		if node.ID != r.config.Self.ID {
			r.peers[node.ID] = &peer{
				Node:           node,
				lastContact:    r.initialContact(node.ID, now),
				reachableSince: now,
			}
		}
	}
	r.writeEntry(r.record.Entry, now)
	r.termStartIndex = r.record.Entry.Index
	r.leaderSince = now
}

// writeEntry replaces the entry by one with the voters and state of next, and sends it to
// all peers.
func (r *Replica) writeEntry(next Entry, now time.Time) {
	next.Term = r.record.Term
	next.Index = r.record.Entry.Index + 1
	next.Voters = r.withCentres(next.Voters)
	r.record.Entry = next
	r.markChanged(now)
	r.entrySerial = r.serial
	r.broadcastHeartbeat(now)
}

// Propose writes an entry with a new state and returns its index, or false if this
// replica can't write entries now.
func (r *Replica) Propose(state zfcontrol.State, now time.Time) (uint64, bool) {
	if !r.Leading() || r.Pending() || r.transferring(now) {
		return 0, false
	}
	next := r.record.Entry
	next.State = state
	r.writeEntry(next, now)
	return r.record.Entry.Index, true
}

// ConfirmLeadership starts a round of heartbeats and returns its number. Once
// ConfirmedRound has reached it, no other leader had committed an entry at the time
// of the call, so that a read of the committed state is linearizable.
func (r *Replica) ConfirmLeadership(now time.Time) (uint64, bool) {
	if !r.Leading() {
		return 0, false
	}
	r.broadcastHeartbeat(now)
	return r.round, true
}

// ConfirmedRound returns the last round that a majority has acknowledged.
func (r *Replica) ConfirmedRound() uint64 {
	confirmed := r.round
	for _, voters := range r.record.Entry.voterSets() {
		rounds := make([]uint64, 0, len(voters))
		for _, voter := range voters {
			switch p := r.peers[voter.ID]; {
			case voter.ID == r.config.Self.ID:
				rounds = append(rounds, r.round)
			case p == nil:
				rounds = append(rounds, 0)
			default:
				rounds = append(rounds, p.ackedRound)
			}
		}
		if len(rounds) == 0 {
			return 0
		}
		slices.Sort(rounds)
		confirmed = min(confirmed, rounds[len(rounds)-majority(len(rounds))])
	}
	return confirmed
}

func (r *Replica) tickLeader(now time.Time) {
	diskStalled := r.serial != r.savedSerial && now.Sub(r.unsavedSince) >= saveTimeout
	if diskStalled || now.Sub(r.LastContact(now)) >= contactTimeout {
		r.becomeFollower(now)
		return
	}
	if now.Sub(r.lastBroadcast) >= heartbeatInterval {
		r.broadcastHeartbeat(now)
	}
	for id, p := range r.peers {
		if now.Sub(p.lastContact) >= removeTimeout && !r.isVoter(id) {
			delete(r.peers, id)
		}
	}
	switch {
	case !r.Leading():
	case r.Pending():
		r.revertVoters(now)
	case r.transferring(now) || r.mustHandOver() && r.retryTransfer(now):
	default:
		r.reconcileVoters(now)
	}
}

func (r *Replica) broadcastHeartbeat(now time.Time) {
	r.lastBroadcast = now
	r.round++
	for _, p := range r.peers {
		r.sendAppend(p, now)
	}
}

// sendAppend sends a heartbeat, with the newest entry if the peer lacks it and was
// not sent it within resendInterval.
func (r *Replica) sendAppend(p *peer, now time.Time) {
	entry := &r.record.Entry
	message := Message{
		Kind:     KindAppend,
		Round:    r.round,
		Nodes:    r.Nodes(now),
		Silences: r.silences(now),
	}
	if r.committed.Term == entry.Term {
		message.Commit = r.committed.Index
	}
	missing := p.matchTerm != entry.Term || p.matchIndex != entry.Index
	sentRecently := p.sentTerm == entry.Term && p.sentIndex == entry.Index && now.Sub(p.sentAt) < resendInterval
	if missing && !sentRecently {
		entryCopy := *entry
		message.Entry = &entryCopy
		p.sentAt = now
		p.sentTerm = entry.Term
		p.sentIndex = entry.Index
	}
	r.sendNow(p.Node, message)
}

// handleAppend handles a leader's heartbeat.
func (r *Replica) handleAppend(m Message, now time.Time) {
	if m.Term < r.record.Term {
		r.sendWhenSaved(m.From, Message{
			Kind: KindAppendReply,
		})
		return
	}
	r.observeTerm(m.Term, now)
	r.role = roleFollower
	r.leader = m.From
	r.lastHeartbeat = now
	r.knownNodes = m.Nodes
	clear(r.contacts)
	r.contacts[m.From.ID] = now
	for _, silence := range m.Silences {
		r.contacts[silence.ID] = now.Add(-silence.Duration)
	}
	r.resetElectionTimer(now)
	r.applyCommitIndex(m, now)
	if e := m.Entry; e != nil && newer(e.Term, e.Index, r.record.Entry.Term, r.record.Entry.Index) {
		if len(r.record.Entry.Voters) == 0 {
			r.record.Joined = e.Index
			r.config.Self.Joined = e.Index
		}
		r.record.Entry = *e
		r.markChanged(now)
		r.entrySerial = r.serial
		r.applyCommitIndex(m, now)
	}
	r.sendWhenSaved(m.From, Message{
		Kind:  KindAppendReply,
		Round: m.Round,
	})
}

// applyCommitIndex marks the local entry as committed if the leader's commit index
// covers it.
func (r *Replica) applyCommitIndex(m Message, now time.Time) {
	entry := r.record.Entry
	if entry.Term == m.Term && entry.Index <= m.Commit && entry.Index > r.committed.Index {
		r.setCommitted(entry, now)
	}
}

// handleAppendReply handles the reply to a heartbeat.
func (r *Replica) handleAppendReply(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	if r.role != roleLeader || m.Term != r.record.Term {
		return
	}
	p := r.recordContact(m, now)
	p.ackedRound = max(p.ackedRound, m.Round)
	p.matchTerm = m.LastTerm
	p.matchIndex = m.LastIndex
	r.maybeCommit(now)
}

// maybeCommit commits the leader's entry once a majority has it on disk.
func (r *Replica) maybeCommit(now time.Time) {
	entry := &r.record.Entry
	if r.role != roleLeader || entry.Term != r.record.Term || !r.Pending() {
		return
	}
	onDisk := func(id ID) bool {
		if id == r.config.Self.ID {
			return r.savedSerial >= r.entrySerial
		}
		p := r.peers[id]
		return p != nil && p.matchTerm == entry.Term && p.matchIndex == entry.Index
	}
	if !entry.hasMajority(onDisk) {
		return
	}
	r.setCommitted(*entry, now)
	r.broadcastHeartbeat(now)
}
