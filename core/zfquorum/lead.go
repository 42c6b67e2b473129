package zfquorum

import (
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
)

// takeLead begins to lead. The first entry repeats the newest state in the new
// term: once it is committed, so is all that came before it.
func (r *Replica) takeLead(now time.Time) {
	r.role = roleLeader
	r.leader = Node{}
	clear(r.peers)
	for _, node := range merge(r.known, r.record.Entry.Voters) {
		if node.ID != r.config.Self.ID {
			r.peers[node.ID] = &peer{
				Node:  node,
				heard: now,
			}
		}
	}
	r.write(r.record.Entry.Voters, r.record.Entry.State, now)
	r.ledFrom = r.record.Entry.Index
}

// write makes a new entry and sends it to all.
func (r *Replica) write(voters []Node, state zfcontrol.State, now time.Time) {
	r.record.Entry = Entry{
		Term:   r.record.Term,
		Index:  r.record.Entry.Index + 1,
		Voters: voters,
		State:  state,
	}
	r.changed(now)
	r.entryFrom = r.serial
	r.beatAll(now)
}

// Propose replaces the state. It returns the index of the entry, or false if
// this replica can't write one now.
func (r *Replica) Propose(state zfcontrol.State, now time.Time) (uint64, bool) {
	if !r.Leading() || r.Pending() {
		return 0, false
	}
	r.write(r.record.Entry.Voters, state, now)
	return r.record.Entry.Index, true
}

// ConfirmLeadership starts a round of heartbeats and returns its number. Once ConfirmedRound
// has reached it, no other leader had committed anything when ConfirmLeadership was called.
func (r *Replica) ConfirmLeadership(now time.Time) (uint64, bool) {
	if !r.Leading() {
		return 0, false
	}
	r.beatAll(now)
	return r.round, true
}

// ConfirmedRound returns the last round that a majority has answered.
func (r *Replica) ConfirmedRound() uint64 {
	rounds := make([]uint64, 0, len(r.record.Entry.Voters))
	for _, voter := range r.record.Entry.Voters {
		switch p := r.peers[voter.ID]; {
		case voter.ID == r.config.Self.ID:
			rounds = append(rounds, r.round)
		case p == nil:
			rounds = append(rounds, 0)
		default:
			rounds = append(rounds, p.round)
		}
	}
	if len(rounds) == 0 {
		return 0
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-majority(len(rounds))]
}

// meet returns the row of a node that was heard from. Another disk at the same
// address means that the earlier one was lost.
func (r *Replica) meet(node Node, now time.Time) *peer {
	p := r.peers[node.ID]
	if p == nil {
		p = &peer{}
		r.peers[node.ID] = p
	}
	p.Node = node
	p.heard = now
	return p
}

func (r *Replica) lead(now time.Time) {
	stuck := r.serial != r.saved && now.Sub(r.unsaved) >= saveTimeout
	if stuck || now.Sub(r.LastContact(now)) >= contactTimeout {
		r.follow(now)
		return
	}
	if now.Sub(r.beat) >= heartbeatEvery {
		r.beatAll(now)
	}
	for id, p := range r.peers {
		if now.Sub(p.heard) >= forgetAfter && !r.isVoter(id) {
			delete(r.peers, id)
		}
	}
	if r.Leading() && !r.Pending() {
		r.reconcile(now)
	}
}

func (r *Replica) beatAll(now time.Time) {
	r.beat = now
	r.round++
	for _, p := range r.peers {
		r.sendAppend(p, now)
	}
}

// sendAppend sends a heartbeat, with the newest entry if the peer lacks it.
func (r *Replica) sendAppend(p *peer, now time.Time) {
	entry := &r.record.Entry
	message := Message{
		Kind:  KindAppend,
		Round: r.round,
		Nodes: r.Nodes(now),
	}
	if r.committed.Term == entry.Term {
		message.Commit = r.committed.Index
	}
	lacks := p.term != entry.Term || p.index != entry.Index
	sent := p.sentTerm == entry.Term && p.sentIndex == entry.Index && now.Sub(p.sent) < resendAfter
	if lacks && !sent {
		copied := *entry
		message.Entry = &copied
		p.sent = now
		p.sentTerm = entry.Term
		p.sentIndex = entry.Index
	}
	r.sendNow(p.Node, message)
}

