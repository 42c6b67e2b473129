// Package zfquorum decides on the control state that the control instances
// share. The state is small and replaced as a whole, so that the replicated log
// is its last entry. A majority of the voters elects a leader; an entry counts
// once a majority has it on disk. Voters change one at a time, by entries.
package zfquorum

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Config holds what a replica is built from.
type Config struct {
	Self   Node
	Random zf.Random
	// Record is what the disk holds; its Entry is empty on a new disk.
	Record Record
	// Seeds are addresses at which other control instances may be.
	Seeds []netip.AddrPort
	// VoterTarget is the number of voters wanted: twice the disks that may be lost at
	// once, and one.
	VoterTarget int
}

const (
	// heartbeatInterval is the time between two heartbeats of the leader.
	heartbeatInterval = 200 * time.Millisecond
	// minElectionTimeout and electionSpread bound the silence after which a voter
	// stands for election; four heartbeats may get lost.
	minElectionTimeout = 900 * time.Millisecond
	electionJitter     = 600 * time.Millisecond
	// minFirstElectionTimeout and startSpread bound the election timeouts of a process that
	// has not heard a leader yet: after a power loss there is none to wait for,
	// and where there is one, its followers grant no vote.
	minFirstElectionTimeout = 40 * time.Millisecond
	firstElectionJitter     = 160 * time.Millisecond
	// contactTimeout is the silence after which a node no longer counts as
	// reached. A leader that doesn't reach a majority steps down.
	contactTimeout = 1000 * time.Millisecond
	// resendInterval is the time after which an entry is sent again.
	resendInterval = 400 * time.Millisecond
	// helloInterval is the time between two attempts to find a leader.
	helloInterval = 400 * time.Millisecond
	// saveTimeout is the longest time that a leader's disk may take.
	saveTimeout = 1500 * time.Millisecond
	// replaceTimeout is the silence after which a voter gives its place to an
	// instance that is there.
	replaceTimeout = 6 * time.Second
	// removeTimeout is the silence after which a node without a vote is forgotten.
	removeTimeout = 20 * time.Second
	// commitSaveDelay is the time without changes after which it is put on disk that
	// the last one is committed: a few changes of a storm, so that storms are not
	// slowed down.
	commitSaveDelay = time.Second
)

// role is what a replica does in its term.
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
	// matchTerm and index are those of the entry that the peer has on disk.
	matchTerm  uint64
	matchIndex uint64
	// ackedRound is the last heartbeat that the peer answered.
	ackedRound uint64
	// sentAt is when an entry was last sentAt, and sentIndex which one.
	sentAt    time.Time
	sentTerm  uint64
	sentIndex uint64
}

// queuedMessage is a message that may leave once a record is on disk.
type queuedMessage struct {
	serial  uint64
	message Message
}

// Replica is one control instance's part in the replication. It belongs to the
// control goroutine.
type Replica struct {
	config Config
	record Record
	// serial numbers the changes of record, saved is the last one on disk.
	serial           uint64
	savedSerial      uint64
	unsavedSince     time.Time
	entrySerial      uint64
	role             role
	leader           Node
	lastHeartbeat    time.Time
	electionDeadline time.Time
	lastHello        time.Time
	lastBroadcast    time.Time
	votes            map[ID]bool
	peers            map[ID]*peer
	knownNodes       []Node
	round            uint64
	committed        Entry
	// committedAt is when committed became known.
	committedAt time.Time
	// termStartIndex is the index of the first entry of this leader's own term.
	termStartIndex uint64
	outbox         []queuedMessage
}

// New returns a replica. now starts its first election timeout.
func New(config Config, now time.Time) *Replica {
	r := &Replica{
		config:    config,
		record:    config.Record,
		committed: config.Record.Committed,
		votes:     make(map[ID]bool),
		peers:     make(map[ID]*peer),
	}
	r.record.Self = config.Self.ID
	r.serial = 1
	r.entrySerial = 1
	r.unsavedSince = now
	r.resetElectionTimer(now)
	return r
}

// SetSeeds replaces the addresses at which other control instances may be.
func (r *Replica) SetSeeds(seeds []netip.AddrPort) { r.config.Seeds = seeds }

