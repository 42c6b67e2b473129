package zfquorum

import "time"

// Receive takes a message of another control instance.
func (r *Replica) Receive(m Message, now time.Time) {
	if m.From.ID == r.config.Self.ID || m.To != 0 && m.To != r.config.Self.ID {
		return // For a disk that this instance no longer has.
	}
	switch m.Kind {
	case KindHello:
		r.answerHello(m, now)
	case KindNodes:
		r.known = merge(r.known, m.Nodes)
	case KindPreVote:
		r.sendNow(m.From, Message{
			Kind:    KindPreVoteReply,
			Round:   m.Round,
			Granted: r.wouldVote(m, now),
		})
	case KindPreVoteReply:
		r.countProbe(m, now)
	case KindVote:
		r.vote(m, now)
	case KindVoteReply:
		r.countVote(m, now)
	case KindAppend:
		r.append(m, now)
	case KindAppendReply:
		r.appended(m, now)
	case KindTimeoutNow:
		r.takeOver(m, now)
	}
}

// merge adds the nodes that are not there yet; of two at one address the new
// one stays.
func merge(known, nodes []Node) []Node {
	for _, node := range nodes {
		kept := known[:0:0]
		for _, k := range known {
			if k.ID != node.ID && k.Address != node.Address {
				kept = append(kept, k)
			}
		}
		known = append(kept, node)
	}
	return known
}

func (r *Replica) answerHello(m Message, now time.Time) {
	if r.role == roleLeader {
		p := r.meet(m.From, now)
		r.sendAppend(p, now)
		return
	}
	if leader, ok := r.Leader(); ok {
		r.sendNow(m.From, Message{
			Kind:  KindNodes,
			Nodes: merge(r.known, []Node{leader}),
		})
		return
	}
	r.known = merge(r.known, []Node{m.From})
	r.sendNow(m.From, Message{
		Kind:  KindNodes,
		Nodes: r.known,
	})
}

// upToDate reports whether the sender's entry is at least as new as this one's.
func (r *Replica) upToDate(m Message) bool {
	return !newer(r.record.Entry.Term, r.record.Entry.Index, m.LastTerm, m.LastIndex)
}

// wouldVote reports whether a vote would be granted: not while a leader is
// heard, so that an instance that was cut off doesn't depose it.
func (r *Replica) wouldVote(m Message, now time.Time) bool {
	return r.role != roleLeader && now.Sub(r.heard) >= contactTimeout && r.upToDate(m) && m.Round > r.record.Term
}

// probe asks the voters whether they would vote for this replica. Round carries
// the term that it would stand in.
func (r *Replica) probe(now time.Time) {
	if !r.isVoter(r.config.Self.ID) || r.serial != r.saved {
		return // A disk that doesn't take the record could not lead.
	}
	r.role = roleProber
	clear(r.votes)
	r.votes[r.config.Self.ID] = true
	r.broadcast(Message{
		Kind:  KindPreVote,
		Round: r.record.Term + 1,
	}, false)
	if r.elected() {
		r.stand(now)
	}
}

// broadcast sends a message to all other voters.
func (r *Replica) broadcast(m Message, durable bool) {
	for _, voter := range r.record.Entry.Voters {
		switch {
		case voter.ID == r.config.Self.ID:
		case durable:
			r.send(voter, m)
		default:
			r.sendNow(voter, m)
		}
	}
}

// elected reports whether a majority of the voters is in votes.
func (r *Replica) elected() bool {
	count := 0
	for _, voter := range r.record.Entry.Voters {
		if r.votes[voter.ID] {
			count++
		}
	}
	return count >= majority(len(r.record.Entry.Voters))
}

func (r *Replica) countProbe(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	if r.role != roleProber || m.Round != r.record.Term+1 || !m.Granted {
		return
	}
	r.votes[m.From.ID] = true
	if r.elected() {
		r.stand(now)
	}
}

// stand asks for votes in a new term.
func (r *Replica) stand(now time.Time) {
	r.role = roleCandidate
	r.leader = Node{}
	r.record.Term++
	r.record.Vote = r.config.Self.ID
	r.changed(now)
	clear(r.votes)
	r.votes[r.config.Self.ID] = true
	r.broadcast(Message{
		Kind: KindVote,
	}, true)
	r.restartTimer(now)
}

// observeTerm follows a higher term.
func (r *Replica) observeTerm(term uint64, now time.Time) {
	if term <= r.record.Term {
		return
	}
	r.record.Term = term
	r.record.Vote = 0
	r.changed(now)
	r.follow(now)
}

// follow gives up whatever this replica was in its term.
func (r *Replica) follow(now time.Time) {
	if r.role == roleLeader {
		r.heard = time.Time{}
		r.known = r.Nodes(now)
	}
	r.role = roleFollower
	r.leader = Node{}
	r.restartTimer(now)
}

func (r *Replica) vote(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	granted := m.Term == r.record.Term && r.upToDate(m) &&
		(r.record.Vote == 0 || r.record.Vote == m.From.ID)
	if granted && r.record.Vote == 0 {
		r.record.Vote = m.From.ID
		r.changed(now)
	}
	if granted {
		r.role = roleFollower
		r.restartTimer(now)
	}
	r.send(m.From, Message{
		Kind:    KindVoteReply,
		Granted: granted,
	})
}

func (r *Replica) countVote(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	if r.role != roleCandidate || m.Term != r.record.Term || !m.Granted {
		return
	}
	r.votes[m.From.ID] = true
	if r.elected() {
		r.takeLead(now)
	}
}
