// Package zfcluster implements the calls over net/rpc among instances of the keeper
// and forward roles: replication messages, operations for the leader, and the feed of
// backend servers and control state. The control and entry roles use package
// zfoperator instead.
package zfcluster

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrestoration"
	"zinniafront/core/zfrotation"
)

// serviceName is the net/rpc service name.
const serviceName = "Cluster"

// ErrUnreachable is returned if a call got no reply: the connection failed or the
// timeout passed.
var ErrUnreachable = errors.New("instance not reached")

// DeliverArgs carries replication messages.
type DeliverArgs struct {
	Messages []zfquorum.Message
}

// Empty is the reply to a call that returns nothing.
type Empty struct{}

// AskArgs is an operation for the leader: a command that puts Document in force or
// changes Centre, or a read of the control state if both are empty.
type AskArgs struct {
	// Document is a bundle to put in force, compressed.
	Document []byte
	// Centre is the data centre to take out, or to bring back. AsOf is the sequence of
	// the control state that the operator has seen, or 0. Guarded is set by senders that
	// know zfcontrol.StatusUnconfirmed; earlier versions take it for success.
	Centre  zf.CentreName
	Out     bool
	AsOf    uint64
	Guarded bool
	// Known is the index of the state that the sender holds; the reply to a read
	// omits a state with the same index.
	Known uint64
}

// AskReply is the result of an operation.
type AskReply struct {
	Outcome zfcontrol.Outcome
	// Index is that of the committed state. State is that state in the reply to a read
	// whose Known is another index, and empty otherwise.
	Index uint64
	State zfcontrol.State
	// Refused is set if the receiver has no result, for example because it is not the
	// leader, got no confirmation by a majority in time, or stops. A command may still
	// come into force.
	Refused bool
}

// OfferArgs carries the address of a control instance that has started.
type OfferArgs struct {
	Address netip.AddrPort
}

// FetchArgs asks for the changes since an earlier reply.
type FetchArgs struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	// Address is where the sender answers fetches itself, if it does.
	Address netip.AddrPort
	// Control is set if the sender is a control instance, which takes part in the
	// detection of silent backend servers and so also needs to know which instance
	// receives their heartbeats.
	Control bool
	// Source and Cursor identify the changes that the sender has, or are 0 until it has
	// the whole table once.
	Source uint64
	Cursor uint64
	// More repeats Changes.More of the last reply: more changes exist already.
	More bool
	// Index is that of the control state that the sender has.
	Index uint64
	// Digests are those of the sender's table of backend servers at the start of a
	// session; the reply contains the rows that differ.
	Digests []uint64
	// Bucket is the bucket at which the next page of those rows begins.
	Bucket int
	// Rows are the backend servers that the receiver lacks according to its last
	// reply.
	Rows []zfregistry.Update
	// Outcomes are the outcomes of requests to backend servers that recently left some
	// unanswered.
	Outcomes []zf.Outcome
	// Loads are the requests to backend servers since the last report. The reply to a
	// fetch that reports loads has the total loads of the data centre.
	Loads []zf.ServerLoad
	// Ready is set if the sender takes traffic, Stopping if it was asked to stop and
	// waits for a stop permit.
	Ready    bool
	Stopping bool
	// Able is set if the sender could take traffic: it takes it, or waits until it may
	// enter the rotation.
	Able bool
	// Strain is how far the sender's resources suffice. StepOut is set if the sender
	// requests a permit to leave the rotation until they do.
	Strain  zf.Strain
	StepOut bool
	// Size is the sender's share of a core, or 0 if it is not known.
	Size float64
	// Hold is how long the reply may be held back while there are no changes.
	Hold time.Duration
}

// FetchReply carries the changes since an earlier reply.
type FetchReply struct {
	Source  uint64
	Changes zfregistry.Changes
	// Rows are the backend servers of Changes, compressed, if there are many.
	Rows []byte
	// Index is that of the control state; Document, compressed, and Out are empty if
	// the sender of the fetch has that state already.
	Index    uint64
	Document []byte
	Out      []zf.CentreName
	// Contact is the time since the replying instance's last contact with a majority.
	Contact time.Duration
	// Controls are the known control instances; one that is lost stays among them for a
	// while.
	Controls []zfquorum.Node
	// Peers are other entry instances, which answer fetches where no control instance
	// is reachable. In a reply to a control instance of the same data centre, Near is
	// set and Peers are all subscribers of the replying instance.
	Peers []netip.AddrPort
	Near  bool
	// Loads are the total loads of the data centre; in a reply to a control instance of
	// the same one, those that the replying instance's own subscribers report.
	Loads []zf.ServerLoad
	// Rooms are the room of the services in the replying instance's data centre, Centre,
	// and the demand that its callers send to others, in a reply to a control instance.
	// Services without traffic are left out.
	Rooms  []zf.ServiceRoom
	Centre zf.CentreName
	// Held is how long the fetch was held back.
	Held time.Duration
	// Departures and Limits are the decisions for the new flows of the data centre's
	// callers. They replace earlier ones if Loads is set. In a reply to a control instance
	// of the same data centre, Decides is set if the replying one made the departures.
	Departures []zf.Departure
	Decides    bool
	Limits     []zf.AdmissionLimit
	// StepOut grants the permit to leave the rotation that the sender requested.
	StepOut bool
	// Turn grants a stop permit to an instance that was asked to stop.
	Turn bool
	// Entries is the number of known entry instances; in a reply to a control instance,
	// that of the replying instance's own subscribers.
	Entries int
	// Position is the place of the sender of the fetch among the known entry instances,
	// from 1 on; 0 in a reply to a control instance.
	Position int
	// Wait is set if the sender of the fetch must not enter the rotation yet.
	Wait bool
	// Restorations are the data centres that were brought back into service recently.
	Restorations []zfrestoration.Restoration
	// Counts are the entry instances of each data centre that report to the replying
	// instance, in a reply to a control instance.
	Counts []zfrotation.Count
}

// Handler handles the calls of other instances.
type Handler interface {
	// Deliver processes replication messages.
	Deliver(messages []zfquorum.Message)
	// Ask carries out an operation as the leader.
	Ask(args AskArgs) (AskReply, error)
	// Fetch returns changes, and waits for some if there are none.
	Fetch(args FetchArgs) (FetchReply, error)
	// Offer handles the address of a control instance that has started.
	Offer(address netip.AddrPort)
	// Explain explains where new flows would go.
	Explain(args ExplainArgs) (ExplainReply, error)
}

// MaxContactAge is the contact age of an instance that never had contact with a
// majority, and the upper bound of all contact ages.
const MaxContactAge = time.Hour

// ContactAge returns the time since the last contact for FetchReply.Contact.
func ContactAge(contact, now time.Time) time.Duration {
	if contact.IsZero() {
		return MaxContactAge
	}
	return min(now.Sub(contact), MaxContactAge)
}

// withPort returns address with the port of other.
func withPort(address, other netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr(), other.Port())
}

// PeerAddresses returns addresses with their ports replaced by that of self: all
// instances serve the calls of other instances on the same port.
func PeerAddresses(addresses []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		peers = append(peers, withPort(address, self))
	}
	return peers
}
