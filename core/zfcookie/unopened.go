package zfcookie

import (
	"net/netip"
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
	// unopenedLifetime is how long an unanswered opening packet counts.
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

// severalSince reports whether opening packets of two callers at two backend servers that
// were forwarded since then had no answer.
func (t *unopenedTable) severalSince(since int64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var first *serverStats
	for _, row := range t.rows {
		switch {
		case row.sentAt < since:
		case first == nil:
			first = row.stats
		case row.stats != first:
			return true
		}
	}
	return false
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
