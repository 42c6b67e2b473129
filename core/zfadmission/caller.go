package zfadmission

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// callerSets and callersInSet are the size of the table of callers.
	callerSets   = 512
	callersInSet = 8
	// decayTime is the time after which an opening counts 1/e: long enough for the few
	// openings a second that one instance sees of a caller.
	decayTime = 3 * time.Second
	// retryTime is the time after a refusal in which a caller's next opening counts as a
	// retry.
	retryTime = time.Second
)

// callerTable counts the openings of callers by service and priority. It has a fixed
// size; a new caller replaces the one of its set with the fewest openings. It is safe for
// concurrent use.
type callerTable struct {
	seed uint64
	sets [callerSets]callerSet
}

type callerSet struct {
	mutex sync.Mutex
	rows  [callersInSet]callerRow
}

// callerRow counts the openings of one caller to one class.
type callerRow struct {
	address netip.Addr
	class   *class
	// openings is a decayed count, valid at countedAt, in Unix nanoseconds.
	openings  float64
	countedAt int64
	// retryShare is the share of retries among the latest openings.
	retryShare float64
	// refusals is the number of refused openings that the caller has not tried again
	// yet, refusedAt the time of the last one in Unix nanoseconds.
	refusals  int
	refusedAt int64
}

func (r *callerRow) decay(now int64) {
	if now <= r.countedAt {
		return
	}
	r.openings *= math.Exp(-float64(now-r.countedAt) / float64(decayTime))
	r.countedAt = now
}

// setOf returns the set of a caller.
func (t *callerTable) setOf(address netip.Addr) *callerSet {
	bytes := address.As16()
	return &t.sets[xxh3.HashSeed(bytes[:], t.seed)%callerSets]
}

// find returns the row of a caller, with its counts as of now, or a new one in the place
// of another caller's. The set's mutex must be held.
func (s *callerSet) find(address netip.Addr, of *class, now int64) *callerRow {
	least := &s.rows[0]
	for i := range s.rows {
		r := &s.rows[i]
		if r.class == of && r.address == address {
			r.decay(now)
			return r
		}
		r.decay(now)
		if r.openings < least.openings {
			least = r
		}
	}
	*least = callerRow{
		address:   address,
		class:     of,
		countedAt: now,
	}
	return least
}

// copyOf returns a copy of the row of a caller as of now, an empty one if there is none.
func (t *callerTable) copyOf(address netip.Addr, of *class, now int64) callerRow {
	set := t.setOf(address)
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, r := range set.rows {
		if r.class == of && r.address == address {
			r.decay(now)
			return r
		}
	}
	return callerRow{
		address:   address,
		class:     of,
		countedAt: now,
	}
}

// admittedShare counts an opening, and returns the share of such openings that is admitted
// and whether it is the retry of a refused one.
func (r *callerRow) admittedShare(limit classLimit, now int64) (share float64, retry bool) {
	retry = r.recordOpening(now)
	share, retryShare := limit.admittedShares(r.count())
	if retry {
		share = retryShare
	}
	return share, retry
}

// retryWeight is the weight of one opening in callerRow.retryShare.
const retryWeight = 0.3

// recordOpening counts an opening and reports whether it is the retry of a refused one.
func (r *callerRow) recordOpening(now int64) bool {
	r.openings++
	r.retryShare -= retryWeight * r.retryShare
	if now-r.refusedAt >= int64(retryTime) {
		r.refusals = 0
	}
	if r.refusals == 0 {
		return false
	}
	r.refusals--
	r.retryShare += retryWeight
	return true
}

// count returns the row's counts.
func (r *callerRow) count() callerCount {
	return callerCount{
		openings:   r.openings,
		retryShare: r.retryShare,
	}
}

// recordRefusal records that an opening was turned away or has failed.
func (r *callerRow) recordRefusal(now int64) {
	r.refusals++
	r.refusedAt = now
}

// minOpenings is the decayed count below which a row is removed.
const minOpenings = 0.05

// callerCount holds the counts of one row.
type callerCount struct {
	openings   float64
	retryShare float64
}

// counts returns the counts of all callers by class, and removes rows that are out of
// use.
func (t *callerTable) counts(now int64) map[*class][]callerCount {
	counts := make(map[*class][]callerCount)
	for i := range t.sets {
		s := &t.sets[i]
		s.mutex.Lock()
		for j := range s.rows {
			r := &s.rows[j]
			if r.class == nil {
				continue
			}
			r.decay(now)
			if r.openings < minOpenings {
				*r = callerRow{}
				continue
			}
			counts[r.class] = append(counts[r.class], r.count())
		}
		s.mutex.Unlock()
	}
	return counts
}

// clear removes all rows.
func (t *callerTable) clear() {
	for i := range t.sets {
		s := &t.sets[i]
		s.mutex.Lock()
		s.rows = [callersInSet]callerRow{}
		s.mutex.Unlock()
	}
}
