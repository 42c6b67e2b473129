package zinniafront

import (
	"net/netip"
	"time"
)

// Clock provides the time and timers; tests replace it with a fake.
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

// Mapper selects the backend server of each packet at one instance.
type Mapper interface {
	// Route decides what happens to one packet. It is safe for concurrent use
	// by the traffic goroutines and allocates nothing for a known flow.
	Route(packet Packet, now time.Time) Verdict
	// Tick advances the mapper's systems by one step on the control goroutine
	// and returns the messages to send.
	Tick(now time.Time, view View) []Envelope
	// Receive handles one message from another instance on the control
	// goroutine.
	Receive(from InstanceName, message Message, now time.Time)
	// Digests returns the digests of the replicated tables, for heartbeats.
	Digests() []SlotDigest
	// Synced reports whether the instance has the state that it needs to route
	// packets.
	Synced() bool
	// Busy reports whether rows still have to be handed over to other
	// instances.
	Busy() bool
	// Stats returns the sizes of tables and the counts since the start.
	Stats() MapperStats
}

// Observer infers the health and the load of backend servers from the packets
// of callers. The control goroutine calls its methods.
type Observer interface {
	// Outcomes returns the numbers of answered and unanswered requests since
	// the last call, for the backend servers that recently left some
	// unanswered.
	Outcomes() []Outcome
	// Loads returns the loads of backend servers since the last call: requests and, if
	// they are learned, answers and openings.
	Loads() []ServerLoad
	// EndedFlows returns the open flows whose backend server was found dead since
	// the last call, or whose request stays unanswered in a data centre found
	// unresponsive. The callers have not been notified yet.
	EndedFlows() []EndedFlow
	// UnresponsiveCentres returns the data centres whose backend servers have
	// stopped answering together.
	UnresponsiveCentres(now time.Time) []CentreName
	// OpeningVerdicts returns the changes, since the last call, of what this instance
	// infers from opening packets.
	OpeningVerdicts() []OpeningVerdict
	// SetTotalLoads sets the loads summed over all entry instances of the data
	// centre.
	SetTotalLoads(loads []ServerLoad, now time.Time)
}

// Cost compares the backend servers that a new flow may go to.
type Cost interface {
	// Candidate reports whether a backend server that may get the flow is compared with
	// others. random is derived from the flow's hash.
	Candidate(use ServerUse, random uint32) bool
	// Of returns the cost of one more request; the lowest is chosen. It is safe for
	// concurrent use by the traffic goroutines and allocates nothing.
	Of(use ServerUse) float64
}

// Admission decides which new flows of a service are turned away while it lacks room.
type Admission interface {
	// Admit reports whether a new flow may be forwarded. It is safe for concurrent use by
	// the traffic goroutines and allocates nothing.
	Admit(opening Opening, now time.Time) bool
	// Would reports what Admit would for the first opening packet of a flow, without
	// counting it.
	Would(opening Opening, now time.Time) bool
	// Tick applies the limits in force on the control goroutine. A service without a
	// limit admits all flows.
	Tick(now time.Time, limits []AdmissionLimit)
}

// Meter measures the use of an instance's resources.
type Meter interface {
	// Measure returns the use of each resource whose limit is known since the last call.
	Measure(now time.Time) []ResourceUse
}

// Framing decodes and encodes the datagrams of a fabric. It is not safe for
// concurrent use.
type Framing interface {
	// Headroom returns the number of bytes that Forward may prepend to a
	// datagram.
	Headroom() int
	// Decode reads the packet of a datagram. Its errors are of type *WireError.
	Decode(datagram []byte) (Packet, error)
	// Forward returns the datagram to send for the one that starts after
	// Headroom bytes of frame. It modifies frame.
	Forward(frame []byte, verdict Verdict) []byte
	// Reset returns the datagram that resets a packet's flow at its caller, and
	// the destination; ok is false if flows can't be reset.
	Reset(packet Packet) (datagram []byte, to netip.AddrPort, ok bool)
}

// Picker selects the backend server of a request.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 if none has a
	// free slot.
	Pick(candidates []Candidate, random Random) int
}

// Store persists one document.
type Store interface {
	// Load returns the document as last saved, or nil if there is none.
	Load() ([]byte, error)
	// Save replaces the document and returns once it is synced to disk.
	Save(document []byte) error
}

// Codec encodes the messages between instances as datagrams and decodes them.
type Codec interface {
	// Encode returns the authenticated datagram of one envelope.
	Encode(envelope Envelope) ([]byte, error)
	// Decode authenticates and decodes a datagram. Its errors are of type
	// *WireError.
	Decode(datagram []byte) (Envelope, error)
}

// Verifier checks the signature of a bundle.
type Verifier interface {
	// Verify returns the signed document if a trusted key made the signature.
	Verify(signed []byte) (document []byte, err error)
}
