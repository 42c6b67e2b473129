// Package zfquorum replicates the control state among the control instances by a
// variant of the Raft algorithm. The state is small and replaced as a whole, so the
// log consists of its last entry only. A majority of the voters elects a leader; an
// entry is committed once a majority has it on disk. Membership changes are entries
// that add or remove one voter.
package zfquorum

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Config holds the parameters of a replica.
type Config struct {
	Self   Node
	Random zf.Random
	// Record is the record loaded from disk; its Entry is empty on a new disk.
	Record Record
	// Seeds are addresses at which other control instances may be found.
	Seeds []netip.AddrPort
	// VoterTarget is the desired number of voters: 2n+1 to survive the loss of n
	// disks at once.
	VoterTarget int
}

const (
	// heartbeatInterval is the time between the leader's heartbeats.
	heartbeatInterval = 200 * time.Millisecond
	// minElectionTimeout is the minimum election timeout; a random part of
	// electionJitter is added to it. Four heartbeats in a row may get lost without
	// an election.
	minElectionTimeout = 900 * time.Millisecond
	electionJitter     = 600 * time.Millisecond
	// minFirstElectionTimeout and firstElectionJitter are used in place of
	// minElectionTimeout and electionJitter by a replica that has not received a
	// heartbeat since its start or since it was the leader. They are short because
	// after a power loss there is no leader to wait for; where there is one, its
	// followers grant no pre-vote. From the second election on they double with each
	// one, up to the regular timeouts: a vote takes two saves of a record.
	minFirstElectionTimeout = 40 * time.Millisecond
	firstElectionJitter     = 160 * time.Millisecond
	// maxElectionDoublings bounds the growth of the first election timeouts; the
	// regular ones are reached before.
	maxElectionDoublings = 5
	// voteTimeout is the time without a heartbeat after which a pre-vote is granted. It
	// is less than minElectionTimeout, as replicas receive the last heartbeat at
	// different times.
	voteTimeout = 4 * heartbeatInterval
	// electionTime is how long an election takes at most, as a rule: a replica that granted
	// a pre-vote begins none of its own meanwhile, and a leader that transfers the
	// leadership writes no entry.
	electionTime = 300 * time.Millisecond
	// contactTimeout is the silence after which a node counts as unreachable. A
	// leader that can't reach a majority steps down.
	contactTimeout = 1000 * time.Millisecond
	// resendInterval is the time after which an unacknowledged entry is sent
	// again.
	resendInterval = 400 * time.Millisecond
	// helloInterval is the time between two attempts to discover a leader.
	helloInterval = 400 * time.Millisecond
	// saveTimeout is the time a record may take to be saved before the leader
	// steps down.
	saveTimeout = 1500 * time.Millisecond
	// replaceTimeout is the silence after which a voter is replaced by a reachable
	// instance. With an election and the change of the voters it is less than the time
	// after which another one may be lost.
	replaceTimeout = 2 * time.Second
	// replyTimeout is the silence after which an instance has missed a heartbeat: it isn't
	// made the leader, and no vote moves unless it has to. A new leader waits as long
	// for replies before a voter counts as silent.
	replyTimeout = 2 * heartbeatInterval
	// removeTimeout is the silence after which the leader leaves a node out of
	// Nodes. It also removes the row of a non-voter.
	removeTimeout = 20 * time.Second
	// commitSaveDelay is the time since the last commit after which
	// Record.Committed is saved on its own. It spans several changes of a burst,
	// so that the additional write doesn't slow bursts down.
	commitSaveDelay = time.Second
)

// role is the role of a replica in its term.
type role uint8

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// peer is the row of another control instance.
type peer struct {
	Node
	lastContact time.Time
	// reachableSince is when the current contact began, as far as this leader knows.
	reachableSince time.Time
	stopping       bool
	// matchTerm and matchIndex identify the entry that the peer has on disk.
	matchTerm  uint64
	matchIndex uint64
	// ackedRound is the round of the last heartbeat that the peer acknowledged.
	ackedRound uint64
	// sentAt is when an entry was last sent; sentTerm and sentIndex identify it.
	sentAt    time.Time
	sentTerm  uint64
	sentIndex uint64
}

// queuedMessage is a message that is sent once the record with its serial is on
// disk.
type queuedMessage struct {
	serial  uint64
	message Message
}

