package zinniafront

import (
	"net/netip"
	"time"
)

// Message is one message between instances.
type Message interface {
	// Kind names the message's type on the wire and in counters.
	Kind() MessageKind
}

// MessageKind names a type of message.
type MessageKind uint8

// The kinds of message.
const (
	MessageHeartbeat MessageKind = iota + 1
	MessageSlotRows
	MessageSlotAck
	MessageSlotAsk
	MessageSlotPull
	MessageFlowRows
	MessageFlowAck
	MessageLeave
)

// Envelope is a message with its sender and its receiver.
type Envelope struct {
	From        InstanceName
	Incarnation uint64
	// Sequence grows with every envelope of one incarnation; the edge sets it.
	Sequence uint64
	To       InstanceName
	// Address is where To listens; it is not part of the datagram.
	Address netip.AddrPort
	Message Message
}

// Heartbeat tells that an instance lives and what it holds.
type Heartbeat struct {
	Centre  CentreName
	Control netip.AddrPort
	Relay   netip.AddrPort
	// Beat numbers the sender's rounds of heartbeats. Echo is the last Beat
	// that the sender heard of the receiver's incarnation EchoIncarnation.
	Beat            uint64
	Echo            uint64
	EchoIncarnation uint64
	// State is the sequence of the control state in force.
	State uint64
	// Slots holds, per service, the digest of the slot table.
	Slots []SlotDigest
	// Servers holds the announcements heard since the last heartbeat that the
	// receiver may not know, ServerHeartbeats tells of those that only repeat.
	Servers          []Announcement
	ServerHeartbeats []ServerHeartbeat
	// Members holds the addresses of instances that the receiver may not know.
	Members []netip.AddrPort
	// NeedsAnnouncements tells that the sender heard of a backend server by a short
	// announcement only, and wants the whole ones.
	NeedsAnnouncements bool
	// Ready is false while the instance starts or stops.
	Ready bool
}

// ServerHeartbeat tells that a backend server announced itself at the same place.
type ServerHeartbeat struct {
	Server   ServerName
	State    ServerState
	Sequence uint64
	Load     float64
}

// SlotDigest identifies the contents of one service's slot table.
type SlotDigest struct {
	Service ServiceName
	Digest  uint64
}

// SlotRow is the replicated state of one slot. The row with the higher
// Version wins, then the one with the higher Writer.
type SlotRow struct {
	Slot uint16
	// Base has every flow of the slot that no instance knows otherwise.
	Base ServerName
	// Active takes the slot's new flows.
	Active ServerName
	// Next becomes Active once every live instance has acknowledged the row.
	Next ServerName
	// Moved tells that the slot may have flows with other servers than Base.
	Moved bool
	// Version is a Lamport clock, Writer the hash of the name that wrote it.
	Version uint32
	Writer  uint32
}

// SlotRows carries rows of one service's slot table.
type SlotRows struct {
	Service ServiceName
	Rows    []SlotRow
	// Round numbers the coordinator's change that is to be acknowledged; 0
	// wants no acknowledgement.
	Round uint64
}

// SlotAck acknowledges a round of slot rows, or answers a SlotAsk.
type SlotAck struct {
	Service ServiceName
	Round   uint64
	// Busy lists the asked slots that still have flows away from Active.
	Busy []uint16
}

// SlotAsk asks which of the slots still have flows with another server than
// Active. It is answered by a SlotAck.
type SlotAsk struct {
	Service ServiceName
	Round   uint64
	Slots   []uint16
}

// SlotPull asks for all rows of one service's slot table.
type SlotPull struct {
	Service ServiceName
}

// FlowRow tells which server has a flow.
type FlowRow struct {
	Hash   uint64
	Server ServerName
	// Service is the flow's service.
	Service ServiceName
	// Version is that of the slot row under which the flow got its server, 0
	// if nobody knew; the row with the higher one wins.
	Version uint32
	// Age is the time since the flow's owner confirmed the server.
	Age time.Duration
	// Tentative tells that the sender predicted the server from its own slot
	// table; a row of the owner's goes first.
	Tentative bool
}

// FlowRows carries flows to their owner, or from the owner to an instance
// that asked by relaying a packet.
type FlowRows struct {
	Rows []FlowRow
	// Batch numbers a handover to be acknowledged; 0 wants none.
	Batch uint64
	// View is the digest of the membership for which this is a handover.
	View uint64
	// Last tells that the sender has no more rows for this view.
	Last bool
}

// FlowAck acknowledges a batch of flow rows.
type FlowAck struct {
	Batch uint64
}

// Leave tells that an instance stops on purpose.
type Leave struct{}

// Kind implements Message.
func (Heartbeat) Kind() MessageKind { return MessageHeartbeat }

// Kind implements Message.
func (SlotRows) Kind() MessageKind { return MessageSlotRows }

// Kind implements Message.
func (SlotAck) Kind() MessageKind { return MessageSlotAck }

// Kind implements Message.
func (SlotAsk) Kind() MessageKind { return MessageSlotAsk }

// Kind implements Message.
func (SlotPull) Kind() MessageKind { return MessageSlotPull }

// Kind implements Message.
func (FlowRows) Kind() MessageKind { return MessageFlowRows }

// Kind implements Message.
func (FlowAck) Kind() MessageKind { return MessageFlowAck }

// Kind implements Message.
func (Leave) Kind() MessageKind { return MessageLeave }

// String returns the kind's name in counters.
func (k MessageKind) String() string {
	switch k {
	case MessageHeartbeat:
		return "heartbeat"
	case MessageSlotRows:
		return "slotrows"
	case MessageSlotAck:
		return "slotack"
	case MessageSlotAsk:
		return "slotask"
	case MessageSlotPull:
		return "slotpull"
	case MessageFlowRows:
		return "flowrows"
	case MessageFlowAck:
		return "flowack"
	case MessageLeave:
		return "leave"
	default:
		return "unknown"
	}
}
