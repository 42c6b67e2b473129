package zfcookie

import (
	"sync/atomic"
	"time"

	zf "zinniafront"
)

const (
	// minMedianSamples is the number of samples from which a median is used as a bound.
	minMedianSamples = 8
	// maxMedianStep and minMedianStep bound how far a sample moves a median.
	maxMedianStep = 0.5
	minMedianStep = 0.03
	// rejectedStep is how far an answer to a rejected request moves a median. It is small,
	// since an overloaded backend server rejects most requests.
	rejectedStep = 0.002
	// minMedian is the lower bound of a median, so that it can grow again.
	minMedian = 50 * time.Microsecond
	// maxAnswerFactor bounds a sample relative to the route's median, so that a single
	// slow request is no evidence.
	maxAnswerFactor = 8
	// rejectedFactor is the share of the route's median below which a request can't have
	// been processed: the backend server rejected it.
	rejectedFactor = 0.125
	// maxRoundTripFactor bounds the round trip of a flow relative to the route's median:
	// the packet that ended its handshake may have been lost once.
	maxRoundTripFactor = 2
)

// medianTime is a running estimate of the median of a time.
type medianTime struct {
	nanoseconds float64
	samples     int
}

// add moves the estimate by a sample.
func (m *medianTime) add(sample time.Duration) {
	m.samples++
	m.move(sample, min(max(1/float64(m.samples), minMedianStep), maxMedianStep))
}

// move moves the estimate towards a sample by at most a share of it.
func (m *medianTime) move(sample time.Duration, share float64) {
	value := float64(max(sample, minMedian))
	step := 1 + share
	switch {
	case m.nanoseconds == 0:
		m.nanoseconds = value
	case value > m.nanoseconds:
		m.nanoseconds = min(m.nanoseconds*step, value)
	case value < m.nanoseconds:
		m.nanoseconds = max(m.nanoseconds/step, value)
	}
}

// scaled returns the median times a factor; ok is false while there are too few samples.
func (m *medianTime) scaled(factor float64) (scaled time.Duration, ok bool) {
	return time.Duration(m.nanoseconds * factor), m.samples >= minMedianSamples
}

// routeTimes holds what was learned of the requests of a route. The mutex of the request
// table guards it.
type routeTimes struct {
	roundTrip medianTime
	answer    medianTime
}

// requestTiming follows the round trip of a flow and the times of its requests.
type requestTiming struct {
	// times belongs to the route, or is nil if no times are learned.
	times *routeTimes
	// openedAt is when the opening packet arrived, in Unix nanoseconds, or 0.
	openedAt int64
	// roundTrip is that of the handshake, or 0 if it is not known.
	roundTrip time.Duration
	// counted is true from the first acknowledgement of a counted answer to the next
	// request: the bytes acknowledged belong to the answer.
	counted bool
	// deferred is true once the caller acknowledged an answer with the next request only. It
	// may then end the flow long after the last answer.
	deferred bool
}

// newTiming returns the timing of a flow that an opening packet opens. The round trip of a
// retransmitted one is not known: the answer may be to an earlier copy.
func newTiming(times *routeTimes, packet *zf.Packet, now time.Time) requestTiming {
	timing := requestTiming{
		times: times,
	}
	if packet.Retransmissions == 0 {
		timing.openedAt = now.UnixNano()
	}
	return timing
}

// endHandshake measures the round trip at the first packet after the opening packet.
func (t *requestTiming) endHandshake(now time.Time) {
	if t.times == nil || t.openedAt == 0 {
		return
	}
	t.roundTrip = max(time.Duration(now.UnixNano()-t.openedAt), 1)
	t.openedAt = 0
	t.times.roundTrip.add(t.roundTrip)
}

