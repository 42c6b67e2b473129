package zfcookie

import (
	"sync"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfopening"
)

const (
	// requestRows is the size of the table. At 1,000 requests per second a row is
	// kept for about two seconds, longer than callers wait before a retransmission.
	requestRows = 2048
	// answerTimeout is the time after which a request counts as unanswered. Requests
	// take about 20 ms; the shortest deadlines of callers are half a second.
	answerTimeout = 400 * time.Millisecond
	// maxSweepGap is the time between two sweeps from which this instance is considered
	// to have been suspended: answers may have arrived without being observed.
	maxSweepGap = 5 * maintenanceInterval
	// flowIdleTimeout is the time without a request after which a flow may have ended
	// unobserved; backend servers close idle flows after 12 to 15 seconds.
	flowIdleTimeout = 12 * time.Second
)

// requestTable holds the most recent packets that expect an answer, to detect
// retransmissions and unanswered requests. It is a sample of fixed size: a row is
// overwritten by another flow whose hash selects the same row.
type requestTable struct {
	mutex     sync.Mutex
	rows      [requestRows]requestRow
	lastSweep time.Time
}

// requestRow holds the last packet of a flow that expected an answer.
type requestRow struct {
	hash uint64
	flow zf.Flow
	// stats belongs to the backend server that the packet was forwarded to.
	stats *serverStats
	// lastData is when the flow's last packet with a payload arrived, in Unix
	// nanoseconds. lastAcknowledged is the latest acknowledgement number of its caller.
	lastData         int64
	lastAcknowledged uint32
	// opening is true for an opening packet, which was forwarded at openedAt, in Unix
	// nanoseconds. sequence is the sequence number of a packet with a payload.
	opening  bool
	openedAt int64
	sequence uint32
	// ticket is that of the opening until the flow's next packet, or 0.
	ticket zfopening.Ticket
	// requestedAt is when the request that waits for an answer was forwarded, in Unix
	// nanoseconds, or 0. acknowledgedBefore is the caller's acknowledgement number at
	// that time.
	requestedAt        int64
	acknowledgedBefore uint32
	// retransmissions is how often the caller has retransmitted the request through this
	// instance. With none, the answer may have been acknowledged through another one.
	retransmissions int
	// unanswered is true if the request has been counted as unanswered.
	unanswered bool
	timing     requestTiming
}

// recordOpening records an opening packet.
func (t *requestTable) recordOpening(hash uint64, stats *serverStats, flow *zf.Flow, ticket zfopening.Ticket, timing requestTiming, now time.Time) {
	t.mutex.Lock()
	t.rows[hash%requestRows] = requestRow{
		hash:     hash,
		flow:     *flow,
		stats:    stats,
		opening:  true,
		openedAt: now.UnixNano(),
		ticket:   ticket,
		timing:   timing,
	}
	t.mutex.Unlock()
}

// openingTarget returns the statistics of the backend server that the flow's last
// opening packet was forwarded to and that has not answered, or nil, and when that was in
// Unix nanoseconds.
func (t *requestTable) openingTarget(hash uint64) (*serverStats, int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if row := &t.rows[hash%requestRows]; row.hash == hash && row.opening {
		return row.stats, row.openedAt
	}
	return nil, 0
}

// dataResult is what a packet with a payload shows.
type dataResult struct {
	// retransmitted is true if the packet retransmits the one before.
	retransmitted bool
	// answered is true if the opening packet or the previous request was answered.
	answered bool
	// abandoned is true if the request counts as abandoned.
	abandoned bool
	// previous is the number of another backend server that an earlier packet of the
	// open flow was forwarded to, or 0.
	previous uint64
	opened   openedFlow
}

// recordData records a packet with a payload. queued is true if it may have waited for this
// instance during a suspension: then it may have been answered through another one, and
// whether it is answered here is not followed.
func (t *requestTable) recordData(hash uint64, stats *serverStats, times *routeTimes, packet *zf.Packet, queued bool, now time.Time) dataResult {
	var result dataResult
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := &t.rows[hash%requestRows]
	result.opened = row.takeOpened(hash)
	if row.hash != hash || row.stats != stats {
		switch {
		case row.hash != hash:
		case row.opening:
			result.answered = true // A copy of the opening packet went to another backend server.
		case row.stats.number != stats.number:
			result.previous = row.stats.number
		}
		*row = requestRow{
			hash:  hash,
			flow:  packet.Flow,
			stats: stats,
			timing: requestTiming{
				times: times,
			},
		}
	} else {
		row.learnRest(packet.Acknowledged, queued, now)
		result.retransmitted = !row.opening && row.sequence == packet.Sequence
		result.answered = row.markAnswered(packet.Acknowledged) || row.opening
	}
	row.opening = false
	row.sequence = packet.Sequence
	row.lastData = now.UnixNano()
	row.lastAcknowledged = packet.Acknowledged
	switch {
	case queued:
	case result.retransmitted:
		row.retransmissions++
	case row.requestedAt == 0:
		row.retransmissions = 0
		row.requestedAt = row.lastData
		row.acknowledgedBefore = packet.Acknowledged
	}
	result.abandoned = row.abandoned(now)
	return result
}

