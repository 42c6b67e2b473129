package zfcookie

import (
	"sync"
	"time"

	zf "zinniafront"
)

const (
	// attemptRows is the size of the table: at 1,000 requests a second a second one
	// is kept for two seconds, longer than callers wait before they repeat a packet.
	attemptRows = 2048
	// overdueAfter is the time after which a request counts as unanswered. Requests
	// take some 20 ms; the shortest deadlines of callers are half a second.
	overdueAfter = 400 * time.Millisecond
	// mostGap is the time between two looks at the table after which this instance
	// was suspended, and answers are not late but not seen.
	mostGap = 5 * decayEvery
	// idleTime is the time without a request after which a flow may have ended unseen;
	// backend servers close idle flows after 12 to 15 seconds.
	idleTime = 12 * time.Second
)

// attempts remembers the latest packets that ask for an answer, to see which of
// them callers repeat and which requests get none.
type attempts struct {
	mutex sync.Mutex
	rows  [attemptRows]attempt
	swept time.Time
}

// attempt is the last packet of a flow that asked for an answer.
type attempt struct {
	hash uint64
	flow zf.Flow
	// load is that of the backend server that got the packet.
	load *load
	// seen is when the flow's last packet with data came, in Unix nanoseconds, latest
	// what its caller acknowledged last.
	seen   int64
	latest uint32
	// opening tells an opening packet from one with data, sequence is that of
	// the latter.
	opening  bool
	sequence uint32
	// asked is when the request went out that waits for an answer, in Unix
	// nanoseconds, or 0. acknowledged is what the caller had got by then.
	asked        int64
	acknowledged uint32
	// overdue tells that the request was counted as unanswered.
	overdue bool
}

// open notes an opening packet.
func (a *attempts) open(hash uint64, l *load, flow *zf.Flow) {
	a.mutex.Lock()
	a.rows[hash%attemptRows] = attempt{
		hash:    hash,
		flow:    *flow,
		load:    l,
		opening: true,
	}
	a.mutex.Unlock()
}

// opened returns the load of the backend server that got the flow's last opening
// packet and has not answered, or nil.
func (a *attempts) opened(hash uint64) *load {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if row := &a.rows[hash%attemptRows]; row.hash == hash && row.opening {
		return row.load
	}
	return nil
}

// send notes a packet with data. It reports whether the packet repeats the one
// before, and whether it shows that the opening packet or the request before it was
// answered.
func (a *attempts) send(hash uint64, l *load, packet *zf.Packet, now time.Time) (repeated, answered bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	row := &a.rows[hash%attemptRows]
	if row.hash != hash || row.load != l {
		*row = attempt{
			hash: hash,
			flow: packet.Flow,
			load: l,
		}
	} else {
		repeated = !row.opening && row.sequence == packet.Sequence
		answered = row.advance(packet.Acknowledged) || row.opening
	}
	row.opening = false
	row.sequence = packet.Sequence
	row.seen = now.UnixNano()
	row.latest = packet.Acknowledged
	if row.asked == 0 && !repeated {
		row.asked = row.seen
		row.acknowledged = packet.Acknowledged
	}
	return repeated, answered
}

// acknowledge notes a packet without data, which may show that a request was
// answered.
func (a *attempts) acknowledge(hash uint64, l *load, acknowledged uint32) {
	a.mutex.Lock()
	if row := &a.rows[hash%attemptRows]; row.hash == hash && row.load == l {
		row.advance(acknowledged)
		row.latest = acknowledged
	}
	a.mutex.Unlock()
}

// end notes that the caller ends the flow.
func (a *attempts) end(hash uint64, l *load, acknowledged uint32) {
	a.mutex.Lock()
	if row := &a.rows[hash%attemptRows]; row.hash == hash && row.load == l {
		row.advance(acknowledged)
		row.fail()
		*row = attempt{}
	}
	a.mutex.Unlock()
}

// take returns the last packets of open flows of some backend servers that were used
// lately, and forgets these flows.
func (a *attempts) take(dead map[*load]bool, now time.Time) []zf.Packet {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var last []zf.Packet
	for i := range a.rows {
		row := &a.rows[i]
		if row.load == nil || !dead[row.load] || row.opening || now.UnixNano()-row.seen >= int64(idleTime) {
			continue
		}
		last = append(last, zf.Packet{
			Flow:         row.flow,
			Sequence:     row.sequence,
			Acknowledged: row.latest,
		})
		*row = attempt{}
	}
	return last
}

// advance counts the request as answered, and reports that, if the caller has got
// more since.
func (r *attempt) advance(acknowledged uint32) bool {
	if r.asked == 0 || int32(acknowledged-r.acknowledged) <= 0 {
		return false
	}
	if !r.overdue {
		r.load.done.Add(1)
	}
	r.asked = 0
	r.overdue = false
	return true
}

// fail counts the request as unanswered.
func (r *attempt) fail() {
	if r.asked != 0 && !r.overdue {
		r.overdue = true
		r.load.undone.Add(1)
	}
}

// sweep counts the requests that wait for too long. It reports whether this
// instance was suspended meanwhile; then all of them are forgotten.
func (a *attempts) sweep(now time.Time) (suspended bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	suspended = !a.swept.IsZero() && now.Sub(a.swept) >= mostGap
	a.swept = now
	for i := range a.rows {
		switch row := &a.rows[i]; {
		case row.asked == 0:
		case suspended:
			row.asked = 0
		case now.UnixNano()-row.asked >= int64(overdueAfter):
			row.fail()
		}
	}
	return suspended
}
