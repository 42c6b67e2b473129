package zfcookie

import (
	"sync/atomic"
	"time"
)

// load is what this instance has seen of one backend server. The traffic
// goroutines add to it, the control goroutine decays it.
type load struct {
	// requests and openings count packets with data and opening packets since
	// the last decay.
	requests atomic.Int64
	openings atomic.Int64
	// settled is the decayed count, in thousandths.
	settled atomic.Int64
	// untold counts requests since they were last told, fresh since the loads of all
	// instances were last heard. shared is the latter, in thousandths.
	untold atomic.Int64
	fresh  atomic.Int64
	shared atomic.Int64
	// misses counts packets without an answer since the last answer.
	misses atomic.Int32
	// missedAt is when the first of them was noticed, in Unix nanoseconds.
	missedAt atomic.Int64
	// turn is when a cold backend server may get its next new flow, in Unix
	// nanoseconds.
	turn atomic.Int64
	// retry is when a suspected backend server gets its next opening packet, in
	// Unix nanoseconds.
	retry atomic.Int64
	// done and undone count requests that were answered and that were not, since
	// they were last told.
	done   atomic.Int64
	undone atomic.Int64
	// telling is how many further times the counts are told, though no request
	// went unanswered. It belongs to the control goroutine.
	telling int
	// verdict is what is known of the backend server's end. It belongs to the control
	// goroutine.
	verdict verdict
}

const (
	// openingRequests is what a new flow counts before its requests are heard of:
	// those of the next few seconds.
	openingRequests = 2
	// unit is one packet in load.settled.
	unit = 1000
	// keepShare is the share of a load that is left after decayEvery: loads are
	// remembered for about a second, the time between two requests of a flow.
	keepShare = 0.9
	// suspectMisses is the number of unanswered packets in a row that make a
	// backend server suspect: with one that is only a lost packet, new flows go
	// elsewhere until the next answer.
	suspectMisses = 1
	// lostMisses is the number of unanswered packets in a row after which a
	// backend server that sends no heartbeats either is taken for dead; packets
	// get lost one at a time.
	lostMisses = 2
	// lostTime is how long the first of them has to be over without any answer: a
	// busy machine answers late, and an instance that was suspended finds packets and
	// their repetitions at once, all of them answered.
	lostTime = overdueAfter
	// toldAgain is how often the counts of a backend server are told after a
	// request to it went unanswered: for some five seconds.
	toldAgain = 10
	// retryEvery is the pause between two opening packets to a suspected one.
	retryEvery = time.Second
)

// request notes a packet with data, open an opening packet.
func (l *load) request() {
	l.requests.Add(1)
	l.untold.Add(1)
	l.fresh.Add(1)
}

func (l *load) open() {
	l.openings.Add(1)
	l.fresh.Add(openingRequests)
}

// share takes the load of all instances, which lacks what was not told yet.
func (l *load) share(requests int) {
	l.shared.Store(int64(requests) * unit)
	l.fresh.Store(l.untold.Load())
}

func (l *load) decay() {
	fresh := l.requests.Swap(0) + l.openings.Swap(0)
	l.settled.Store(int64(float64(l.settled.Load())*keepShare) + fresh*unit)
}

// outcome returns the counts since they were last told; ok is false where they
// tell of no trouble.
func (l *load) outcome() (done, undone int, ok bool) {
	done, undone = int(l.done.Swap(0)), int(l.undone.Swap(0))
	if undone > 0 {
		l.telling = toldAgain
	}
	if l.telling == 0 {
		return 0, 0, false
	}
	l.telling--
	return done, undone, done+undone > 0
}

// total returns the load of all instances in thousandths of a request, as far as it
// is known.
func (l *load) total() int64 { return l.shared.Load() + l.fresh.Load()*unit }

// recent returns this instance's load in thousandths of a packet.
func (l *load) recent() int64 {
	return l.settled.Load() + (l.requests.Load()+l.openings.Load())*unit
}

// answered notes that the backend server has answered somebody.
func (l *load) answered() {
	if l.misses.Load() != 0 {
		l.misses.Store(0)
	}
}

// takeTurn reports whether a cold backend server that bears rate new flows a
// second may get one now, and takes it.
func (l *load) takeTurn(rate float64, now time.Time) bool {
	turn := l.turn.Load()
	next := max(turn, now.UnixNano()) + int64(float64(time.Second)/rate)
	return now.UnixNano() >= turn && l.turn.CompareAndSwap(turn, next)
}

// bears reports whether it would be a cold backend server's turn.
func (l *load) bears(now time.Time) bool { return now.UnixNano() >= l.turn.Load() }

// lost reports whether a backend server whose heartbeats are overdue leaves
// packets unanswered too.
func (l *load) lost(now time.Time) bool {
	return l.misses.Load() >= lostMisses && now.UnixNano()-l.missedAt.Load() >= int64(lostTime)
}

// missed notes a packet without an answer.
func (l *load) missed(now time.Time) {
	if l.misses.Add(1) == 1 {
		l.missedAt.Store(now.UnixNano())
	}
	l.retry.Store(now.Add(retryEvery).UnixNano())
}

// usable reports whether the backend server may get an opening packet. A
// suspected one gets one from time to time, to see whether it answers again.
func (l *load) usable(now time.Time) bool {
	if l.misses.Load() < suspectMisses {
		return true
	}
	retry := l.retry.Load()
	return now.UnixNano() >= retry && l.retry.CompareAndSwap(retry, now.Add(retryEvery).UnixNano())
}
