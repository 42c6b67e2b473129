package zinniafront

import (
	"net/netip"
	"time"
)

// InstanceName identifies one instance of the system, unique in a deployment.
type InstanceName string

// ServerName identifies one backend server, unique in a deployment.
type ServerName string

// ServiceName identifies one service of a bundle.
type ServiceName string

// CentreName identifies one data centre of a bundle.
type CentreName string

// ServerID is the row of a backend server in one instance's table. It is
// stable for the life of the process and has no meaning outside it.
type ServerID uint32

// NoServer is the ServerID of no backend server.
const NoServer ServerID = 1<<32 - 1

// Protocol is an IP protocol number.
type Protocol uint8

// The protocols that services may use, by their IANA numbers.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// String returns the protocol's usual name.
func (p Protocol) String() string {
	switch p {
	case ProtocolTCP:
		return "tcp"
	case ProtocolUDP:
		return "udp"
	default:
		return "unknown"
	}
}

// Flow identifies one flow by its five-tuple; Source is the caller.
type Flow struct {
	Protocol    Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// PacketKind is the effect of a packet on its flow.
type PacketKind uint8

// The kinds of packet.
const (
	// PacketMidFlow neither opens nor ends a flow, or its kind is not known.
	PacketMidFlow PacketKind = iota
	// PacketOpening is the first packet of a flow (TCP SYN without ACK).
	PacketOpening
	// PacketClosing is a TCP FIN.
	PacketClosing
	// PacketReset is a TCP RST.
	PacketReset
)

// Packet holds the properties of one IP packet that routing depends on.
type Packet struct {
	Flow Flow
	Kind PacketKind
	// Relay is the address of the instance that relayed the packet, or the
	// zero value. A relayed packet is never relayed again.
	Relay netip.AddrPort
	// Cookie identifies the backend server of the packet's flow, or is
	// NoCookie where packets carry none.
	Cookie Cookie
	// Retransmissions is the number of times that an opening packet was sent
	// before; the first packet has 0.
	Retransmissions int
	// Sequence is the sequence number of the packet's first byte.
	Sequence uint32
	// Acknowledged is the last sequence number that the caller acknowledged.
	Acknowledged uint32
	// PayloadSize is the number of payload bytes.
	PayloadSize int
}

// Cookie is a tag that a flow's packets carry in both directions. Any instance
// can derive the backend server from it, so none has to store the flow.
type Cookie uint32

// NoCookie is the Cookie of a packet that carries none.
const NoCookie Cookie = 0

// Action is what happens to a packet.
type Action uint8

// The actions of a verdict.
const (
	ActionDrop Action = iota
	ActionForward
	ActionRelay
	// ActionReset resets the flow at the caller, since it can't continue.
	ActionReset
)

// String returns the action's name in output.
func (a Action) String() string {
	switch a {
	case ActionDrop:
		return "drop"
	case ActionForward:
		return "forward"
	case ActionRelay:
		return "relay"
	case ActionReset:
		return "reset"
	default:
		return "unknown"
	}
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	// To is the address of the backend server or of the other instance.
	To netip.AddrPort
	// Server is the backend server of a forwarded packet.
	Server ServerID
	// Number is the Announcement.Number of the backend server, or of the one whose
	// flow is reset; 0 if there is none.
	Number uint64
	// Previous is the number of another backend server that this instance forwarded an
	// earlier packet of the open flow to, or 0.
	Previous uint64
	// Cookie is the cookie that a forwarded packet has to carry.
	Cookie Cookie
	// Reason is why a packet is dropped, relayed or reset.
	Reason Reason
}

// EndedFlow is an open flow that an instance ends without a packet to answer.
type EndedFlow struct {
	// Last is the last packet of the flow.
	Last Packet
	// Number is the Announcement.Number of the flow's backend server.
	Number uint64
	Reason Reason
}

// ServerState is the state of a backend server, as it reports itself or as one
// instance sees it.
type ServerState uint8

// The states of a backend server.
const (
	// ServerCold has started recently and sustains only a part of its capacity.
	ServerCold ServerState = iota
	// ServerWarm sustains its full capacity.
	ServerWarm
	// ServerDraining keeps its flows and receives no new work. It takes precedence over
	// ServerSilent.
	ServerDraining
	// ServerSilent has not announced itself recently. It receives no new flows, or
	// only where no other backend server can take them.
	ServerSilent
	// ServerGone has left, was replaced, or has been silent for so long that its
	// flows are abandoned.
	ServerGone
)

// String returns the state's name in announcements and reports.
func (s ServerState) String() string {
	switch s {
	case ServerCold:
		return "cold"
	case ServerWarm:
		return "warm"
	case ServerDraining:
		return "draining"
	case ServerSilent:
		return "silent"
	case ServerGone:
		return "gone"
	default:
		return "unknown"
	}
}

// Capacity is the load that one backend server sustains.
type Capacity struct {
	// Slots is the number of concurrent requests.
	Slots int
	// Connections is the number of concurrent flows.
	Connections int
}

// Announcement is what a backend server reports about itself.
type Announcement struct {
	Server  ServerName
	Service ServiceName
	Centre  CentreName
	// Address receives encapsulated packets, Web receives requests.
	Address netip.AddrPort
	Web     netip.AddrPort
	// Capacity is what the backend server sustains once it is warm.
	Capacity Capacity
	// State is ServerCold, ServerWarm or ServerDraining.
	State ServerState
	// Load is the reported share of capacity in use, from 0 to 1.
	Load float64
	// Sequence increases with every announcement of one server; it continues
	// across restarts unless Born distinguishes them.
	Sequence uint64
	// Born is when the backend server started, by its own clock, or the zero
	// value if announcements don't include it.
	Born time.Time
	// Cold is how long the backend server stays cold.
	Cold time.Duration
	// Number identifies the backend server in datagrams, or is 0.
	Number uint64
}

// ServerIncarnation identifies one run of a backend server, from a start to
// its end. It is a key of tables.
type ServerIncarnation struct {
	Server ServerName
	// born is in Unix milliseconds, so that equal times are equal keys.
	born int64
}

// NewServerIncarnation returns the incarnation of a backend server that started
// at born.
func NewServerIncarnation(server ServerName, born time.Time) ServerIncarnation {
	return ServerIncarnation{
		Server: server,
		born:   born.UnixMilli(),
	}
}

// Born returns when the incarnation started.
func (l ServerIncarnation) Born() time.Time { return time.UnixMilli(l.born) }

// Outcome counts the answered and unanswered requests to one incarnation of a
// backend server.
type Outcome struct {
	Server ServerName
	Born   time.Time
	// Answered requests had an answer in time. Unanswered ones had none when the
	// caller gave up, or for so long that it soon will.
	Answered   int
	Unanswered int
}

// Candidate is one backend server that a request may be assigned to.
type Candidate struct {
	Server ServerID
	// Free is the number of slots not in use.
	Free int
	// Load is the reported share of capacity in use, from 0 to 1.
	Load float64
}
