package zinniafront

import (
	"net/netip"
	"time"
)

// Clock tells the time and wakes its caller; tests replace it by a fake.
type Clock interface {
	// Now returns the current time with a monotonic reading where there is one.
	Now() time.Time
	// After returns a channel that receives once d has passed, and a function
	// that releases the timer early.
	After(d time.Duration) (<-chan time.Time, func())
}

// Random is the source of every random choice; *rand.Rand of math/rand/v2
// satisfies it.
type Random interface {
	// Uint64 returns 64 uniformly distributed bits.
	Uint64() uint64
	// IntN returns a uniform number in [0, n); it panics if n <= 0.
	IntN(n int) int
}

// Mapper decides the backend server of each packet at one instance.
type Mapper interface {
	// Route decides one packet. It is safe for concurrent use by the traffic
	// goroutines and allocates nothing for a known flow.
	Route(packet Packet, now time.Time) Verdict
	// Tick advances the mapper's systems by one step on the control goroutine
	// and returns the messages that are to be sent.
	Tick(now time.Time, view View) []Envelope
	// Receive takes one message of another instance on the control goroutine.
	Receive(from InstanceName, message Message, now time.Time)
	// Digests identifies the replicated tables, for heartbeats.
	Digests() []SlotDigest
	// Synced reports whether the instance has what it needs to decide.
	Synced() bool
	// Busy reports whether rows still have to reach other instances.
	Busy() bool
	// Stats returns the sizes of tables and counts since the start.
	Stats() MapperStats
}

// Observer tells what the packets of callers show of backend servers.
type Observer interface {
	// Outcomes returns what became of requests since the last call, for the
	// backend servers that left some unanswered lately. It is called by the
	// control goroutine.
	Outcomes() []Outcome
	// Loads returns the requests to each backend server since the last call.
	Loads() []ServerLoad
	// EndedFlows returns the last packets of open flows whose backend servers turned out to
	// be dead since the last call. Their callers don't know yet.
	EndedFlows() []Packet
	// SetTotalLoads takes the loads of all entry instances of the data centre.
	SetTotalLoads(loads []ServerLoad, now time.Time)
}

// Framing turns the datagrams of a fabric into packets and back. It is used by
// one goroutine.
type Framing interface {
	// Headroom is the number of bytes that Forward may put before a datagram.
	Headroom() int
	// Decode reads the packet of a datagram. Its errors are of type *WireError.
	Decode(datagram []byte) (Packet, error)
	// Forward returns what to send for a datagram, which starts after Headroom
	// bytes of frame. It changes frame.
	Forward(frame []byte, verdict Verdict) []byte
	// Reset returns the datagram that ends a packet's flow at its caller and
	// where to send it; ok is false where flows can't be reset.
	Reset(packet Packet) (datagram []byte, to netip.AddrPort, ok bool)
}

// Picker chooses the backend server of a request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 if none has a
	// free slot.
	Pick(candidates []Candidate, random Random) int
}

// Store keeps one document durable.
type Store interface {
	// Load returns the document as last saved, or nil if there is none.
	Load() ([]byte, error)
	// Save replaces the document and returns once it is synced.
	Save(document []byte) error
}

// Codec turns messages between instances into datagrams and back.
type Codec interface {
	// Encode returns the authenticated datagram of one envelope.
	Encode(envelope Envelope) ([]byte, error)
	// Decode checks and opens a datagram. Its errors are of type *WireError.
	Decode(datagram []byte) (Envelope, error)
}

// Verifier checks who signed a bundle.
type Verifier interface {
	// Verify returns the signed document if a trusted key made the signature.
	Verify(signed []byte) (document []byte, err error)
}
