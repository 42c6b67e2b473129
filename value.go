package zinniafront

import (
	"net/netip"
	"time"
)

// InstanceName names one instance of the system, unique in a deployment.
type InstanceName string

// ServerName names one backend server, unique in a deployment.
type ServerName string

// ServiceName names one service of a bundle.
type ServiceName string

// CentreName names one data centre of a bundle.
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

// Flow identifies one flow by its five-tuple, source being the caller.
type Flow struct {
	Protocol    Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// PacketKind tells what a packet does to its flow.
type PacketKind uint8

// The kinds of packet.
const (
	// PacketMidFlow belongs to an established flow or tells nothing of it.
	PacketMidFlow PacketKind = iota
	// PacketOpening is the first packet of a flow (TCP SYN without ACK).
	PacketOpening
	// PacketClosing is a TCP FIN.
	PacketClosing
	// PacketReset is a TCP RST.
	PacketReset
)

// Packet is what a decision needs to know of one IP packet.
type Packet struct {
	Flow Flow
	Kind PacketKind
	// Relay is the address of the instance that handed the packet over, or the
	// zero value. A relayed packet is never relayed again.
	Relay netip.AddrPort
	// Cookie names the backend server of the packet's flow where packets carry
	// one, or is NoCookie.
	Cookie Cookie
	// Retransmissions counts the copies of an opening packet; the first packet has 0.
	Retransmissions int
	// Sequence is the sequence number of the packet's first byte.
	Sequence uint32
	// Acknowledged is the last sequence number that the caller acknowledged.
	Acknowledged uint32
	// PayloadSize is the number of payload bytes.
	PayloadSize int
}

// Cookie is a mark that a flow's packets carry both ways. It names the backend
// server to any instance, so that none has to remember the flow.
type Cookie uint32

// NoCookie marks a packet that carries no cookie.
const NoCookie Cookie = 0

// Action is what happens to a packet.
type Action uint8

// The actions of a verdict.
const (
	ActionDrop Action = iota
	ActionForward
	ActionRelay
	// ActionReset tells the caller that its flow can't go on.
	ActionReset
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	// To is the address of the backend server or of the other instance.
	To netip.AddrPort
	// Server is the backend server of a forwarded packet.
	Server ServerID
	// Number is the backend server's Announcement.Number.
	Number uint64
	// Cookie is what a forwarded packet is to carry.
	Cookie Cookie
	// Reason tells why a packet is dropped, relayed or reset.
	Reason Reason
}

// ServerState is the state of a backend server as the system sees it.
type ServerState uint8

// The states of a backend server.
const (
	// ServerCold has started lately and bears only a part of its load.
	ServerCold ServerState = iota
	// ServerWarm bears its full capacity.
	ServerWarm
	// ServerDraining keeps its flows and gets no new work.
	ServerDraining
	// ServerSilent has not announced itself lately; it is treated as draining.
	ServerSilent
	// ServerGone has been silent for so long that its flows are given up.
	ServerGone
)

// String returns the state's name as announcements and reports write it.
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

// Capacity is what one backend server bears.
type Capacity struct {
	// Slots is the number of requests that it works on at the same time.
	Slots int
	// Connections is the number of flows that it holds.
	Connections int
}

// Announcement is what a backend server tells of itself.
type Announcement struct {
	Server  ServerName
	Service ServiceName
	Centre  CentreName
	// Address takes encapsulated packets, Web takes requests.
	Address netip.AddrPort
	Web     netip.AddrPort
	// Capacity is what the backend server bears once it is warm.
	Capacity Capacity
	// State is ServerCold, ServerWarm or ServerDraining.
	State ServerState
	// Load is the reported share of capacity in use, from 0 to 1.
	Load float64
	// Sequence grows with every announcement of one server, across restarts
	// unless Born tells restarts apart.
	Sequence uint64
	// Born is when the backend server started, by its own clock; the zero value
	// where announcements don't tell.
	Born time.Time
	// Cold is how long the backend server stays cold.
	Cold time.Duration
	// Number is what datagrams name the backend server by, or 0.
	Number uint64
}

// ServerIncarnation identifies one life of a backend server, as a key of tables.
type ServerIncarnation struct {
	Server ServerName
	// born is in Unix milliseconds, so that equal times are equal keys.
	born int64
}

// NewServerIncarnation returns the life of a backend server that began at born.
func NewServerIncarnation(server ServerName, born time.Time) ServerIncarnation {
	return ServerIncarnation{
		Server: server,
		born:   born.UnixMilli(),
	}
}

// Born returns when the life began.
func (l ServerIncarnation) Born() time.Time { return time.UnixMilli(l.born) }

// Outcome counts what became of requests to one life of a backend server.
type Outcome struct {
	Server ServerName
	Born   time.Time
	// Answered had an answer in time. Unanswered had none when the caller gave up,
	// or for so long that it soon will.
	Answered   int
	Unanswered int
}

// ServerLoad counts requests to the backend server of a cookie.
type ServerLoad struct {
	Cookie   Cookie
	Requests int
}

// Candidate is one backend server that may take a request.
type Candidate struct {
	Server ServerID
	// Free is the number of slots that may still be taken.
	Free int
	// Load is the reported share of capacity in use, from 0 to 1.
	Load float64
}

// MemberView is one live instance as the mapper sees it.
type MemberView struct {
	Name        InstanceName
	Centre      CentreName
	Relay       netip.AddrPort
	Control     netip.AddrPort
	Incarnation uint64
	// Leased tells that the instance has lately confirmed to hear this one.
	Leased bool
	// Recent tells that the instance has been heard within a few heartbeats.
	Recent bool
	// Ready is false while the instance starts or stops.
	Ready bool
	// Slots holds the digests of the slot tables that the instance reported.
	Slots []SlotDigest
}

// ServerView is one backend server as the mapper sees it.
type ServerView struct {
	ID      ServerID
	Name    ServerName
	Service ServiceName
	Centre  CentreName
	Address netip.AddrPort
	State   ServerState
	// Weight is the share of new flows that the server may get relative to
	// the others of its service; 0 means none.
	Weight float64
	// Allowed is false while the server's data centre is taken out.
	Allowed bool
	// Born and Number are those of the announcement.
	Born   time.Time
	Number uint64
	// Proven tells that a ServerGone server can't be alive.
	Proven bool
	// Late tells that heartbeats are overdue that could have come.
	Late bool
	// Suspect tells that lately too many requests to the server got no answer.
	Suspect bool
	// OpeningRate bounds the new flows a second that this instance may send to
	// the server while it is cold; 0 is no bound.
	OpeningRate float64
}

// ServiceView is one service as the mapper sees it.
type ServiceView struct {
	Name      ServiceName
	Protocol  Protocol
	Addresses []netip.AddrPort
	// Idle is the time after which a flow without packets is forgotten.
	Idle time.Duration
	// Slots is the size of the service's slot table, a power of two.
	Slots int
}

// RouteView is one address that callers open flows to.
type RouteView struct {
	Address netip.AddrPort
	Targets []RouteTarget
}

// RouteTarget is a service with its share of a route's new flows.
type RouteTarget struct {
	Service ServiceName
	// Weight is relative to the other targets of the route.
	Weight int
}

// View is the state that a mapper reads at a tick. Slices are sorted by name
// and must not be changed.
type View struct {
	Self InstanceName
	// Centre is the data centre of Self.
	Centre CentreName
	// RoutesKnown tells that Routes are known; before, no packet can be judged.
	RoutesKnown bool
	Routes      []RouteView
	Members     []MemberView
	Servers     []ServerView
	Services    []ServiceView
	// Revision changes whenever anything else in the view does.
	Revision uint64
}

// MapperStats counts what one mapper holds and did since its start.
type MapperStats struct {
	// Flows and FlowBytes are the rows of the flow table and their memory.
	Flows     int
	FlowBytes int
	// UnplacedSlots have no backend server, UnsettledSlots may have flows with several servers, PendingSlots wait
	// for acknowledgements.
	UnplacedSlots  int
	UnsettledSlots int
	PendingSlots   int
	// HandoverRows, HintsSent and HintsDeferred count rows of flows sent to
	// owners, sent to relaying instances, and held back by the byte budget.
	HandoverRows  int
	HintsSent     int
	HintsDeferred int
	// Settles counts slots that became settled again.
	Settles int
}
