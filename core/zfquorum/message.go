package zfquorum

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
)

// ID identifies a control instance by its disk. An instance whose disk was lost
// gets a new ID.
type ID uint64

// Node is one control instance.
type Node struct {
	ID ID
	// Address receives the messages of other instances.
	Address netip.AddrPort
	Centre  zf.CentreName
	// Joined is the index of the entry with which the instance joined, or 0 for those of
	// the first start. It tells successors from the instances that they replace.
	Joined uint64
}

// Entry is one version of the replicated state. It replaces all earlier entries.
type Entry struct {
	// Term is the term of the leader that wrote the entry. Index is one higher
	// than that of the entry it replaces.
	Term  uint64
	Index uint64
	// Voters are the voting members for this entry and the entries after it.
	Voters []Node
	// OldVoters are the earlier voters while one is replaced by another: majorities of
	// both are needed then, as in Raft's joint consensus.
	OldVoters []Node
	State     zfcontrol.State
}

// voterSets returns the sets of voters of which a majority each is needed.
func (e *Entry) voterSets() [][]Node {
	if len(e.OldVoters) == 0 {
		return [][]Node{e.Voters}
	}
	return [][]Node{e.Voters, e.OldVoters}
}

// allVoters returns the voters of all sets, each once.
func (e *Entry) allVoters() []Node {
	if len(e.OldVoters) == 0 {
		return e.Voters
	}
	all := slices.Clone(e.Voters)
	for _, voter := range e.OldVoters {
		if !containsNode(all, voter.ID) {
			all = append(all, voter)
		}
	}
	return all
}

// hasMajority reports whether agrees is true for a majority of each set of voters.
func (e *Entry) hasMajority(agrees func(ID) bool) bool {
	for _, voters := range e.voterSets() {
		count := 0
		for _, voter := range voters {
			if agrees(voter.ID) {
				count++
			}
		}
		if count < majority(len(voters)) {
			return false
		}
	}
	return true
}

// newer reports whether the entry at term and index replaces the other entry.
func newer(term, index, otherTerm, otherIndex uint64) bool {
	return term > otherTerm || term == otherTerm && index > otherIndex
}

// Record is the durable state of a control instance.
type Record struct {
	Self   ID
	Joined uint64
	// Term is the highest term seen. Vote is the candidate that this instance
	// voted for in that term, or 0.
	Term  uint64
	Vote  ID
	Entry Entry
	// Committed is an entry known to be committed. It may be older than the last
	// committed entry: it is saved with the next change of the record, or
	// commitSaveDelay after the commit.
	Committed Entry
}

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	// KindHello discovers the leader and the other control instances. A leader
	// replies with KindAppend, any other replica with KindNodes.
	KindHello Kind = iota + 1
	KindNodes
	// KindPreVote asks whether the receiver would grant a vote, without
	// requesting one.
	KindPreVote
	KindPreVoteReply
	KindVote
	KindVoteReply
	// KindAppend is the leader's heartbeat. It carries the newest entry if the
	// receiver lacks it.
	KindAppend
	KindAppendReply
	// KindTimeoutNow asks a voter to start an election at once, so that
	// leadership is transferred to it.
	KindTimeoutNow
)

// Message is one message between control instances.
type Message struct {
	Kind Kind
	From Node
	// To is the ID of the receiver, or 0 for any instance at Address.
	To      ID
	Address netip.AddrPort
	Term    uint64
	// LastTerm and LastIndex identify the sender's newest entry.
	LastTerm  uint64
	LastIndex uint64
	Entry     *Entry
	// Commit is the index up to which the entries of the leader's term are
	// committed.
	Commit uint64
	// Round numbers the leader's heartbeats. In a pre-vote it is the term of the
	// intended election. Replies repeat it.
	Round uint64
	// Granted is the answer to a pre-vote or a vote.
	Granted bool
	// Nodes are the control instances known to the sender.
	Nodes []Node
	// Stopping is set once the sender has begun a planned stop.
	Stopping bool
	// Silences are those of the voters that a leader doesn't reach, so that the next
	// leader knows them.
	Silences []Silence
}

// Silence is the time since the last contact with a control instance.
type Silence struct {
	ID       ID
	Duration time.Duration
}
