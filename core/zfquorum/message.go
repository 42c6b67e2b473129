package zfquorum

import (
	"net/netip"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
)

// ID identifies the disk of a control instance. A disk that was lost takes its
// ID with it.
type ID uint64

// Node is one control instance.
type Node struct {
	ID ID
	// Address takes messages of other instances.
	Address netip.AddrPort
	Centre  zf.CentreName
}

// Entry is one version of the replicated state. It replaces every earlier one.
type Entry struct {
	// Term is that of the leader who wrote the entry. Index grows by one with
	// each entry of the history that a majority has.
	Term  uint64
	Index uint64
	// Voters decide on this entry and those that follow.
	Voters []Node
	State  zfcontrol.State
}

// newer reports whether the entry with term and index replaces the other.
func newer(term, index, otherTerm, otherIndex uint64) bool {
	return term > otherTerm || term == otherTerm && index > otherIndex
}

// Record is what a control instance keeps on its disk.
type Record struct {
	Self ID
	// Term is the latest one heard of, Vote whom this instance voted for in it.
	Term  uint64
	Vote  ID
	Entry Entry
	// Committed is an entry that a majority had on disk. It may be older than the
	// newest such entry, as it is not saved for its own sake during changes.
	Committed Entry
}

// Kind tells what a message is for.
type Kind uint8

// The kinds of message.
const (
	// KindHello looks for the other control instances; KindNodes answers it.
	KindHello Kind = iota + 1
	KindNodes
	// KindPreVote asks whether a vote would be granted, without asking for it.
	KindPreVote
	KindPreVoteReply
	KindVote
	KindVoteReply
	// KindAppend is the leader's heartbeat, with an entry if the receiver lacks
	// it.
	KindAppend
	KindAppendReply
	// KindTimeoutNow asks a voter to take the lead over.
	KindTimeoutNow
)

// Message is one message between control instances.
type Message struct {
	Kind Kind
	From Node
	// To is the disk that the message is for, or 0 for whoever is at Address.
	To      ID
	Address netip.AddrPort
	Term    uint64
	// LastTerm and LastIndex are those of the sender's entry.
	LastTerm  uint64
	LastIndex uint64
	Entry     *Entry
	// Commit is the index up to which a majority has the leader's entries.
	Commit uint64
	// Round numbers the leader's heartbeats; a reply repeats it.
	Round   uint64
	Granted bool
	// Nodes are the control instances that the sender knows.
	Nodes []Node
}
