package zinniafront

import (
	"net/netip"
	"time"
)

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
	// Cold is set during the server's cold start, whatever its State is.
	Cold bool
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