// Self returns this control instance.
func (r *Replica) Self() Node { return r.config.Self }

// Term returns the term that the replica is in.
func (r *Replica) Term() uint64 { return r.record.Term }

// Leading reports whether this replica is the leader and has had its term
// confirmed by a majority.
func (r *Replica) Leading() bool {
	return r.role == roleLeader && r.committed.Term == r.record.Term && r.committed.Index >= r.termStartIndex
}

// Leader returns the leader, if one is known.
func (r *Replica) Leader() (Node, bool) {
	if r.role == roleLeader {
		return r.config.Self, true
	}
	return r.leader, r.leader.ID != 0
}

// Committed returns the last entry that is known to be on the disks of a
// majority.
func (r *Replica) Committed() Entry { return r.committed }

// Voters returns the voters of the newest entry held here.
func (r *Replica) Voters() []Node { return r.record.Entry.Voters }

// Pending reports whether an entry of this leader is not committed yet.
func (r *Replica) Pending() bool {
	return r.committed.Term != r.record.Entry.Term || r.committed.Index != r.record.Entry.Index
}

// LastContact returns when this replica was last in touch with a majority, or with
// a leader that was.
func (r *Replica) LastContact(now time.Time) time.Time {
	if r.role != roleLeader {
		return r.lastHeartbeat
	}
	if len(r.record.Entry.Voters) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(r.record.Entry.Voters))
	for _, voter := range r.record.Entry.Voters {
		at := now
		if voter.ID != r.config.Self.ID {
			at = time.Time{}
			if p := r.peers[voter.ID]; p != nil {
				at = p.lastContact
			}
		}
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority(len(times))-1]
}

// Nodes returns the control instances known to be there, this one included.
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

func (r *Replica) isVoter(id ID) bool {
	return slices.ContainsFunc(r.record.Entry.Voters, func(n Node) bool { return n.ID == id })
}

// Unsaved returns what has to be put on disk, with its serial; ok is false if
// the disk holds it.
func (r *Replica) Unsaved() (record Record, serial uint64, ok bool) {
	return r.record, r.serial, r.serial != r.savedSerial
}

// MarkSaved notes that the record with a serial is on disk.
func (r *Replica) MarkSaved(serial uint64, now time.Time) {
	r.savedSerial = max(r.savedSerial, serial)
	if r.savedSerial != r.serial {
		r.unsavedSince = now
	}
	r.maybeCommit(now)
}

// markChanged notes that the record has to be saved.
func (r *Replica) markChanged(now time.Time) {
	if r.savedSerial == r.serial {
		r.unsavedSince = now
	}
	r.record.Committed = r.committed
	r.serial++
}

// setCommitted notes that an entry is on the disks of a majority.
func (r *Replica) setCommitted(entry Entry, now time.Time) {
	r.committed = entry
	r.committedAt = now
}

// sendWhenSaved queues a message until what it promises is on disk.
func (r *Replica) sendWhenSaved(to Node, message Message) {
	message.From = r.config.Self
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

// sendNow queues a message that promises nothing about the disk.
func (r *Replica) sendNow(to Node, message Message) {
	r.sendWhenSaved(to, message)
	r.outbox[len(r.outbox)-1].serial = 0
}

// TakeMessages returns the messages that may leave now.
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

// Tick advances the replica's timers.
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
		r.becomeLeader(now) // The only voter.
	}
	if r.record.Committed.Index != r.committed.Index && now.Sub(r.committedAt) >= commitSaveDelay {
		r.markChanged(now)
	}
}

func (r *Replica) resetElectionTimer(now time.Time) {
	minimum, jitter := minElectionTimeout, electionJitter
	if r.lastHeartbeat.IsZero() {
		minimum, jitter = minFirstElectionTimeout, firstElectionJitter
	}
	r.electionDeadline = now.Add(minimum + time.Duration(r.config.Random.IntN(int(jitter))))
}

// sendHello looks for a leader at every address known.
func (r *Replica) sendHello(now time.Time) {
	r.lastHello = now
	addresses := make(map[netip.AddrPort]bool)
	for _, seed := range r.config.Seeds {
		addresses[seed] = true
	}
	for _, node := range r.record.Entry.Voters {
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
