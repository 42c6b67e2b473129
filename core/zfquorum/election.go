package zfquorum

import "time"

// Receive takes a message of another control instance.
func (r *Replica) Receive(m Message, now time.Time) {
	if m.From.ID == r.config.Self.ID || m.To != 0 && m.To != r.config.Self.ID {
		return // For a disk that this instance no longer has.
	}
	switch m.Kind {
	case KindHello:
		r.handleHello(m, now)
	case KindNodes:
		r.knownNodes = mergeNodes(r.knownNodes, m.Nodes)
	case KindPreVote:
		r.sendNow(m.From, Message{
			Kind:    KindPreVoteReply,
			Round:   m.Round,
			Granted: r.wouldGrantVote(m, now),
		})
	case KindPreVoteReply:
		r.handlePreVoteReply(m, now)
	case KindVote:
		r.handleVote(m, now)
	case KindVoteReply:
		r.handleVoteReply(m, now)
	case KindAppend:
		r.append(m, now)
	case KindAppendReply:
		r.handleAppendReply(m, now)
	case KindTimeoutNow:
		r.handleTimeoutNow(m, now)
	}
}

// mergeNodes adds the nodes that are not there yet; of two at one address the new
// one stays.
func mergeNodes(known, nodes []Node) []Node {
	for _, node := range nodes {
		remaining := known[:0:0]
		for _, k := range known {
			if k.ID != node.ID && k.Address != node.Address {
				remaining = append(remaining, k)
			}
		}
		known = append(remaining, node)
	}
	return known
}

func (r *Replica) handleHello(m Message, now time.Time) {
	if r.role == roleLeader {
		p := r.recordContact(m.From, now)
		r.sendAppend(p, now)
		return
	}
	if leader, ok := r.Leader(); ok {
		r.sendNow(m.From, Message{
			Kind:  KindNodes,
			Nodes: mergeNodes(r.knownNodes, []Node{leader}),
		})
		return
	}
	r.knownNodes = mergeNodes(r.knownNodes, []Node{m.From})
	r.sendNow(m.From, Message{
		Kind:  KindNodes,
		Nodes: r.knownNodes,
	})
}

// isUpToDate reports whether the sender's entry is at least as new as this one's.
func (r *Replica) isUpToDate(m Message) bool {
	return !newer(r.record.Entry.Term, r.record.Entry.Index, m.LastTerm, m.LastIndex)
}

// wouldGrantVote reports whether a vote would be granted: not while a leader is
// heard, so that an instance that was cut off doesn't depose it.
func (r *Replica) wouldGrantVote(m Message, now time.Time) bool {
	return r.role != roleLeader && now.Sub(r.lastHeartbeat) >= contactTimeout && r.isUpToDate(m) && m.Round > r.record.Term
}

// startPreVote asks the voters whether they would vote for this replica. Round carries
// the term that it would stand in.
func (r *Replica) startPreVote(now time.Time) {
	if !r.isVoter(r.config.Self.ID) || r.serial != r.savedSerial {
		return // A disk that doesn't take the record could not lead.
	}
	r.role = rolePreCandidate
	clear(r.votes)
	r.votes[r.config.Self.ID] = true
	r.broadcast(Message{
		Kind:  KindPreVote,
		Round: r.record.Term + 1,
	}, false)
	if r.hasVoteMajority() {
		r.startElection(now)
	}
}

// broadcast sends a message to all other voters.
func (r *Replica) broadcast(m Message, durable bool) {
	for _, voter := range r.record.Entry.Voters {
		switch {
		case voter.ID == r.config.Self.ID:
		case durable:
			r.sendWhenSaved(voter, m)
		default:
			r.sendNow(voter, m)
		}
	}
}

// hasVoteMajority reports whether a majority of the voters is in votes.
func (r *Replica) hasVoteMajority() bool {
	count := 0
	for _, voter := range r.record.Entry.Voters {
		if r.votes[voter.ID] {
			count++
		}
	}
	return count >= majority(len(r.record.Entry.Voters))
}

func (r *Replica) handlePreVoteReply(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	if r.role != rolePreCandidate || m.Round != r.record.Term+1 || !m.Granted {
		return
	}
	r.votes[m.From.ID] = true
	if r.hasVoteMajority() {
		r.startElection(now)
	}
}

// startElection asks for votes in a new term.
func (r *Replica) startElection(now time.Time) {
	r.role = roleCandidate
	r.leader = Node{}
	r.record.Term++
	r.record.Vote = r.config.Self.ID
	r.markChanged(now)
	clear(r.votes)
	r.votes[r.config.Self.ID] = true
	r.broadcast(Message{
		Kind: KindVote,
	}, true)
	r.resetElectionTimer(now)
}

// observeTerm follows a higher term.
func (r *Replica) observeTerm(term uint64, now time.Time) {
	if term <= r.record.Term {
		return
	}
	r.record.Term = term
	r.record.Vote = 0
	r.markChanged(now)
	r.becomeFollower(now)
}

// becomeFollower gives up whatever this replica was in its term.
func (r *Replica) becomeFollower(now time.Time) {
	if r.role == roleLeader {
		r.lastHeartbeat = time.Time{}
		r.knownNodes = r.Nodes(now)
	}
	r.role = roleFollower
	r.leader = Node{}
	r.resetElectionTimer(now)
}

func (r *Replica) handleVote(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	granted := m.Term == r.record.Term && r.isUpToDate(m) &&
		(r.record.Vote == 0 || r.record.Vote == m.From.ID)
	if granted && r.record.Vote == 0 {
		r.record.Vote = m.From.ID
		r.markChanged(now)
	}
	if granted {
		r.role = roleFollower
		r.resetElectionTimer(now)
	}
	r.sendWhenSaved(m.From, Message{
		Kind:    KindVoteReply,
		Granted: granted,
	})
}

func (r *Replica) handleVoteReply(m Message, now time.Time) {
	r.observeTerm(m.Term, now)
	if r.role != roleCandidate || m.Term != r.record.Term || !m.Granted {
		return
	}
	r.votes[m.From.ID] = true
	if r.hasVoteMajority() {
		r.becomeLeader(now)
	}
}