// bestRoundTrip returns the round trip of the flow or, if it is not known, that of the
// route; ok is false if neither is known.
func (t *requestTiming) bestRoundTrip() (roundTrip time.Duration, ok bool) {
	bound, known := t.times.roundTrip.scaled(maxRoundTripFactor)
	switch {
	case t.roundTrip == 0:
		return bound / maxRoundTripFactor, known
	case known:
		return min(t.roundTrip, bound), true
	default:
		return t.roundTrip, true
	}
}

// acknowledgement is a packet of the caller that carries no request.
type acknowledgement struct {
	number uint32
	at     time.Time
	// prompt is true if the caller sent it as soon as it had the answer, and this
	// instance received it then.
	prompt bool
	// closing is true if the packet ends the flow.
	closing bool
}

// acknowledgement returns what a packet without a payload acknowledges. It is not prompt if
// it may have waited for this instance during a suspension.
func (m *Mapper) acknowledgement(packet *zf.Packet, now time.Time) acknowledgement {
	return acknowledgement{
		number: packet.Acknowledged,
		at:     now,
		prompt: m.room != nil && !m.suspended(now) && !m.resumed(now),

		closing: packet.Kind == zf.PacketClosing,
	}
}

// learnAnswer counts the answer that an acknowledgement proves. It is called before the
// request is marked as answered.
func (r *requestRow) learnAnswer(a acknowledgement) {
	if r.timing.times == nil {
		return
	}
	if a.prompt {
		r.timing.endHandshake(a.at)
	}
	r.timing.openedAt = 0
	switch {
	case r.timing.counted:
		r.learnBytes(r.lastAcknowledged, a.number)
	case !a.prompt || a.closing && r.timing.deferred:
	case r.requestedAt == 0 || r.retransmissions > 0 || int32(a.number-r.acknowledgedBefore) <= 0:
	default:
		r.learnTime(time.Duration(a.at.UnixNano()-r.lastData), a.number)
	}
}

// learnTime counts an answer whose first bytes were acknowledged a time after the last
// packet of the request.
func (r *requestRow) learnTime(elapsed time.Duration, acknowledged uint32) {
	roundTrip, ok := r.timing.bestRoundTrip()
	if !ok {
		return
	}
	times := r.timing.times
	took := max(elapsed-roundTrip, 0)
	shortest, known := times.answer.scaled(rejectedFactor)
	longest, _ := times.answer.scaled(maxAnswerFactor)
	if known && took < shortest {
		times.answer.move(took, rejectedStep)
		r.stats.answers.rejected.Add(1)
		return
	}
	times.answer.add(took)
	if known {
		took = min(took, longest)
	}
	r.stats.answers.count.Add(1)
	r.stats.answers.busy.Add(int64(took))
	r.timing.counted = true
	r.learnBytes(r.acknowledgedBefore, acknowledged)
}

// learnRest counts the bytes of the last answer that the next request acknowledges. queued
// is that of recordData.
func (r *requestRow) learnRest(acknowledged uint32, queued bool, now time.Time) {
	if !queued {
		r.timing.endHandshake(now)
	}
	r.timing.openedAt = 0
	if r.timing.counted {
		r.learnBytes(r.lastAcknowledged, acknowledged)
		r.timing.counted = false
	}
	if r.requestedAt != 0 && int32(acknowledged-r.acknowledgedBefore) > 0 {
		r.timing.deferred = true
	}
}

func (r *requestRow) learnBytes(before, acknowledged uint32) {
	if bytes := int32(acknowledged - before); bytes > 0 {
		r.stats.answers.bytes.Add(int64(bytes))
	}
}

// answerStats counts the answers of a backend server since the last report of loads.
type answerStats struct {
	count    atomic.Int64
	rejected atomic.Int64
	busy     atomic.Int64
	bytes    atomic.Int64
}

// take adds the counts to a load and resets them.
func (s *answerStats) take(load *zf.ServerLoad) {
	load.Answers = int(s.count.Swap(0))
	load.Rejected = int(s.rejected.Swap(0))
	load.Busy = time.Duration(s.busy.Swap(0))
	load.Bytes = int(s.bytes.Swap(0))
}
