package zinniafront

import (
	"cmp"
	"net/netip"
	"slices"
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
	// ServerDraining keeps its flows and receives no new work.
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

// ServerLoad is the load of the backend server of a cookie, as entry instances observed
// it in a span of time.
type ServerLoad struct {
	Cookie   Cookie
	Requests int
	// Answers is the number of requests whose answers callers acknowledged, Busy the
	// time that the backend server took for them, with the wait for a slot and without
	// the round trip to the caller.
	Answers int
	Busy    time.Duration
	// Rejected is the number of requests that were answered too soon to have been
	// processed; they are not among Answers.
	Rejected int
	// Bytes is the size of these answers.
	Bytes int
	// Opened is the number of new flows whose callers went on after the opening packet,
	// Unopened of those that did not.
	Opened   int
	Unopened int
}

// OpeningVerdict is what an instance infers from opening packets about new flows to a
// backend server or, if Server is empty, to a data centre.
type OpeningVerdict struct {
	Server ServerName
	Centre CentreName
	// Share is the share of new flows, from 0 to 1, that may go there, besides probes.
	Share float64
	// Callers and Servers are the numbers of callers and of backend servers whose openings
	// led nowhere with none followed since; larger numbers count as 3. Age is that of the
	// last one.
	Callers int
	Servers int
	Age     time.Duration
	// Sample is the number of the backend server's openings in the sums of all instances
	// of the data centre.
	Sample int
	// Timeout is the time after which an opening counts as unopened.
	Timeout time.Duration
}

// ServerUse is the use of a backend server that a new flow may go to.
type ServerUse struct {
	// Total is the load by all entry instances of the data centre, as far as it is known,
	// Own that by this instance, both in thousandths of a request.
	Total int64
	Own   int64
	// Weight is ServerView.Weight.
	Weight float64
	// Share is the rate of requests that the backend server should get relative to
	// others, or 0 if it is not known.
	Share float64
}

// ServiceRoom is the load of a service's backend servers in one data centre, and what
// they sustain.
type ServiceRoom struct {
	Service ServiceName
	Centre  CentreName
	// Servers is the number of backend servers that take new flows.
	Servers int
	// Room is the number of requests a second that they sustain, Demand the number that
	// they get from callers of all data centres.
	Room   float64
	Demand float64
	// Own is the part of Demand that callers of the same data centre send.
	Own float64
	// Wait is the expected wait of a request for a slot.
	Wait time.Duration
	// Answer is the mean time from a request to its answer, Rejected the share of the
	// answered requests that were rejected.
	Answer   time.Duration
	Rejected float64
	// Bytes is the mean size of an answer.
	Bytes int
	// Age is the time since the figures were measured.
	Age time.Duration
}

// CentreShare is a share of new flows, from 0 to 1, that go to a data centre.
type CentreShare struct {
	Centre CentreName
	Share  float64
}

// Departure is the decision that some of a service's new flows leave the data centre of
// their callers.
type Departure struct {
	Service ServiceName
	// To are the data centres that they go to. The sum of the shares is at most 1; the
	// remaining flows stay.
	To []CentreShare
	// Home is the expected wait in the own data centre, Away the one in the others.
	Home time.Duration
	Away time.Duration
}

// Share returns the share of new flows that leave.
func (d Departure) Share() float64 {
	sum := 0.0
	for _, to := range d.To {
		sum += to.Share
	}
	return sum
}

// FindDeparture returns the departure of a service from a list ordered by service.
func FindDeparture(departures []Departure, service ServiceName) (departure Departure, found bool) {
	i, found := slices.BinarySearchFunc(departures, service, func(d Departure, name ServiceName) int {
		return cmp.Compare(d.Service, name)
	})
	if !found {
		return Departure{}, false
	}
	return departures[i], true
}

// AdmissionLimit is the decision that some of a service's new flows are turned away, as
// no data centre has room for them.
type AdmissionLimit struct {
	Service ServiceName
	// Share is the share of new flows that are admitted, from 0 to 1.
	Share float64
	// Wait is the expected wait of a request for a slot.
	Wait time.Duration
}

// Opening is the opening packet of a new flow for which room is needed.
type Opening struct {
	Flow    Flow
	Service ServiceName
	// Priority is that of the route; 0 is the highest.
	Priority int
	// Hash is the hash of the flow, identical on all instances.
	Hash uint64
	// Retransmissions is the number of times that the packet was sent before.
	Retransmissions int
}

// Resource is a resource of an instance that may run short.
type Resource uint8

// The resources.
const (
	ResourceProcessor Resource = iota
	ResourceQueue
	ResourceLink
	ResourceMemory
	ResourceDescriptors
)

// String returns the resource's name in logs and counters.
func (r Resource) String() string {
	switch r {
	case ResourceProcessor:
		return "processor"
	case ResourceQueue:
		return "queue"
	case ResourceLink:
		return "link"
	case ResourceMemory:
		return "memory"
	case ResourceDescriptors:
		return "descriptors"
	default:
		return "unknown"
	}
}

// ResourceUse is the use of one resource as a share of its limit.
type ResourceUse struct {
	Resource Resource
	Use      float64
}

// Strain is how far the resources of an instance suffice for its work.
type Strain uint8

// The degrees of strain.
const (
	// StrainNone means that all resources suffice.
	StrainNone Strain = iota
	// StrainShort means that work that can wait is put off.
	StrainShort
	// StrainOverloaded means that the instance can't do its work.
	StrainOverloaded
)

// String returns the strain's name in logs.
func (s Strain) String() string {
	switch s {
	case StrainNone:
		return "none"
	case StrainShort:
		return "short"
	case StrainOverloaded:
		return "overloaded"
	default:
		return "unknown"
	}
}

// Candidate is one backend server that a request may be assigned to.
type Candidate struct {
	Server ServerID
	// Free is the number of slots not in use.
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
	// Leased is set if the instance has recently confirmed that it receives
	// the heartbeats of this one.
	Leased bool
	// Recent is set if a heartbeat of the instance came in within the last few
	// intervals.
	Recent bool
	// Ready is false while the instance starts or stops.
	Ready bool
	// SlotDigests holds the digests of the slot tables that the instance reported.
	SlotDigests []SlotDigest
}

// ServerView is one backend server as the mapper sees it.
type ServerView struct {
	ID      ServerID
	Name    ServerName
	Service ServiceName
	Centre  CentreName
	Address netip.AddrPort
	State   ServerState
	// Weight is the share of new flows that the server may receive relative to
	// the others of its service; 0 means none.
	Weight float64
	// Allowed is false while the server's data centre is taken out.
	Allowed bool
	// Born and Number are those of the announcement.
	Born   time.Time
	Number uint64
	// Proven is set if a ServerGone server is certain to have ended.
	Proven bool
	// Late is set if a heartbeat is overdue. Silence before the control instances
	// last regained contact with a majority doesn't count.
	Late bool
	// Inferred is set if Late was inferred while reports of another control instance were
	// missing. That one may receive the heartbeats.
	Inferred bool
	// Suspect is set if too many recent requests to the server got no answer.
	Suspect bool
	// OpeningRate is the maximum number of new flows a second that this
	// instance may send to the server while it is cold; 0 is no limit.
	OpeningRate float64
	// Slots is the number of requests that the server processes at a time, or 0 if it
	// is not known.
	Slots int
}

// ServiceView is one service as the mapper sees it.
type ServiceView struct {
	Name      ServiceName
	Protocol  Protocol
	Addresses []netip.AddrPort
	// Idle is the time without packets after which a flow is removed.
	Idle time.Duration
	// Slots is the size of the service's slot table, a power of two.
	Slots int
}

// RouteView is one address that callers open flows to.
type RouteView struct {
	Address netip.AddrPort
	Targets []RouteTarget
	// Target is the time within which callers want an answer, Deadline the time after
	// which they give up; 0 if they are not stated.
	Target   time.Duration
	Deadline time.Duration
	// Priority is the precedence of the route's flows; 0 is the highest.
	Priority int
}

// RouteTarget is a service and its share of a route's new flows.
type RouteTarget struct {
	Service ServiceName
	// Weight is relative to the other targets of the route.
	Weight int
}

// View is the state that a mapper reads at a tick. An entry instance of
// zfinstance sets Members and Services, one of zfforward Centre, RoutesKnown and
// Routes; both set Self, Servers and Revision. Members and Servers are sorted by
// name. Slices must not be modified.
type View struct {
	Self InstanceName
	// Centre is the data centre of Self.
	Centre CentreName
	// RoutesKnown is set once Routes are known. Only mappers that route by
	// Routes (zfcookie) wait for it.
	RoutesKnown bool
	Routes      []RouteView
	Members     []MemberView
	Servers     []ServerView
	Services    []ServiceView
	// EntryCount is the number of entry instances of all data centres that share the
	// OpeningRate of cold backend servers, or 0 if there is only this one. EntryPosition
	// is the place of Self among them, from 1 on, or 0 if it is not known.
	EntryCount    int
	EntryPosition int
	// Departures and Limits are the decisions that apply to the new flows of this data
	// centre's callers.
	Departures []Departure
	Limits     []AdmissionLimit
	// Revision changes with everything else in the view, except for the leases,
	// the recency and the digests of Members, which may change at any tick.
	Revision uint64
}

// MapperStats holds the sizes of one mapper's tables and its counts since the
// start.
type MapperStats struct {
	// Flows and FlowBytes are the rows of the flow table and their memory.
	Flows     int
	FlowBytes int
	// UnplacedSlots have no backend server, UnsettledSlots may have flows on
	// several servers, PendingSlots wait for acknowledgements.
	UnplacedSlots  int
	UnsettledSlots int
	PendingSlots   int
	// HandoverRows counts flow rows handed over to owners and backups, HintsSent
	// those sent as hints to relaying instances and backups, HintsDeferred the
	// hints not sent because of the byte budget.
	HandoverRows  int
	HintsSent     int
	HintsDeferred int
	// Settles counts slots that became settled again.
	Settles int
}
