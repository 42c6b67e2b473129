package zfcookie

import (
	"sync/atomic"
	"time"

	"zinniafront/core/zfopening"
)

// serverStats holds this instance's statistics of one backend server. The traffic
// goroutines update it, the control goroutine decays it.
type serverStats struct {
	// number is the backend server's Announcement.Number.
	number uint64
	// requests and openings count packets with a payload and opening packets since
	// the last decay.
	requests atomic.Int64
	openings atomic.Int64
	// decayed is the decayed count of both, in units of 1/loadScale.
	decayed atomic.Int64
	// unreported counts requests since the last report of loads.
	unreported atomic.Int64
	// lastTotal is the total load as last received, in units of 1/loadScale. sinceTotal
	// estimates the requests that it does not include, with requestsPerOpening for each
	// new flow.
	sinceTotal atomic.Int64
	lastTotal  atomic.Int64
	// answers counts the answers since the last report of loads. share holds the bits of
	// zfroom.Row.Share.
	answers answerStats
	share   atomic.Uint64
	// misses counts the retransmissions by callers since the last answer. Each shows
	// that the packet before it had no answer.
	misses atomic.Int32
	// firstMiss and lastMiss are when the first and the last of them arrived, in Unix
	// nanoseconds.
	firstMiss atomic.Int64
	lastMiss  atomic.Int64
	// nextOpening is the earliest time of the next new flow of a cold backend server,
	// in Unix nanoseconds.
	nextOpening atomic.Int64
	// nextProbe is the earliest time of the next opening packet to a backend server
	// that is only probed, in Unix nanoseconds.
	nextProbe atomic.Int64
	// answeredRequests and unansweredRequests count outcomes since the last report.
	answeredRequests   atomic.Int64
	unansweredRequests atomic.Int64
	// reportsLeft is how many more times the counts are reported even if no further
	// request is unanswered. It belongs to the control goroutine.
	reportsLeft int
	// centre holds the statistics of the backend server's data centre.
	centre *centreStats
	// opening is the row of its openings, or nil unless Config.Openings is set.
	opening *zfopening.Server
	// termination belongs to the control goroutine.
	termination termination
}

const (
	// requestsPerOpening is the number of requests that a new flow counts for in the
	// total load: those it is expected to send in the next few seconds.
	requestsPerOpening = 2
	// loadScale is the fixed-point scale of loads: the value of one packet or request.
	loadScale = 1000
	// decayFactor is the share of a load that is left after maintenanceInterval. Packets
	// count for about a second; flows send a request every one to three seconds.
	decayFactor = 0.9
	// probeMisses is the number of consecutive unanswered packets after which this
	// instance sends a backend server only probes, independently of ServerView.Suspect,
	// which the control instances set. If only a packet was lost, new flows go to other
	// backend servers until the next answer.
	probeMisses = 1
	// deadMisses is the number of consecutive unanswered packets after which a backend
	// server whose heartbeats are overdue as well is considered dead. Packets are lost
	// one at a time.
	deadMisses = 2
	// deadTimeout is the minimum time since the first of these packets without any
	// answer. A busy backend server answers late, and an instance that was suspended receives
	// packets and their retransmissions at once although all of them were answered.
	deadTimeout = answerTimeout
	// missLifetime is the time after which a miss no longer counts when heartbeats become
	// overdue. They do so some 3 s after the last one, so that the backend server has sent
	// heartbeats since.
	missLifetime = 5 * time.Second
	// outcomeReports is the number of reports that include the counts of a backend
	// server after a request to it was unanswered. They cover about five seconds.
	outcomeReports = 10
	// probeInterval is the time between two opening packets to a backend server that is
	// only probed.
	probeInterval = time.Second
)

// recordRequest counts a packet with a payload.
func (s *serverStats) recordRequest() {
	s.requests.Add(1)
	s.unreported.Add(1)
	s.sinceTotal.Add(1)
}

// recordOpening counts an opening packet.
func (s *serverStats) recordOpening() {
	s.openings.Add(1)
	s.sinceTotal.Add(requestsPerOpening)
}

// setTotal sets the total load, which does not include unreported requests.
func (s *serverStats) setTotal(requests int) {
	s.lastTotal.Store(int64(requests) * loadScale)
	s.sinceTotal.Store(s.unreported.Load())
}

func (s *serverStats) decay() {
	count := s.requests.Swap(0) + s.openings.Swap(0)
	s.decayed.Store(int64(float64(s.decayed.Load())*decayFactor) + count*loadScale)
}

// takeOutcome returns the counts since the last call and resets them. ok is false if
// there is nothing to report because no request was unanswered recently.
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

// totalLoad returns the load of all entry instances in units of 1/loadScale requests,
// as far as it is known.
func (s *serverStats) totalLoad() int64 { return s.lastTotal.Load() + s.sinceTotal.Load()*loadScale }

// localLoad returns this instance's load in units of 1/loadScale packets.
func (s *serverStats) localLoad() int64 {
	return s.decayed.Load() + (s.requests.Load()+s.openings.Load())*loadScale
}

// recordAnswer records that the backend server answered a caller.
func (s *serverStats) recordAnswer(now time.Time) {
	if s.misses.Load() != 0 {
		s.misses.Store(0)
	}
	s.centre.recordAnswer(now)
}

// acquireOpening reports whether a cold backend server may get a new flow now. If so, the
// next one is allowed in the next window, which is half a period later at least: windows
// move when the number of entry instances changes.
func (s *serverStats) acquireOpening(window openingWindow, now time.Time) bool {
	due := s.nextOpening.Load()
	began, open := window.at(now)
	next := max(began+int64(window.period), now.UnixNano()+int64(window.period/2))
	return open && now.UnixNano() >= due && s.nextOpening.CompareAndSwap(due, next)
}

// mayOpen reports whether a cold backend server may get a new flow now, without
// acquiring it.
func (s *serverStats) mayOpen(window openingWindow, now time.Time) bool {
	_, open := window.at(now)
	return open && now.UnixNano() >= s.nextOpening.Load()
}

// unresponsive reports whether the backend server has left packets unanswered for long
// enough to be considered dead if its heartbeats are overdue as well.
func (s *serverStats) unresponsive(now time.Time) bool {
	return s.misses.Load() >= deadMisses && now.UnixNano()-s.firstMiss.Load() >= int64(deadTimeout)
}

// recordMiss records a packet without an answer.
func (s *serverStats) recordMiss(now time.Time) {
	if s.misses.Add(1) == 1 {
		s.firstMiss.Store(now.UnixNano())
	}
	s.lastMiss.Store(now.UnixNano())
	s.nextProbe.Store(now.Add(probeInterval).UnixNano())
	s.centre.recordMiss(now)
}

// expireMisses discards the misses if the last one is older than missLifetime.
func (s *serverStats) expireMisses(now time.Time) {
	if now.UnixNano()-s.lastMiss.Load() >= int64(missLifetime) {
		s.misses.Store(0)
	}
}

// mayProbe reports whether the backend server may get an opening packet. One that is
// only probed may get one per probeInterval, to detect whether it answers again.
func (s *serverStats) mayProbe(now time.Time) bool {
	return s.misses.Load() < probeMisses || now.UnixNano() >= s.nextProbe.Load()
}

// acquireProbe acquires what mayProbe allows: it returns false if the backend server is
// only probed and its probe was acquired within probeInterval.
func (s *serverStats) acquireProbe(now time.Time) bool {
	if s.misses.Load() < probeMisses {
		return true
	}
	due := s.nextProbe.Load()
	return now.UnixNano() >= due && s.nextProbe.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}
