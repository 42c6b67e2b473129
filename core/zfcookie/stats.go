package zfcookie

import (
	"sync/atomic"
	"time"
)

// serverStats is what this instance has seen of one backend server. The traffic
// goroutines add to it, the control goroutine decays it.
type serverStats struct {
	// requests and openings count packets with data and opening packets since
	// the last decay.
	requests atomic.Int64
	openings atomic.Int64
	// decayed is the decayed count, in thousandths.
	decayed atomic.Int64
	// unreported counts requests since they were last told, fresh since the loads of all
	// instances were last heard. shared is the latter, in thousandths.
	unreported atomic.Int64
	sinceTotal atomic.Int64
	lastTotal  atomic.Int64
	// misses counts packets without an answer since the last answer.
	misses atomic.Int32
	// firstMiss is when the first of them was noticed, in Unix nanoseconds.
	firstMiss atomic.Int64
	// nextOpening is when a cold backend server may get its next new flow, in Unix
	// nanoseconds.
	nextOpening atomic.Int64
	// nextProbe is when a suspected backend server gets its next opening packet, in
	// Unix nanoseconds.
	nextProbe atomic.Int64
	// answeredRequests and undone count requests that were answered and that were not, since
	// they were last told.
	answeredRequests   atomic.Int64
	unansweredRequests atomic.Int64
	// reportsLeft is how many further times the counts are told, though no request
	// went unanswered. It belongs to the control goroutine.
	reportsLeft int
	// termination is what is known of the backend server's end. It belongs to the control
	// goroutine.
	termination termination
}

const (
	// requestsPerOpening is what a new flow counts before its requests are heard of:
	// those of the next few seconds.
	requestsPerOpening = 2
	// loadScale is one packet in load.settled.
	loadScale = 1000
	// decayFactor is the share of a load that is left after decayEvery: loads are
	// remembered for about a second, the time between two requests of a flow.
	decayFactor = 0.9
	// suspectMisses is the number of unanswered packets in a row that make a
	// backend server suspect: with one that is only a lost packet, new flows go
	// elsewhere until the next answer.
	suspectMisses = 1
	// deadMisses is the number of unanswered packets in a row after which a
	// backend server that sends no heartbeats either is taken for dead; packets
	// get lost one at a time.
	deadMisses = 2
	// deadTimeout is how long the first of them has to be over without any answer: a
	// busy machine answers late, and an instance that was suspended finds packets and
	// their repetitions at once, all of them answered.
	deadTimeout = answerTimeout
	// outcomeReports is how often the counts of a backend server are told after a
	// request to it went unanswered: for some five seconds.
	outcomeReports = 10
	// probeInterval is the pause between two opening packets to a suspected one.
	probeInterval = time.Second
)

// recordRequest notes a packet with data, open an opening packet.
func (s *serverStats) recordRequest() {
	s.requests.Add(1)
	s.unreported.Add(1)
	s.sinceTotal.Add(1)
}

func (s *serverStats) recordOpening() {
	s.openings.Add(1)
	s.sinceTotal.Add(requestsPerOpening)
}

// setTotal takes the load of all instances, which lacks what was not told yet.
func (s *serverStats) setTotal(requests int) {
	s.lastTotal.Store(int64(requests) * loadScale)
	s.sinceTotal.Store(s.unreported.Load())
}

func (s *serverStats) decay() {
	count := s.requests.Swap(0) + s.openings.Swap(0)
	s.decayed.Store(int64(float64(s.decayed.Load())*decayFactor) + count*loadScale)
}

// takeOutcome returns the counts since they were last told; ok is false where they
// tell of no trouble.
func (s *serverStats) takeOutcome() (answered, unanswered int, ok bool) {
	answered, unanswered = int(s.answeredRequests.Swap(0)), int(s.unansweredRequests.Swap(0))
	if unanswered > 0 {
		s.reportsLeft = outcomeReports
	}
	if s.reportsLeft == 0 {
		return 0, 0, false
	}
	s.reportsLeft--
	return answered, unanswered, answered+unanswered > 0
}

// totalLoad returns the load of all instances in thousandths of a request, as far as it
// is known.
func (s *serverStats) totalLoad() int64 { return s.lastTotal.Load() + s.sinceTotal.Load()*loadScale }

// localLoad returns this instance's load in thousandths of a packet.
func (s *serverStats) localLoad() int64 {
	return s.decayed.Load() + (s.requests.Load()+s.openings.Load())*loadScale
}

// recordAnswer notes that the backend server answered somebody.
func (s *serverStats) recordAnswer() {
	if s.misses.Load() != 0 {
		s.misses.Store(0)
	}
}

// acquireOpening reports whether a cold backend server that bears rate new flows a
// second may get one now, and takes it.
func (s *serverStats) acquireOpening(rate float64, now time.Time) bool {
	due := s.nextOpening.Load()
	next := max(due, now.UnixNano()) + int64(float64(time.Second)/rate)
	return now.UnixNano() >= due && s.nextOpening.CompareAndSwap(due, next)
}

// mayOpen reports whether it would be a cold backend server's turn.
func (s *serverStats) mayOpen(now time.Time) bool { return now.UnixNano() >= s.nextOpening.Load() }

// unresponsive reports whether a backend server whose heartbeats are overdue leaves
// packets unanswered too.
func (s *serverStats) unresponsive(now time.Time) bool {
	return s.misses.Load() >= deadMisses && now.UnixNano()-s.firstMiss.Load() >= int64(deadTimeout)
}

// recordMiss notes a packet without an answer.
func (s *serverStats) recordMiss(now time.Time) {
	if s.misses.Add(1) == 1 {
		s.firstMiss.Store(now.UnixNano())
	}
	s.nextProbe.Store(now.Add(probeInterval).UnixNano())
}

// usable reports whether the backend server may get an opening packet. A
// suspected one gets one from time to time, to see whether it answers again.
func (s *serverStats) usable(now time.Time) bool {
	if s.misses.Load() < suspectMisses {
		return true
	}
	due := s.nextProbe.Load()
	return now.UnixNano() >= due && s.nextProbe.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}