// Replica is the Raft state of one control instance. It is not safe for
// concurrent use; the control goroutine owns it.
type Replica struct {
	config Config
	record Record
	// serial numbers the changes of record. savedSerial is the last one on disk,
	// entrySerial the one that set record.Entry. unsavedSince is when the oldest
	// change not on disk was made, or the time of the last save if that is later.
	serial           uint64
	savedSerial      uint64
	unsavedSince     time.Time
	entrySerial      uint64
	role             role
	leader           Node
	lastHeartbeat    time.Time
	electionDeadline time.Time
	// elections counts the terms since an entry was last committed.
	elections     int
	lastHello     time.Time
	lastBroadcast time.Time
	votes         map[ID]bool
	peers         map[ID]*peer
	knownNodes    []Node
	// round is the number of the last round of heartbeats that this replica sent
	// as leader.
	round uint64
	// contacts are the times of the last contact with other control instances, as the
	// last leader told them.
	contacts  map[ID]time.Time
	committed Entry
	// committedAt is when this replica learned of the commit.
	committedAt time.Time
	// termStartIndex is the index of the leader's first entry in its term, leaderSince
	// the time when it was written.
	termStartIndex uint64
	leaderSince    time.Time
	outbox         []queuedMessage
	// stopping is set once a planned stop has begun. lastTransfer is when the leadership
	// was last offered to another voter.
	stopping     bool
	lastTransfer time.Time
	// voterChanges are those not yet returned by TakeVoterChanges.
	voterChanges []VoterChange
}

// New returns a replica whose first election timeout starts at now.
func New(config Config, now time.Time) *Replica {
	r := &Replica{
		config:    config,
		record:    config.Record,
		committed: config.Record.Committed,
		votes:     make(map[ID]bool),
		peers:     make(map[ID]*peer),
		contacts:  make(map[ID]time.Time),
	}
	r.record.Self = config.Self.ID
	r.config.Self.Joined = config.Record.Joined
	r.serial = 1
	r.entrySerial = 1
	r.unsavedSince = now
	r.resetElectionTimer(now)
	return r
}

// SetSeeds replaces the addresses at which other control instances may be found.
func (r *Replica) SetSeeds(seeds []netip.AddrPort) { r.config.Seeds = seeds }

// Self returns this control instance.
func (r *Replica) Self() Node { return r.config.Self }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.record.Term }

// Leading reports whether this replica is the leader and has committed an entry of
// its term.
func (r *Replica) Leading() bool {
	return r.role == roleLeader && r.committed.Term == r.record.Term && r.committed.Index >= r.termStartIndex
}

// Leader returns the leader of the current term, if one is known. It may be this
// replica before Leading reports true.
func (r *Replica) Leader() (Node, bool) {
	if r.role == roleLeader {
		return r.config.Self, true
	}
	return r.leader, r.leader.ID != 0
}

// Committed returns the last entry known to be committed.
func (r *Replica) Committed() Entry { return r.committed }

// Voters returns the voters of the newest entry held here.
func (r *Replica) Voters() []Node { return r.record.Entry.Voters }

// Pending reports whether the newest entry is not known to be committed.
func (r *Replica) Pending() bool {
	return r.committed.Term != r.record.Entry.Term || r.committed.Index != r.record.Entry.Index
}

// Nodes returns the known control instances, including this one. A leader leaves
// out those silent for removeTimeout; other replicas return the last leader's
// nodes and those discovered since.
func (r *Replica) Nodes(now time.Time) []Node {
	nodes := []Node{r.config.Self}
	if r.role != roleLeader {
		for _, node := range r.knownNodes {
			if node.ID != r.config.Self.ID {
				nodes = append(nodes, node)
			}
		}
		return nodes
	}
	for _, p := range r.peers {
		if now.Sub(p.lastContact) < removeTimeout {
			nodes = append(nodes, p.Node)
		}
	}
	sortNodes(nodes)
	return nodes
}

func sortNodes(nodes []Node) {
	slices.SortFunc(nodes, func(a, b Node) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		default:
			return 0
		}
	})
}

func majority(n int) int { return n/2 + 1 }

// isVoter reports whether an instance is in one of the sets of voters.
func (r *Replica) isVoter(id ID) bool { return containsNode(r.record.Entry.allVoters(), id) }

func containsNode(nodes []Node, id ID) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool { return n.ID == id })
}

