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
	// heartbeatEvery is the time between two heartbeats of the leader.
	heartbeatEvery = 200 * time.Millisecond
	// electionLeast and electionSpread bound the silence after which a voter
	// stands for election; four heartbeats may get lost.
	electionLeast  = 900 * time.Millisecond
	electionSpread = 600 * time.Millisecond
	// startLeast and startSpread bound the election timeouts of a process that
	// has not heard a leader yet: after a power loss there is none to wait for,
	// and where there is one, its followers grant no vote.
	startLeast  = 40 * time.Millisecond
	startSpread = 160 * time.Millisecond
	// contactTimeout is the silence after which a node no longer counts as
	// reached. A leader that doesn't reach a majority steps down.
	contactTimeout = 1000 * time.Millisecond
	// resendAfter is the time after which an entry is sent again.
	resendAfter = 400 * time.Millisecond
	// helloEvery is the time between two attempts to find a leader.
	helloEvery = 400 * time.Millisecond
	// saveTimeout is the longest time that a leader's disk may take.
	saveTimeout = 1500 * time.Millisecond
	// replaceAfter is the silence after which a voter gives its place to an
	// instance that is there.
	replaceAfter = 6 * time.Second
	// forgetAfter is the silence after which a node without a vote is forgotten.
	forgetAfter = 20 * time.Second
	// settleAfter is the time without changes after which it is put on disk that
	// the last one is committed: a few changes of a storm, so that storms are not
	// slowed down.
	settleAfter = time.Second
)

// role is what a replica does in its term.
type role uint8

const (
	roleFollower role = iota
	roleProber
	roleCandidate
	roleLeader
)

// peer is the row of another control instance.
type peer struct {
	Node
	heard time.Time
	// term and index are those of the entry that the peer has on disk.
	term  uint64
	index uint64
	// round is the last heartbeat that the peer answered.
	round uint64
	// sent is when an entry was last sent, and sentIndex which one.
	sent      time.Time
	sentTerm  uint64
	sentIndex uint64
}

// held is a message that may leave once a record is on disk.
type held struct {
	serial  uint64
	message Message
}

// Replica is one control instance's part in the replication. It belongs to the
// control goroutine.
type Replica struct {
	config Config
	record Record
	// serial numbers the changes of record, saved is the last one on disk.
	serial    uint64
	saved     uint64
	unsaved   time.Time
	entryFrom uint64
	role      role
	leader    Node
	heard     time.Time
	deadline  time.Time
	hello     time.Time
	beat      time.Time
	votes     map[ID]bool
	peers     map[ID]*peer
	known     []Node
	round     uint64
	committed Entry
	// committedAt is when committed became known.
	committedAt time.Time
	// ledFrom is the index of the first entry of this leader's own term.
	ledFrom uint64
	outbox  []held
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
	r.entryFrom = 1
	r.unsaved = now
	r.restartTimer(now)
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
	return r.role == roleLeader && r.committed.Term == r.record.Term && r.committed.Index >= r.ledFrom
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
		return r.heard
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
				at = p.heard
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
		for _, node := range r.known {
			if node.ID != r.config.Self.ID {
				nodes = append(nodes, node)
			}
		}
		return nodes
	}
	for _, p := range r.peers {
		if now.Sub(p.heard) < forgetAfter {
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
	return r.record, r.serial, r.serial != r.saved
}

// MarkSaved notes that the record with a serial is on disk.
func (r *Replica) MarkSaved(serial uint64, now time.Time) {
	r.saved = max(r.saved, serial)
	if r.saved != r.serial {
		r.unsaved = now
	}
	r.commit(now)
}

// changed notes that the record has to be saved.
func (r *Replica) changed(now time.Time) {
	if r.saved == r.serial {
		r.unsaved = now
	}
	r.record.Committed = r.committed
	r.serial++
}

// settle notes that an entry is on the disks of a majority.
func (r *Replica) settle(entry Entry, now time.Time) {
	r.committed = entry
	r.committedAt = now
}

// send queues a message until what it promises is on disk.
func (r *Replica) send(to Node, message Message) {
	message.From = r.config.Self
	message.To = to.ID
	message.Address = to.Address
	message.Term = r.record.Term
	message.LastTerm = r.record.Entry.Term
	message.LastIndex = r.record.Entry.Index
	r.outbox = append(r.outbox, held{
		serial:  r.serial,
		message: message,
	})
}

// sendNow queues a message that promises nothing about the disk.
func (r *Replica) sendNow(to Node, message Message) {
	r.send(to, message)
	r.outbox[len(r.outbox)-1].serial = 0
}

// TakeMessages returns the messages that may leave now.
func (r *Replica) TakeMessages() []Message {
	if len(r.outbox) == 0 {
		return nil
	}
	messages := make([]Message, 0, len(r.outbox))
	r.outbox = slices.DeleteFunc(r.outbox, func(h held) bool {
		if h.serial > r.saved {
			return false
		}
		messages = append(messages, h.message)
		return true
	})
	return messages
}

// Tick advances the replica's timers.
func (r *Replica) Tick(now time.Time) {
	switch {
	case r.role == roleLeader:
		r.lead(now)
	case now.Sub(r.heard) >= 2*heartbeatEvery && now.Sub(r.hello) >= helloEvery:
		r.sayHello(now)
	}
	if r.role != roleLeader && now.Sub(r.heard) >= contactTimeout {
		r.leader = Node{}
	}
	if r.role != roleLeader && !now.Before(r.deadline) {
		r.restartTimer(now)
		r.probe(now)
	}
	if r.role == roleCandidate && r.serial == r.saved && r.elected() {
		r.takeLead(now) // The only voter.
	}
	if r.record.Committed.Index != r.committed.Index && now.Sub(r.committedAt) >= settleAfter {
		r.changed(now)
	}
}

func (r *Replica) restartTimer(now time.Time) {
	least, spread := electionLeast, electionSpread
	if r.heard.IsZero() {
		least, spread = startLeast, startSpread
	}
	r.deadline = now.Add(least + time.Duration(r.config.Random.IntN(int(spread))))
}

// sayHello looks for a leader at every address known.
func (r *Replica) sayHello(now time.Time) {
	r.hello = now
	addresses := make(map[netip.AddrPort]bool)
	for _, seed := range r.config.Seeds {
		addresses[seed] = true
	}
	for _, node := range r.record.Entry.Voters {
		addresses[node.Address] = true
	}
	for _, node := range r.known {
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
