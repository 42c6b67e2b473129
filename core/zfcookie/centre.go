package zfcookie

import (
	"slices"
	"sync/atomic"
	"time"

	zf "zinniafront"
)

const (
	// unresponsiveServers is the number of backend servers of a data centre that must
	// have left a request unanswered before the data centre is unresponsive.
	unresponsiveServers = 3
	// unresponsiveContrast is how many times more of them there must be than requests
	// that wait as long in other data centres. Where all requests take long, the silence
	// of one data centre proves nothing.
	unresponsiveContrast = 4
	// maxWait bounds the age of the requests that count. The callers of older ones may
	// have given up.
	maxWait = 3 * answerTimeout
	// unresponsiveTimeout is how long a data centre counts as unresponsive. Packets sent
	// afterwards show whether it answers again.
	unresponsiveTimeout = time.Second
	// silentMisses is the number of unanswered packets, without any answer of the data
	// centre in between, after which new flows leave for it only as probes. Each of its
	// backend servers may be probed, which together would take all flows that leave.
	silentMisses = 3
)

// centreStats holds this instance's statistics of the backend servers of one data
// centre. They fail together when the data centre loses power or is cut off, which their
// common silence shows long before each one's heartbeats are overdue.
type centreStats struct {
	name zf.CentreName
	// lastAnswer is when any of the backend servers last answered a caller,
	// unresponsiveAt when the data centre was last found unresponsive, in Unix
	// nanoseconds.
	lastAnswer     atomic.Int64
	unresponsiveAt atomic.Int64
	// misses counts the unanswered packets since the last answer. nextProbe is the earliest
	// time of the next new flow that leaves for a silent data centre, in Unix nanoseconds.
	misses    atomic.Int32
	nextProbe atomic.Int64
	// unopened holds the evidence that the data centre is not just slow. avoided is set if new
	// flows leave backend servers and data centres by evidence from openings.
	unopened unopenedTable
	avoided  bool
}

// recordAnswer records that a backend server of the data centre answered a caller.
func (c *centreStats) recordAnswer(now time.Time) {
	// Most answers are not stored: the variable is shared by all traffic goroutines.
	if at := now.UnixNano(); at-c.lastAnswer.Load() >= int64(time.Millisecond) {
		c.lastAnswer.Store(at)
	}
	if c.misses.Load() != 0 {
		c.misses.Store(0)
	}
}

// recordMiss records that a backend server of the data centre left a packet unanswered.
func (c *centreStats) recordMiss(now time.Time) {
	if c.misses.Add(1) == silentMisses {
		c.nextProbe.Store(now.Add(probeInterval).UnixNano())
	}
}

// acquireProbe reports whether a new flow may leave for the data centre: while that is silent,
// one in each probeInterval.
func (c *centreStats) acquireProbe(now time.Time) bool {
	if c.misses.Load() < silentMisses {
		return true
	}
	due := c.nextProbe.Load()
	return now.UnixNano() >= due && c.nextProbe.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}

// mayProbe reports what acquireProbe would, without acquiring.
func (c *centreStats) mayProbe(now time.Time) bool {
	return c.misses.Load() < silentMisses || now.UnixNano() >= c.nextProbe.Load()
}

// unresponsive reports whether the data centre was found unresponsive and has not
// answered since. This holds for unresponsiveTimeout, or with late, when heartbeats are
// overdue as well, until clearUnresponsive finds that some are not.
func (c *centreStats) unresponsive(late bool, now time.Time) bool {
	at := c.unresponsiveAt.Load()
	return at > c.lastAnswer.Load() && (late || now.UnixNano()-at < int64(unresponsiveTimeout))
}

// waitingRequests describes the requests that have waited for their answers for
// answerTimeout, but not for maxWait, and that callers have retransmitted.
type waitingRequests struct {
	// servers counts, for each data centre that has not answered any later request, the
	// backend servers at which requests wait.
	servers map[*centreStats]int
	// requests counts the requests of each data centre.
	requests map[*centreStats]int
	total    int
}

// detectUnresponsiveCentres finds the data centres whose backend servers have fallen
// silent together. Others there may still live, so that only the flows with abandoned
// requests are ended.
func (m *Mapper) detectUnresponsiveCentres(now time.Time) {
	waiting := m.requests.waiting(now)
	for centre, servers := range waiting.servers {
		elsewhere := waiting.total - waiting.requests[centre]
		if servers < unresponsiveServers || servers < unresponsiveContrast*elsewhere || !m.otherCentreAnswers(centre, now) {
			continue
		}
		centre.unresponsiveAt.Store(now.UnixNano())
	}
	m.endedFlows = append(m.endedFlows, m.requests.takeAbandoned(now)...)
}

// clearUnresponsive ends the unresponsiveness, after unresponsiveTimeout, of the data
// centres where a backend server's heartbeats are not overdue.
func (m *Mapper) clearUnresponsive(rows []zf.ServerView, now time.Time) {
	for _, row := range rows {
		if row.State == zf.ServerGone || row.Late {
			continue
		}
		centre := m.centreOf(row.Centre)
		if at := centre.unresponsiveAt.Load(); at != 0 && now.UnixNano()-at >= int64(unresponsiveTimeout) {
			centre.unresponsiveAt.Store(0)
		}
	}
}

// otherCentreAnswers reports whether another data centre has answered recently. If none
// has, this instance may be the one that is cut off.
func (m *Mapper) otherCentreAnswers(centre *centreStats, now time.Time) bool {
	for _, other := range m.centres {
		if other != centre && now.UnixNano()-other.lastAnswer.Load() < int64(answerTimeout) {
			return true
		}
	}
	return false
}

// UnresponsiveCentres implements zinniafront.Observer.
func (m *Mapper) UnresponsiveCentres(now time.Time) []zf.CentreName {
	var names []zf.CentreName
	for _, centre := range m.centres {
		if centre.unresponsive(false, now) {
			names = append(names, centre.name)
		}
	}
	slices.Sort(names)
	return names
}

// centreOf returns the statistics of a data centre, which are kept for good: there are
// few data centres.
func (m *Mapper) centreOf(name zf.CentreName) *centreStats {
	centre := m.centres[name]
	if centre == nil {
		centre = &centreStats{
			name:    name,
			avoided: m.config.Openings,
		}
		m.centres[name] = centre
	}
	return centre
}