// abandoned reports whether the backend server is taken for dead with its data centre: the
// request was retransmitted deadMisses times and has waited for deadTimeout, no backend server
// of the data centre has answered since it was sent, and openings there show that the data
// centre is not just slow.
func (r *requestRow) abandoned(now time.Time) bool {
	return r.requestedAt != 0 && r.retransmissions >= deadMisses && now.UnixNano()-r.requestedAt >= int64(deadTimeout) &&
		r.requestedAt > r.stats.centre.lastAnswer.Load() && r.stats.centre.opensNone(r.requestedAt, now)
}

// recordAcknowledgement records a packet without a payload, which may show that a
// request was answered.
func (t *requestTable) recordAcknowledgement(hash uint64, stats *serverStats, a acknowledgement) openedFlow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := &t.rows[hash%requestRows]
	if row.hash == hash && row.stats == stats {
		row.learnAnswer(a)
		row.markAnswered(a.number)
		row.lastAcknowledged = a.number
	}
	return row.takeOpened(hash)
}

// recordEnd records that the caller ends the flow. A request that still waits for its
// answer counts as unanswered.
func (t *requestTable) recordEnd(hash uint64, stats *serverStats, a acknowledgement) openedFlow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := &t.rows[hash%requestRows]
	opened := row.takeOpened(hash)
	if row.hash == hash && row.stats == stats {
		row.learnAnswer(a)
		row.markAnswered(a.number)
		row.markUnanswered()
		*row = requestRow{}
	}
	return opened
}

// takeEnded removes the open flows of dead backend servers from the table and
// returns them. Flows with a packet later than endedServer.until are left out, and those idle for
// flowIdleTimeout.
func (t *requestTable) takeEnded(dead map[*serverStats]endedServer, now time.Time) []zf.EndedFlow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ended []zf.EndedFlow
	for i := range t.rows {
		row := &t.rows[i]
		if row.stats == nil || row.opening || now.UnixNano()-row.lastData >= int64(flowIdleTimeout) {
			continue
		}
		server, ok := dead[row.stats]
		if !ok || row.lastData > server.until.UnixNano() {
			continue
		}
		ended = append(ended, row.takeFlow(server.reason))
	}
	return ended
}

// takeFlow empties a row and returns its flow.
func (r *requestRow) takeFlow(reason zf.Reason) zf.EndedFlow {
	ended := zf.EndedFlow{
		Last: zf.Packet{
			Flow:         r.flow,
			Sequence:     r.sequence,
			Acknowledged: r.lastAcknowledged,
		},
		Number: r.stats.number,
		Reason: reason,
	}
	*r = requestRow{}
	return ended
}

// waiting returns the requests that wait for their answers and were retransmitted.
func (t *requestTable) waiting(now time.Time) waitingRequests {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var result waitingRequests
	counted := make(map[*serverStats]bool)
	for i := range t.rows {
		row := &t.rows[i]
		if age := now.UnixNano() - row.requestedAt; row.requestedAt == 0 || row.retransmissions == 0 || age < int64(answerTimeout) || age >= int64(maxWait) {
			continue
		}
		if result.servers == nil {
			result.servers = make(map[*centreStats]int)
			result.requests = make(map[*centreStats]int)
		}
		centre := row.stats.centre
		result.total++
		result.requests[centre]++
		if row.requestedAt > centre.lastAnswer.Load() && !counted[row.stats] {
			counted[row.stats] = true
			result.servers[centre]++
		}
	}
	return result
}

// takeAbandoned removes the flows with abandoned requests to unresponsive data centres,
// and returns them.
func (t *requestTable) takeAbandoned(now time.Time) []zf.EndedFlow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ended []zf.EndedFlow
	for i := range t.rows {
		row := &t.rows[i]
		if row.abandoned(now) && row.stats.centre.unresponsive(false, now) {
			ended = append(ended, row.takeFlow(zf.ReasonCentreUnresponsive))
		}
	}
	return ended
}

// markAnswered counts the request as answered and returns true if the caller has
// acknowledged more data since the request.
func (r *requestRow) markAnswered(acknowledged uint32) bool {
	if r.requestedAt == 0 || int32(acknowledged-r.acknowledgedBefore) <= 0 {
		return false
	}
	if !r.unanswered {
		r.stats.answeredRequests.Add(1)
	}
	r.requestedAt = 0
	r.unanswered = false
	return true
}

// markUnanswered counts the request, if one is waiting, as unanswered.
func (r *requestRow) markUnanswered() {
	if r.requestedAt != 0 && !r.unanswered {
		r.unanswered = true
		r.stats.unansweredRequests.Add(1)
	}
}

// sweep counts requests that exceed answerTimeout as unanswered. It reports whether
// this instance was suspended since the last sweep; if so, all waiting requests are
// discarded instead.
func (t *requestTable) sweep(now time.Time) (suspended bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	suspended = !t.lastSweep.IsZero() && now.Sub(t.lastSweep) >= maxSweepGap
	t.lastSweep = now
	for i := range t.rows {
		switch row := &t.rows[i]; {
		case row.requestedAt == 0:
		case suspended:
			row.requestedAt = 0
		case now.UnixNano()-row.requestedAt >= int64(answerTimeout):
			row.markUnanswered()
		}
	}
	return suspended
}
