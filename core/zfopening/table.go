// Package zfopening infers from opening packets which backend servers, and which data
// centres, don't open new flows. A backend server answers callers directly, and refuses
// an opening packet with a reset that no instance sees: only the caller's next packet
// shows that a flow has opened. The tables have a row for each backend server, for each
// data centre and for each recent opening packet. The traffic goroutines update the rows
// with atomics and evaluate them with each opening packet, the control goroutine each
// tick.
package zfopening

import (
	"encoding/binary"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

const (
	// openingRows is the number of recent opening packets with a row. At 1,000 a second
	// a row is kept for as long as retryWindow.
	openingRows = 1024
	// callerRows is the number of rows that hold the last opening of a caller.
	callerRows = 1024
	// minTimeout and maxTimeout bound the time after which an opening counts as unopened.
	minTimeout = 20 * time.Millisecond
	maxTimeout = 150 * time.Millisecond
	// deviations is the number of mean deviations that the timeout allows for, twice as
	// many as a TCP retransmission timeout.
	deviations = 8
	// retryWindow is the time after an unopened opening in which another one of the same
	// caller is a retry.
	retryWindow = time.Second
	// minOutcomes is the number of openings from which an instance can tell whether it
	// sees the next packets of the flows that it opens; maxOutcomes are remembered.
	minOutcomes = 16
	maxOutcomes = 256
	// minFollowedShare is the share of openings that must be followed here, so that one
	// that is not means something.
	minFollowedShare = 0.5
	// surpriseScale is the fixed-point scale of surprise, which is in bits. minSurprise is the
	// minimum sum for a verdict, at which one in 50 would be by chance. maxSurprise bounds
	// that of one opening.
	surpriseScale = 1000
	minSurprise   = 5644
	maxSurprise   = minSurprise / refusingCallers
	// shareScale is the fixed-point scale of shares.
	shareScale = 1 << 20
)

// The phases of an opening row. A pending one's state is only its shifted ticket.
const (
	phasePending = iota
	phaseFollowed
	phaseUnopened
	phaseCancelled

	phaseBits = 2
)

// Ticket identifies a recorded opening. The zero value is none.
type Ticket uint64

// openingRow is the row of one opening packet.
type openingRow struct {
	// state is the ticket, shifted by phaseBits, and the phase. The other fields are
	// valid while it has the same ticket.
	state atomic.Uint64
	at    atomic.Int64
	// caller identifies the caller's address, key the address and the route.
	caller atomic.Uint64
	key    atomic.Uint64
	server atomic.Pointer[Server]
	// earlier is the ticket of the opening that this one retries, or 0.
	earlier atomic.Uint64
}

// Table holds the recent openings and the data centres of one instance.
type Table struct {
	rows [openingRows]openingRow
	// callers holds the last ticket by the hash of caller and route: the upper half of an
	// entry is that of the hash, the lower half that of the ticket.
	callers [callerRows]atomic.Uint64
	// last is the last ticket, settled the last one up to which none is pending.
	last    atomic.Uint64
	settled atomic.Uint64
	// roundTrip and deviation are moving averages of the time from an opening to the
	// flow's next packet, in nanoseconds.
	roundTrip atomic.Int64
	deviation atomic.Int64
	// outcomes is the number of openings that have ended, at most maxOutcomes, and
	// followedShare the share of followed ones, in units of 1/shareScale.
	outcomes      atomic.Int64
	followedShare atomic.Int64
	// discarded is the last ticket whose outcome may have been missed.
	discarded atomic.Uint64
	// lastOpened is when any opening was last followed, in Unix nanoseconds.
	lastOpened atomic.Int64
	// centres is replaced as a whole by the control goroutine.
	centres atomic.Pointer[[]*Centre]
}

// New returns a table without rows.
func New() *Table {
	t := &Table{}
	t.centres.Store(&[]*Centre{})
	return t
}

// Attempt is an opening packet for which a backend server is chosen.
type Attempt struct {
	// Retry is set if the caller's previous opening was left unopened.
	Retry  bool
	hash   uint64
	caller uint64
	key    uint64
	// earlier is the ticket of the caller's last opening, or 0. avoided are the backend
	// servers of that one and the one before.
	earlier Ticket
	avoided [2]*Server
	// peeked is set if decisions on the attempt must not change anything.
	peeked bool
}

// Avoids reports whether the backend server has just left an opening of the caller
// unopened, or may have.
func (a *Attempt) Avoids(s *Server) bool { return s == a.avoided[0] || s == a.avoided[1] }

// leaves reports whether the caller's last two tries were left unopened in the same data
// centre, so that the next one goes to another.
func (a *Attempt) leaves(c *Centre) bool {
	return a.Retry && a.avoided[0] != nil && a.avoided[1] != nil && a.avoided[0].centre == c && a.avoided[1].centre == c
}

// Begin returns the attempt of an opening packet. hash is the hash of its flow; copied is
// set for a copy of an earlier opening packet.
func (t *Table) Begin(flow *zf.Flow, hash uint64, copied bool, now time.Time) Attempt {
	t.Expire(now)
	a, unopened := t.attempt(flow, hash, copied, now)
	if unopened {
		t.settle(a.earlier, phaseUnopened, now)
	}
	return a
}

// Peek returns what Begin would, and changes nothing.
func (t *Table) Peek(flow *zf.Flow, hash uint64, copied bool, now time.Time) Attempt {
	a, _ := t.attempt(flow, hash, copied, now)
	a.peeked = true
	return a
}

// Copy returns the attempt of the copy that is sent if an opening packet went to a backend
// server without an answer.
func (a Attempt) Copy(s *Server) Attempt {
	a.Retry = true
	a.avoided = [2]*Server{s, a.avoided[0]}
	return a
}

// attempt returns the attempt of an opening packet. unopened is set if it shows that the
// caller's earlier opening led nowhere.
func (t *Table) attempt(flow *zf.Flow, hash uint64, copied bool, now time.Time) (a Attempt, unopened bool) {
	a = Attempt{
		Retry:  copied,
		hash:   hash,
		caller: hashCaller(flow.Source.Addr()),
	}
	a.key = hashRoute(flow.Destination, a.caller)
	earlier := t.lastOf(a.key)
	row, phase := t.find(earlier)
	if row == nil || row.key.Load() != a.key {
		return a, false
	}
	age := now.UnixNano() - row.at.Load()
	switch {
	case age >= int64(retryWindow) || phase == phaseFollowed || phase == phaseCancelled:
		return a, false
	case phase == phasePending && age > t.usual():
		unopened = true
		a.Retry = true
	case phase == phaseUnopened:
		a.Retry = true
	}
	a.earlier = earlier
	a.avoided[0] = row.server.Load()
	if before, _ := t.find(Ticket(row.earlier.Load())); before != nil && now.UnixNano()-before.at.Load() < int64(retryWindow) {
		a.avoided[1] = before.server.Load()
	}
	return a, unopened
}

// Record records that an opening packet was forwarded to a backend server.
func (t *Table) Record(a *Attempt, s *Server, now time.Time) Ticket {
	ticket := Ticket(t.last.Add(1))
	row := &t.rows[ticket%openingRows]
	row.at.Store(now.UnixNano())
	row.caller.Store(a.caller)
	row.key.Store(a.key)
	row.server.Store(s)
	s.recordSent(now)
	if row.earlier.Load() != uint64(a.earlier) {
		row.earlier.Store(uint64(a.earlier))
	}
	row.state.Store(uint64(ticket) << phaseBits)
	t.callers[a.key%callerRows].Store(a.key>>32<<32 | uint64(uint32(ticket)))
	return ticket
}

// lastOf returns the last ticket of a caller and route, or 0.
func (t *Table) lastOf(key uint64) Ticket {
	entry := t.callers[key%callerRows].Load()
	if entry == 0 || entry>>32 != key>>32 {
		return 0
	}
	last := t.last.Load()
	return Ticket(last - uint64(uint32(last)-uint32(entry)))
}

// Followed records the next packet of an opening's flow.
func (t *Table) Followed(ticket Ticket, now time.Time) { t.settle(ticket, phaseFollowed, now) }

// Unopened records that an opening had no answer although its caller waits for one.
func (t *Table) Unopened(ticket Ticket, now time.Time) { t.settle(ticket, phaseUnopened, now) }

// Cancel records that an opening's outcome will not be known.
func (t *Table) Cancel(ticket Ticket, now time.Time) { t.settle(ticket, phaseCancelled, now) }

// Discard cancels the openings that are pending: packets may have waited for this
// instance.
func (t *Table) Discard() { t.discarded.Store(t.last.Load()) }

// Expire counts the pending openings that are older than the timeout as unopened.
func (t *Table) Expire(now time.Time) {
	deadline := now.UnixNano() - int64(t.Timeout())
	for {
		settled := t.settled.Load()
		ticket := Ticket(settled + 1)
		if uint64(ticket) > t.last.Load() {
			return
		}
		row := &t.rows[ticket%openingRows]
		switch state := row.state.Load(); {
		case state>>phaseBits < uint64(ticket):
			return // Another goroutine is recording it.
		case state == uint64(ticket)<<phaseBits:
			if row.at.Load() > deadline {
				return
			}
			t.settle(ticket, phaseUnopened, now)
		}
		t.settled.CompareAndSwap(settled, uint64(ticket))
	}
}

// find returns the row of a ticket and its phase, or nil if it has been overwritten.
func (t *Table) find(ticket Ticket) (*openingRow, int) {
	if ticket == 0 {
		return nil, 0
	}
	row := &t.rows[ticket%openingRows]
	state := row.state.Load()
	if state>>phaseBits != uint64(ticket) {
		return nil, 0
	}
	return row, int(state & (1<<phaseBits - 1))
}

// settle moves an opening to a phase and counts it. An unopened one may still be followed.
func (t *Table) settle(ticket Ticket, phase int, now time.Time) {
	row, current := t.find(ticket)
	if row == nil || current == phase || current != phasePending && (current != phaseUnopened || phase != phaseFollowed) {
		return
	}
	discarded := uint64(ticket) <= t.discarded.Load()
	if discarded && phase == phaseUnopened {
		phase = phaseCancelled
	}
	server, caller, at := row.server.Load(), row.caller.Load(), row.at.Load()
	state := uint64(ticket) << phaseBits
	if !row.state.CompareAndSwap(state|uint64(current), state|uint64(phase)) {
		return
	}
	switch phase {
	case phaseFollowed:
		if !discarded {
			t.learnRoundTrip(time.Duration(now.UnixNano() - at))
			t.learnOutcome(shareScale)
		}
		server.RecordOpened(now)
	case phaseUnopened:
		t.learnOutcome(0)
		server.recordUnopened(caller, t.trusted(), now)
	}
}

// usual returns the time within which the next packet usually comes, in nanoseconds.
func (t *Table) usual() int64 {
	if t.outcomes.Load() < minOutcomes {
		return int64(maxTimeout)
	}
	return t.roundTrip.Load() + 2*t.deviation.Load()
}

// Timeout returns the time after which an opening counts as unopened.
func (t *Table) Timeout() time.Duration {
	if t.outcomes.Load() < minOutcomes {
		return maxTimeout
	}
	return min(max(time.Duration(t.roundTrip.Load()+deviations*t.deviation.Load()), minTimeout), maxTimeout)
}

// trusted reports whether this instance usually sees the next packets of the flows that
// it opens.
func (t *Table) trusted() bool {
	return t.outcomes.Load() >= minOutcomes && t.followedShare.Load() >= minFollowedShare*shareScale
}

// surprise returns how unlikely it is by chance that an opening isn't followed here, in bits.
// It is little where the next packets of many flows go to other instances.
func (t *Table) surprise() int64 {
	missed := 1 - float64(t.followedShare.Load())/shareScale
	return int64(math.Ceil(min(-math.Log2(max(missed, 0))*surpriseScale, maxSurprise)))
}

func (t *Table) learnRoundTrip(sample time.Duration) {
	measured := int64(min(sample, maxTimeout))
	mean := t.roundTrip.Load()
	if mean == 0 {
		t.roundTrip.Store(measured)
		t.deviation.Store(measured / 2)
		return
	}
	difference := measured - mean
	t.roundTrip.Store(mean + difference/8)
	t.deviation.Store(t.deviation.Load() + (max(difference, -difference)-t.deviation.Load())/4)
}

// learnOutcome adds an outcome to followedShare.
func (t *Table) learnOutcome(outcome int64) {
	count := min(t.outcomes.Load()+1, maxOutcomes)
	t.outcomes.Store(count)
	share := t.followedShare.Load()
	t.followedShare.Store(share + (outcome-share)/count)
}

func hashCaller(address netip.Addr) uint64 {
	key := address.As16()
	return max(xxh3.Hash(key[:]), 1) // 0 marks an empty key.
}

// hashRoute mixes a route into the hash of a caller.
func hashRoute(route netip.AddrPort, caller uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio.
	address := route.Addr().As16()
	key := (caller ^ binary.BigEndian.Uint64(address[8:])<<16 ^ uint64(route.Port())) * multiplier
	return key ^ key>>32
}
