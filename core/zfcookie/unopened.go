package zfcookie

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// unopenedRows is the number of callers whose last unanswered opening packet to a data
	// centre is kept.
	unopenedRows = 8
	// openingTimeout is the time after which a copy of an opening packet shows that the one
	// before had no answer. Callers wait for 200 ms; earlier copies were duplicated.
	openingTimeout = 100 * time.Millisecond
	// abandonedOpenings is the number of callers and of backend servers with unanswered opening
	// packets that show, all forwarded after a request, that its data centre is not just slow.
	abandonedOpenings = 2
	// earlierOpenings is the number of callers, and unresponsiveServers that of backend servers,
	// if some were forwarded before the request. Single packets are lost at any time, and more
	// of them in a longer time.
	earlierOpenings = 4
	// unopenedLifetime is how long an unanswered opening packet counts that was forwarded before
	// the request.
	unopenedLifetime = 3 * time.Second
)

// unopenedTable holds the last opening packets to one data centre that had no answer, one of
// each caller. A slow backend server accepts new flows at once, one that is dead or cut off doesn't.
type unopenedTable struct {
	mutex sync.Mutex
	rows  [unopenedRows]unopenedOpening
}

// unopenedOpening is the last unanswered opening packet of a caller.
type unopenedOpening struct {
	caller netip.Addr
	stats  *serverStats
	// sentAt is when it was forwarded, in Unix nanoseconds.
	sentAt int64
}

// record records an opening packet in place of the caller's last one, or of the earliest.
func (t *unopenedTable) record(opening unopenedOpening) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	replaced := &t.rows[0]
	for i := range t.rows {
		row := &t.rows[i]
		if row.caller == opening.caller {
			replaced = row
			break
		}
		if row.sentAt < replaced.sentAt {
			replaced = row
		}
	}
	*replaced = opening
}

// since returns the number of callers whose opening packets were forwarded since then and had
// no answer, and that of their backend servers.
func (t *unopenedTable) since(at int64) (callers, servers int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i, row := range t.rows {
		if row.stats == nil || row.sentAt < at {
			continue
		}
		callers++
		counted := func(earlier unopenedOpening) bool { return earlier.stats == row.stats && earlier.sentAt >= at }
		if !slices.ContainsFunc(t.rows[:i], counted) {
			servers++
		}
	}
	return callers, servers
}

// opensNone reports whether opening packets show that the data centre, which has not answered
// since a request, is not just slow. Those before the request count as well, if none has been
// answered since, where evidence from openings sends new flows elsewhere: later ones may be missing.
func (c *centreStats) opensNone(requestedAt int64, now time.Time) bool {
	if callers, servers := c.unopened.since(requestedAt); callers >= abandonedOpenings && servers >= abandonedOpenings {
		return true
	}
	if !c.avoided {
		return false
	}
	callers, servers := c.unopened.since(max(c.lastAnswer.Load(), now.Add(-unopenedLifetime).UnixNano()))
	return callers >= earlierOpenings && servers >= unresponsiveServers
}

// recordCopy records that a caller sent an opening packet again. It returns the statistics of
// the backend server that left the one before unanswered, or nil.
func (m *Mapper) recordCopy(hash uint64, caller netip.Addr, now time.Time) *serverStats {
	previous, sentAt := m.requests.openingTarget(hash)
	if previous == nil {
		return nil
	}
	m.recordMiss(previous, now)
	if now.UnixNano()-sentAt >= int64(openingTimeout) {
		previous.centre.unopened.record(unopenedOpening{
			caller: caller,
			stats:  previous,
			sentAt: sentAt,
		})
	}
	return previous
}
