package zfquorum

import "time"

// Receive handles a message of another control instance.
func (r *Replica) Receive(m Message, now time.Time) {
	switch {
	case m.From.ID == r.config.Self.ID:
		return
	case m.To != 0 && m.To != r.config.Self.ID:
		// For an earlier ID at this address, whose disk was lost. The sender may be the
		// only instance that this one learns of.
		r.knownNodes = mergeNodes(r.knownNodes, []Node{m.From})
		return
	}
	switch m.Kind {
	case KindHello:
		r.handleHello(m, now)
	case KindNodes:
		r.knownNodes = mergeNodes(r.knownNodes, m.Nodes)
	case KindPreVote:
		r.handlePreVote(m, now)
	case KindPreVoteReply:
		r.handlePreVoteReply(m, now)
	case KindVote:
		r.handleVote(m, now)
	case KindVoteReply:
		r.handleVoteReply(m, now)
	case KindAppend:
		r.handleAppend(m, now)
	case KindAppendReply:
		r.handleAppendReply(m, now)
	case KindTimeoutNow:
		r.handleTimeoutNow(m, now)
	}
}

// mergeNodes adds nodes to the known ones. A new node replaces a known one with
// the same ID or address.
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
		p := r.recordContact(m, now)
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

// isUpToDate reports whether the sender's entry is at least as new as the local
// one.
func (r *Replica) isUpToDate(m Message) bool {
	return !newer(r.record.Entry.Term, r.record.Entry.Index, m.LastTerm, m.LastIndex)
}

// wouldGrantVote reports whether this replica grants a pre-vote. It denies it
// while heartbeats of a leader arrive, so that an instance returning from a
// partition doesn't depose the leader. handleVote has no such check.
func (r *Replica) wouldGrantVote(m Message, now time.Time) bool {
	return r.role != roleLeader && now.Sub(r.lastHeartbeat) >= voteTimeout && r.isUpToDate(m) && m.Round > r.record.Term
}

// handlePreVote replies to a pre-vote. A replica that grants one leaves time for the
// election, and gives up its own pre-vote if both began at the same time, so that votes
// seldom split.
func (r *Replica) handlePreVote(m Message, now time.Time) {
	granted := r.wouldGrantVote(m, now)
	if granted && (r.role != rolePreCandidate || m.From.ID < r.config.Self.ID) {
		if r.role == rolePreCandidate {
			r.role = roleFollower
		}
		if deadline := now.Add(electionTime); r.electionDeadline.Before(deadline) {
			r.electionDeadline = deadline
		}
	}
	r.sendNow(m.From, Message{
		Kind:    KindPreVoteReply,
		Round:   m.Round,
		Granted: granted,
	})
}

// startPreVote asks the voters whether they would vote for this replica. Round is
// the term of the intended election.
func (r *Replica) startPreVote(now time.Time) {
	if !r.isVoter(r.config.Self.ID) || r.serial != r.savedSerial {
		return // Only voters may be elected, and an instance whose disk is stalled couldn't act as leader.
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

// broadcast sends a message to all other voters, if durable only once the current
// record is on disk.
func (r *Replica) broadcast(m Message, durable bool) {
	for _, voter := range r.record.Entry.allVoters() {
		switch {
		case voter.ID == r.config.Self.ID:
		case durable:
			r.sendWhenSaved(voter, m)
		default:
			r.sendNow(voter, m)
		}
	}
}

// hasVoteMajority reports whether a majority of the voters granted its vote or
// pre-vote.
func (r *Replica) hasVoteMajority() bool {
	return r.record.Entry.hasMajority(func(id ID) bool { return r.votes[id] })
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

// startElection becomes a candidate in a new term and requests votes.
func (r *Replica) startElection(now time.Time) {
	r.role = roleCandidate
	r.leader = Node{}
	r.record.Term++
	r.elections++
	r.record.Vote = r.config.Self.ID
	r.markChanged(now)
	clear(r.votes)
	r.votes[r.config.Self.ID] = true
	r.broadcast(Message{
		Kind: KindVote,
	}, true)
	r.resetElectionTimer(now)
}

// observeTerm becomes a follower in term if it is higher than the current one.
func (r *Replica) observeTerm(term uint64, now time.Time) {
	if term <= r.record.Term {
		return
	}
	r.record.Term = term
	r.elections++
	r.record.Vote = 0
	r.markChanged(now)
	r.becomeFollower(now)
}

// becomeFollower gives up the current role and becomes a follower.
func (r *Replica) becomeFollower(now time.Time) {
	if r.role == roleLeader {
		// No other leader is known: a zero lastHeartbeat selects the short election
		// timeout, sends a hello at the next tick and permits pre-votes.
		r.lastHeartbeat = time.Time{}
		r.knownNodes = r.Nodes(now)
		clear(r.contacts)
		for id, p := range r.peers {
			r.contacts[id] = p.lastContact
		}
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
