package zfcookie

import (
	"sync"
	"time"

	zf "zinniafront"
)

const (
	// requestRows is the size of the table: at 1,000 requests a second a second one
	// is kept for two seconds, longer than callers wait before they repeat a packet.
	requestRows = 2048
	// answerTimeout is the time after which a request counts as unanswered. Requests
	// take some 20 ms; the shortest deadlines of callers are half a second.
	answerTimeout = 400 * time.Millisecond
	// maxSweepGap is the time between two looks at the table after which this instance
	// was suspended, and answers are not late but not seen.
	maxSweepGap = 5 * decayInterval
	// flowIdleTimeout is the time without a request after which a flow may have ended unseen;
	// backend servers close idle flows after 12 to 15 seconds.
	flowIdleTimeout = 12 * time.Second
)

// requestTable remembers the latest packets that ask for an answer, to see which of
// them callers repeat and which requests get none.
type requestTable struct {
	mutex     sync.Mutex
	rows      [requestRows]requestRow
	lastSweep time.Time
}

// requestRow is the last packet of a flow that asked for an answer.
type requestRow struct {
	hash uint64
	flow zf.Flow
	// stats is that of the backend server that got the packet.
	stats *serverStats
	// lastData is when the flow's last packet with data came, in Unix nanoseconds, latest
	// what its caller acknowledged last.
	lastData         int64
	lastAcknowledged uint32
	// opening tells an opening packet from one with data, sequence is that of
	// the latter.
	opening  bool
	sequence uint32
	// requestedAt is when the request went out that waits for an answer, in Unix
	// nanoseconds, or 0. acknowledged is what the caller had got by then.
	requestedAt        int64
	acknowledgedBefore uint32
	// unanswered tells that the request was counted as unanswered.
	unanswered bool
}

// recordOpening notes an opening packet.
func (t *requestTable) recordOpening(hash uint64, stats *serverStats, flow *zf.Flow) {
	t.mutex.Lock()
	t.rows[hash%requestRows] = requestRow{
		hash:    hash,
		flow:    *flow,
		stats:   stats,
		opening: true,
	}
	t.mutex.Unlock()
}

// openingTarget returns the load of the backend server that got the flow's last opening
// packet and has not answered, or nil.
func (t *requestTable) openingTarget(hash uint64) *serverStats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if row := &t.rows[hash%requestRows]; row.hash == hash && row.opening {
		return row.stats
	}
	return nil
}

// recordData notes a packet with data. It reports whether the packet repeats the one
// before, and whether it shows that the opening packet or the request before it was
// answered.
func (t *requestTable) recordData(hash uint64, stats *serverStats, packet *zf.Packet, now time.Time) (retransmitted, answered bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := &t.rows[hash%requestRows]
	if row.hash != hash || row.stats != stats {
		*row = requestRow{
			hash:  hash,
			flow:  packet.Flow,
			stats: stats,
		}
	} else {
		retransmitted = !row.opening && row.sequence == packet.Sequence
		answered = row.markAnswered(packet.Acknowledged) || row.opening
	}
	row.opening = false
	row.sequence = packet.Sequence
	row.lastData = now.UnixNano()
	row.lastAcknowledged = packet.Acknowledged
	if row.requestedAt == 0 && !retransmitted {
		row.requestedAt = row.lastData
		row.acknowledgedBefore = packet.Acknowledged
	}
	return retransmitted, answered
}

// recordAcknowledgement notes a packet without data, which may show that a request was
// answered.
func (t *requestTable) recordAcknowledgement(hash uint64, stats *serverStats, acknowledged uint32) {
	t.mutex.Lock()
	if row := &t.rows[hash%requestRows]; row.hash == hash && row.stats == stats {
		row.markAnswered(acknowledged)
		row.lastAcknowledged = acknowledged
	}
	t.mutex.Unlock()
}

// recordEnd notes that the caller ends the flow.
func (t *requestTable) recordEnd(hash uint64, stats *serverStats, acknowledged uint32) {
	t.mutex.Lock()
	if row := &t.rows[hash%requestRows]; row.hash == hash && row.stats == stats {
		row.markAnswered(acknowledged)
		row.markUnanswered()
		*row = requestRow{}
	}
	t.mutex.Unlock()
}

// takeLastPackets returns the last packets of open flows of some backend servers that were used
// lately, and forgets these flows.
func (t *requestTable) takeLastPackets(dead map[*serverStats]bool, now time.Time) []zf.Packet {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var last []zf.Packet
	for i := range t.rows {
		row := &t.rows[i]
		if row.stats == nil || !dead[row.stats] || row.opening || now.UnixNano()-row.lastData >= int64(flowIdleTimeout) {
			continue
		}
		last = append(last, zf.Packet{
			Flow:         row.flow,
			Sequence:     row.sequence,
			Acknowledged: row.lastAcknowledged,
		})
		*row = requestRow{}
	}
	return last
}

// markAnswered counts the request as answered, and reports that, if the caller has got
// more since.
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

// markUnanswered counts the request as unanswered.
func (r *requestRow) markUnanswered() {
	if r.requestedAt != 0 && !r.unanswered {
		r.unanswered = true
		r.stats.unansweredRequests.Add(1)
	}
}

// sweep counts the requests that wait for too long. It reports whether this
// instance was suspended meanwhile; then all of them are forgotten.
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
