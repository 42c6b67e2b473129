// Package zfcluster carries what control instances and entry instances tell each
// other over net/rpc: messages of the replication, commands for the leader, and
// the feed of backend servers and control state.
package zfcluster

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
)

// serviceName is the name that methods are registered under.
const serviceName = "Cluster"

// ErrUnreachable tells that an instance did not answer in time.
var ErrUnreachable = errors.New("instance not reached")

// DeliverArgs carries messages of the replication.
type DeliverArgs struct {
	Messages []zfquorum.Message
}

// Empty is the answer to a call that returns nothing.
type Empty struct{}

// AskArgs asks the leader to carry out a command, or to read the control state
// if it has neither.
type AskArgs struct {
	// Document is a bundle to put in force, packed.
	Document []byte
	// Centre is the data centre to take out, or to bring back.
	Centre zf.CentreName
	Out    bool
	// Known is the index of the state that the asker holds; an answer to a read
	// leaves out a state that is the same.
	Known uint64
}

// AskReply is what became of a command or a read.
type AskReply struct {
	Outcome zfcontrol.Outcome
	// Index is that of the committed state; State is empty where it is Known.
	Index uint64
	State zfcontrol.State
	// Refused tells that the asked instance doesn't lead.
	Refused bool
}

// OfferArgs tells an entry instance of a control instance that has started.
type OfferArgs struct {
	Address netip.AddrPort
}

// FetchArgs asks for what changed since an earlier answer.
type FetchArgs struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	// Address is where the asker answers fetches itself, if it does.
	Address netip.AddrPort
	// Control tells that the asker is a control instance, which takes part in
	// finding silent backend servers and so needs each heartbeat.
	Control bool
	// Source and Cursor are those of the last answer, or 0.
	Source uint64
	Cursor uint64
	// More tells that the last answer said that there are more changes already.
	More bool
	// Index is that of the control state that the asker has.
	Index uint64
	// Digests tell what the asker knows of backend servers when it turns to another
	// instance, which then sends those rows that differ.
	Digests []uint64
	// Bucket is where the next page of them begins.
	Bucket int
	// Rows are the backend servers that the answering instance lacks, as its last
	// answer showed.
	Rows []zfregistry.Update
	// Outcomes are what became of requests to backend servers that left some
	// unanswered lately.
	Outcomes []zf.Outcome
	// Loads are the requests to backend servers since they were last told. The answer
	// to a fetch that tells them has those of the data centre.
	Loads []zf.ServerLoad
	// Ready tells that the asker takes traffic, Stopping that it was asked to stop and
	// wants to know when it is its turn.
	Ready    bool
	Stopping bool
	// Hold is how long the answer may be held back while there is no news.
	Hold time.Duration
}

// FetchReply is the news.
type FetchReply struct {
	Source  uint64
	Changes zfregistry.Changes
	// Rows are the backend servers of Changes, packed, where they are many.
	Rows []byte
	// Index is that of the control state; Document, packed, and Out are empty
	// where it is the one that the asker has.
	Index    uint64
	Document []byte
	Out      []zf.CentreName
	// Contact is how long ago the answering instance was in touch with a
	// majority.
	Contact time.Duration
	// Controls are the control instances that are there.
	Controls []zfquorum.Node
	// Peers are other entry instances, which can tell the news where no control
	// instance is reached. To a control instance of the same data centre they are all
	// that follow the answering one, which Near tells.
	Peers []netip.AddrPort
	Near  bool
	// Loads are those of the data centre; to a control instance of the same one, what
	// the answering one's own followers tell.
	Loads []zf.ServerLoad
	// Turn tells an asker that was asked to stop that it is its turn.
	Turn bool
	// Entries is the number of entry instances, as far as they are known; to a
	// control instance that of the answering one's own followers.
	Entries int
}

// Handler is what the calls of other instances act on.
type Handler interface {
	// Deliver takes messages of the replication.
	Deliver(messages []zfquorum.Message)
	// Ask carries out a command or a read as the leader.
	Ask(args AskArgs) (AskReply, error)
	// Fetch returns news, and waits for some.
	Fetch(args FetchArgs) (FetchReply, error)
	// Offer takes the address of a control instance that has started.
	Offer(address netip.AddrPort)
}

// MaxContactAge stands for an instance that was never in touch with a majority.
const MaxContactAge = time.Hour

// ContactAge returns how long ago a moment was, as FetchReply tells it.
func ContactAge(contact, now time.Time) time.Duration {
	if contact.IsZero() {
		return MaxContactAge
	}
	return min(now.Sub(contact), MaxContactAge)
}

// joinHostPort joins the host of one address with the port of another.
func joinHostPort(host, port netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(host.Addr(), port.Port())
}

// PeerAddresses returns the addresses for calls between instances on the hosts of
// others. The port is the same on all machines.
func PeerAddresses(hosts []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(hosts))
	for _, host := range hosts {
		addresses = append(addresses, joinHostPort(host, self))
	}
	return addresses
}