// Unsaved returns the record to save with its serial; ok is false if the record is
// on disk already.
func (r *Replica) Unsaved() (record Record, serial uint64, ok bool) {
	return r.record, r.serial, r.serial != r.savedSerial
}

// MarkSaved records that the record with the given serial is on disk.
func (r *Replica) MarkSaved(serial uint64, now time.Time) {
	r.savedSerial = max(r.savedSerial, serial)
	if r.savedSerial != r.serial {
		r.unsavedSince = now
	}
	if r.role == roleCandidate && r.savedSerial == r.serial {
		r.resetElectionTimer(now) // The requests for votes are sent only now.
	}
	r.maybeCommit(now)
}

// markChanged marks the record as unsaved.
func (r *Replica) markChanged(now time.Time) {
	if r.savedSerial == r.serial {
		r.unsavedSince = now
	}
	r.record.Committed = r.committed
	r.serial++
}

// setCommitted records that an entry is committed.
func (r *Replica) setCommitted(entry Entry, now time.Time) {
	r.committed = entry
	r.committedAt = now
	r.elections = 0
}

// sendWhenSaved queues a message until the current record, which the message
// relies on, is on disk.
func (r *Replica) sendWhenSaved(to Node, message Message) {
	message.From = r.config.Self
	message.Stopping = r.stopping
	message.To = to.ID
	message.Address = to.Address
	message.Term = r.record.Term
	message.LastTerm = r.record.Entry.Term
	message.LastIndex = r.record.Entry.Index
	r.outbox = append(r.outbox, queuedMessage{
		serial:  r.serial,
		message: message,
	})
}

// sendNow queues a message that doesn't depend on the record being on disk.
func (r *Replica) sendNow(to Node, message Message) {
	r.sendWhenSaved(to, message)
	r.outbox[len(r.outbox)-1].serial = 0
}

// TakeMessages returns the messages that may be sent now and removes them from the
// outbox.
func (r *Replica) TakeMessages() []Message {
	if len(r.outbox) == 0 {
		return nil
	}
	messages := make([]Message, 0, len(r.outbox))
	r.outbox = slices.DeleteFunc(r.outbox, func(q queuedMessage) bool {
		if q.serial > r.savedSerial {
			return false
		}
		messages = append(messages, q.message)
		return true
	})
	return messages
}

// Tick runs the replica's timers.
func (r *Replica) Tick(now time.Time) {
	switch {
	case r.role == roleLeader:
		r.tickLeader(now)
	case now.Sub(r.lastHeartbeat) >= 2*heartbeatInterval && now.Sub(r.lastHello) >= helloInterval:
		r.sendHello(now)
	}
	if r.role != roleLeader && now.Sub(r.lastHeartbeat) >= contactTimeout {
		r.leader = Node{}
	}
	if r.role != roleLeader && !now.Before(r.electionDeadline) {
		r.resetElectionTimer(now)
		r.startPreVote(now)
	}
	if r.role == roleCandidate && r.serial == r.savedSerial && r.hasVoteMajority() {
		r.becomeLeader(now) // A single voter needs no replies.
	}
	if r.record.Committed.Index != r.committed.Index && now.Sub(r.committedAt) >= commitSaveDelay {
		r.markChanged(now)
	}
}

func (r *Replica) resetElectionTimer(now time.Time) {
	minimum, jitter := minElectionTimeout, electionJitter
	if r.lastHeartbeat.IsZero() {
		growth := time.Duration(1) << min(max(r.elections-1, 0), maxElectionDoublings)
		minimum = min(minimum, growth*minFirstElectionTimeout)
		jitter = min(jitter, growth*firstElectionJitter)
	}
	r.electionDeadline = now.Add(minimum + time.Duration(r.config.Random.IntN(int(jitter))))
}

// sendHello sends a hello to every known address to discover the leader.
func (r *Replica) sendHello(now time.Time) {
	r.lastHello = now
	addresses := make(map[netip.AddrPort]bool)
	for _, seed := range r.config.Seeds {
		addresses[seed] = true
	}
	for _, node := range r.record.Entry.allVoters() {
		addresses[node.Address] = true
	}
	for _, node := range r.knownNodes {
		addresses[node.Address] = true
	}
	delete(addresses, r.config.Self.Address)
	for address := range addresses {
		r.sendNow(Node{
			Address: address,
		}, Message{
			Kind: KindHello,
		})
	}
}
