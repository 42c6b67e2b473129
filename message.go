package zinniafront

import (
	"net/netip"
	"time"
)

// Message is one message between instances.
type Message interface {
	// Kind returns the type of the message, on the wire and in counters.
	Kind() MessageKind
}

// MessageKind identifies a type of message.
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
	// Sequence increases with every envelope of one incarnation; the codec
	// sets it.
	Sequence uint64
	To       InstanceName
	// Address is where To listens; it is not part of the datagram.
	Address netip.AddrPort
	Message Message
}

// Heartbeat announces that an instance is alive and which state it holds.
type Heartbeat struct {
	Centre  CentreName
	Control netip.AddrPort
	Relay   netip.AddrPort
	// Beat is the number of the sender's round of heartbeats. Echo is the last
	// Beat that the sender received from the receiver, in its incarnation
	// EchoIncarnation.
	Beat            uint64
	Echo            uint64
	EchoIncarnation uint64
	// State is the sequence of the control state in force.
	State uint64
	// SlotDigests holds, per service, the digest of the slot table.
	SlotDigests []SlotDigest
	// Servers holds the announcements received since the last heartbeat that
	// may be new to the receiver. ServerHeartbeats stands for the others.
	Servers          []Announcement
	ServerHeartbeats []ServerHeartbeat
	// Members holds the addresses of instances that may be new to the receiver.
	Members []netip.AddrPort
	// NeedsAnnouncements is set if the sender received the ServerHeartbeat of a
	// backend server whose Announcement it doesn't have. It requests the
	// Announcements of all backend servers.
	NeedsAnnouncements bool
	// Ready is false while the instance starts or stops.
	Ready bool
}

// ServerHeartbeat is sent between instances in place of an Announcement whose
// addresses, service, data centre and capacity are unchanged.
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
	// Base serves the flows of the slot that no instance has a flow row for.
	Base ServerName
	// Active receives the slot's new flows.
	Active ServerName
	// Next becomes Active once every live instance has acknowledged the row.
	Next ServerName
	// Moved is set if the slot may have flows on servers other than Base.
	Moved bool
	// Version is a Lamport clock, Writer the hash of the writing instance's
	// name.
	Version uint32
	Writer  uint32
}

// SlotRows carries rows of one service's slot table.
type SlotRows struct {
	Service ServiceName
	Rows    []SlotRow
	// Round identifies the coordinator's change that the receiver has to
	// acknowledge; 0 requests no acknowledgement.
	Round uint64
}

// SlotAck acknowledges a round of slot rows, or replies to a SlotAsk.
type SlotAck struct {
	Service ServiceName
	Round   uint64
	// Busy lists the queried slots that still have flows on servers other than
	// Active.
	Busy []uint16
}

// SlotAsk queries which of the slots still have flows on servers other than
// Active. The reply is a SlotAck.
type SlotAsk struct {
	Service ServiceName
	Round   uint64
	Slots   []uint16
}

// SlotPull requests all rows of one service's slot table.
type SlotPull struct {
	Service ServiceName
}

// FlowRow maps a flow to its backend server.
type FlowRow struct {
	Hash   uint64
	Server ServerName
	// Service is the flow's service.
	Service ServiceName
	// Version is that of the slot row under which the flow was assigned to the
	// server, or 0 if it is not known. The flow row with the higher one wins.
	Version uint32
	// Age is the time since the flow's owner confirmed the server.
	Age time.Duration
	// Tentative is set if the sender predicted the server from its own slot
	// table; a row of the owner takes precedence.
	Tentative bool
}

// FlowRows carries flow rows to the owner of the flows or its backup, or from
// the owner to an instance that relayed a packet.
type FlowRows struct {
	Rows []FlowRow
	// Batch identifies a batch of a handover that the receiver has to
	// acknowledge; 0 requests no acknowledgement.
	Batch uint64
	// View is the digest of the membership that the handover is for.
	View uint64
	// Last marks the sender's last batch for this view.
	Last bool
}

// FlowAck acknowledges a batch of flow rows.
type FlowAck struct {
	Batch uint64
}

// Leave announces that an instance has completed its planned stop and leaves the
// membership.
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