// append takes a heartbeat of a leader.
func (r *Replica) append(m Message, now time.Time) {
	if m.Term < r.record.Term {
		r.send(m.From, Message{
			Kind: KindAppendReply,
		})
		return
	}
	r.observeTerm(m.Term, now)
	r.role = roleFollower
	r.leader = m.From
	r.heard = now
	r.known = m.Nodes
	r.restartTimer(now)
	r.learnCommit(m, now)
	if e := m.Entry; e != nil && newer(e.Term, e.Index, r.record.Entry.Term, r.record.Entry.Index) {
		r.record.Entry = *e
		r.changed(now)
		r.entryFrom = r.serial
		r.learnCommit(m, now)
	}
	r.send(m.From, Message{
		Kind:  KindAppendReply,
		Round: m.Round,
	})
}

// learnCommit notes that the entry held here is committed.
func (r *Replica) learnCommit(m Message, now time.Time) {
	entry := r.record.Entry
	if entry.Term == m.Term && entry.Index <= m.Commit && entry.Index > r.committed.Index {
		r.settle(entry, now)
	}
}

// appended takes the answer to a heartbeat.
func (r *Replica) appended(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	if r.role != roleLeader || m.Term != r.record.Term {
		return
	}
	p := r.meet(m.From, now)
	p.round = max(p.round, m.Round)
	p.term = m.LastTerm
	p.index = m.LastIndex
	r.commit(now)
}

// commit counts the disks that hold this leader's entry.
func (r *Replica) commit(now time.Time) {
	entry := &r.record.Entry
	if r.role != roleLeader || entry.Term != r.record.Term || !r.Pending() {
		return
	}
	count := 0
	for _, voter := range entry.Voters {
		p := r.peers[voter.ID]
		switch {
		case voter.ID == r.config.Self.ID && r.saved >= r.entryFrom:
			count++
		case p != nil && p.term == entry.Term && p.index == entry.Index:
			count++
		}
	}
	if count < majority(len(entry.Voters)) {
		return
	}
	r.settle(*entry, now)
	r.beatAll(now)
}

// reconcile changes the voters by one where that brings them nearer to what is
// wanted.
func (r *Replica) reconcile(now time.Time) {
	voters := r.record.Entry.Voters
	if lost, ok := r.lostDisk(voters); ok && len(voters) > 1 {
		r.write(without(voters, lost), r.record.Entry.State, now)
		return
	}
	spare, found := r.spare(voters, now)
	silent, dead := r.silent(voters, now)
	switch {
	case found && (len(voters) < r.config.VoterTarget || dead && len(voters) == r.config.VoterTarget):
		r.write(append(slices.Clone(voters), spare), r.record.Entry.State, now)
	case dead && len(voters) > r.config.VoterTarget:
		r.write(without(voters, silent), r.record.Entry.State, now)
	}
}

func without(voters []Node, id ID) []Node {
	return slices.DeleteFunc(slices.Clone(voters), func(n Node) bool { return n.ID == id })
}

// lostDisk returns a voter at whose address there is another disk now.
func (r *Replica) lostDisk(voters []Node) (ID, bool) {
	for _, voter := range voters {
		for id, p := range r.peers {
			silent := r.peers[voter.ID] == nil || p.heard.After(r.peers[voter.ID].heard)
			if id != voter.ID && p.Address == voter.Address && silent {
				return voter.ID, true
			}
		}
	}
	return 0, false
}

// silent returns the voter that has been silent for longest, if that is long.
func (r *Replica) silent(voters []Node, now time.Time) (ID, bool) {
	var oldest *peer
	for _, voter := range voters {
		p := r.peers[voter.ID]
		if p != nil && now.Sub(p.heard) >= replaceAfter && (oldest == nil || p.heard.Before(oldest.heard)) {
			oldest = p
		}
	}
	if oldest == nil {
		return 0, false
	}
	return oldest.ID, true
}

// spare returns the instance that would best become a voter: one that has the
// newest entry, in the data centre with the fewest voters.
func (r *Replica) spare(voters []Node, now time.Time) (Node, bool) {
	counts := make(map[zf.CentreName]int)
	for _, voter := range voters {
		counts[voter.Centre]++
	}
	var best Node
	for id, p := range r.peers {
		current := p.term == r.record.Entry.Term && p.index == r.record.Entry.Index
		if r.isVoter(id) || !current || now.Sub(p.heard) >= contactTimeout {
			continue
		}
		fewer := counts[p.Centre] < counts[best.Centre]
		if best.ID == 0 || fewer || counts[p.Centre] == counts[best.Centre] && id < best.ID {
			best = p.Node
		}
	}
	return best, best.ID != 0
}
