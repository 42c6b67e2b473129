package zinniafront

import (
	"net/netip"
	"time"
)

// Explainer explains decisions on new flows without carrying them out.
type Explainer interface {
	// Explain returns where the opening packets of a flow would go at now. It runs the code
	// that places flows and leaves no trace in any table. It is safe for concurrent use.
	Explain(flow Flow, now time.Time) Explanation
}

// Explanation is where a new flow would go at one instance, and why.
type Explanation struct {
	Instance InstanceName
	Centre   CentreName
	Flow     Flow
	// Ready is set if the instance is in the fabric's rotation.
	Ready bool
	// Shed is the share of opening packets that it drops since it is overloaded.
	Shed float64
	// Index is that of the control state in force and Version that of its bundle. Age is
	// the time since the last news of a control instance.
	Index   uint64
	Version uint64
	Age     time.Duration
	// TotalsKnown is set if the loads of all instances of the data centre are known.
	TotalsKnown bool
	// RouteKnown is set if the destination is the address of a route. Service is then the
	// one that the flow goes to, Priority, Target and Deadline those of the route.
	RouteKnown bool
	Service    ServiceName
	Priority   int
	Target     time.Duration
	Deadline   time.Duration
	// Departure and Limit are the decisions in force for the service, or nil. Destination
	// is the data centre that the flow leaves for, or empty.
	Departure   *Departure
	Destination CentreName
	Limit       *AdmissionLimit
	// Attempts are the opening packet and its retransmissions, each without an answer to
	// the one before.
	Attempts []ExplainedAttempt
}

// ExplainedAttempt is the decision on one opening packet.
type ExplainedAttempt struct {
	Retransmissions int
	Action          Action
	Reason          Reason
	// Server is the backend server that is chosen, or empty.
	Server ServerName
	// Candidates are the backend servers of the service in the order in which they are
	// considered, and then those that take no new flows.
	Candidates []ExplainedServer
}

// ExplainedServer is a backend server that a new flow may go to.
type ExplainedServer struct {
	Server  ServerName
	Centre  CentreName
	Address netip.AddrPort
	State   ServerState
	// Late is set if its heartbeat is overdue.
	Late bool
	// Tier is the group of backend servers, which are considered one after the other.
	Tier string
	// Slots is the number of requests that it processes at a time, Share the rate of
	// requests that it should get relative to others, or 0 if that is not known, and
	// Requests the number of recent ones that it got.
	Slots    int
	Share    float64
	Requests float64
	// Cost is what is compared; the lower one is chosen.
	Cost float64
	// PassedOver is why it isn't considered, or ExclusionNone.
	PassedOver Exclusion
}

// Exclusion is why a backend server is passed over for a new flow.
type Exclusion uint8

// The exclusions.
const (
	ExclusionNone Exclusion = iota
	// ExclusionPrevious means that the packet before went there without an answer.
	ExclusionPrevious
	// ExclusionCold means that the backend server is cold and it is not this instance's turn
	// to open a flow there.
	ExclusionCold
	// ExclusionUnanswered means that it left a packet unanswered and is only probed.
	ExclusionUnanswered
	// ExclusionCentre means that the backend servers of its data centre don't answer.
	ExclusionCentre
	// ExclusionUnopened means that recent new flows didn't open there.
	ExclusionUnopened
	// ExclusionShare means that it is no candidate for this flow, as others have more room.
	ExclusionShare
	// ExclusionDraining means that it leaves and takes no new flows.
	ExclusionDraining
	// ExclusionEvacuated means that its data centre is taken out.
	ExclusionEvacuated
)

// String returns the exclusion's name in output.
func (e Exclusion) String() string {
	switch e {
	case ExclusionNone:
		return "none"
	case ExclusionPrevious:
		return "previous"
	case ExclusionCold:
		return "cold"
	case ExclusionUnanswered:
		return "unanswered"
	case ExclusionCentre:
		return "centre"
	case ExclusionUnopened:
		return "unopened"
	case ExclusionShare:
		return "share"
	case ExclusionDraining:
		return "draining"
	case ExclusionEvacuated:
		return "evacuated"
	default:
		return "unknown"
	}
}
