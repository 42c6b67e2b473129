package zfadmission

import (
	"slices"
	"sync/atomic"
	"time"

	zf "zinniafront"
)

// Config configures the admission of an entry instance.
type Config struct {
	// Seed is the seed of the hash that assigns callers to rows, secret so that callers
	// can't choose collisions.
	Seed uint64
}

// Callers implements zinniafront.Admission. It counts the openings of each caller while
// a limit is in force.
type Callers struct {
	current  atomic.Pointer[plan]
	table    callerTable
	refused  refusedFlows
	services map[zf.ServiceName]*service
	limits   []zf.AdmissionLimit
	lastPlan time.Time
}

// service holds the classes of one service.
type service struct {
	name    zf.ServiceName
	classes [classCount]class
}

// class holds the counts of the openings of one priority since the start.
type class struct {
	admitted atomic.Int64
	refused  atomic.Int64
	retried  atomic.Int64
}

// NewCallers returns an admission without limits.
func NewCallers(config Config) *Callers {
	return &Callers{
		table: callerTable{
			seed: config.Seed,
		},
		services: make(map[zf.ServiceName]*service),
	}
}

// planInterval is the time between two computations of the limits by the counts of
// callers.
const planInterval = 250 * time.Millisecond

// Tick implements zinniafront.Admission.
func (c *Callers) Tick(now time.Time, limits []zf.AdmissionLimit) {
	if len(limits) == 0 {
		c.current.Store(nil)
		c.limits = nil
		return
	}
	if now.Sub(c.lastPlan) < planInterval && slices.Equal(limits, c.limits) {
		return
	}
	if c.current.Load() == nil {
		c.table.clear()
		c.refused.clear()
	}
	c.limits = limits
	c.lastPlan = now
	counts := c.table.counts(now.UnixNano())
	next := &plan{}
	for _, limit := range limits {
		next.services = append(next.services, newServicePlan(c.serviceOf(limit.Service), limit.Share, counts))
	}
	c.current.Store(next)
}

// serviceOf returns the classes of a service, which are kept since the rows of callers
// refer to them.
func (c *Callers) serviceOf(name zf.ServiceName) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			name: name,
		}
		c.services[name] = s
	}
	return s
}

// Admit implements zinniafront.Admission.
func (c *Callers) Admit(opening zf.Opening, now time.Time) bool {
	class, limit := c.limitOf(&opening)
	if class == nil {
		return true
	}
	if opening.Retransmissions > 0 {
		return c.admitCopy(&opening, class, now.UnixNano())
	}
	admitted := c.admitFirst(&opening, class, limit, now.UnixNano())
	c.refused.record(opening.Hash, !admitted)
	return admitted
}

// Would implements zinniafront.Admission.
func (c *Callers) Would(opening zf.Opening, now time.Time) bool {
	class, limit := c.limitOf(&opening)
	if class == nil {
		return true
	}
	row := c.table.copyOf(opening.Flow.Source.Addr(), class, now.UnixNano())
	share, _ := row.admittedShare(limit, now.UnixNano())
	return fraction(opening.Hash) < share
}

// limitOf returns the class of an opening and its limit, or nil if there is no limit.
func (c *Callers) limitOf(opening *zf.Opening) (of *class, limit classLimit) {
	current := c.current.Load()
	if current == nil {
		return nil, classLimit{}
	}
	p := current.find(opening.Service)
	if p == nil {
		return nil, classLimit{}
	}
	i := min(max(opening.Priority, 0), classCount-1)
	return &p.service.classes[i], p.limits[i]
}

// admitFirst decides on the first opening packet of a flow.
func (c *Callers) admitFirst(opening *zf.Opening, of *class, limit classLimit, now int64) bool {
	address := opening.Flow.Source.Addr()
	set := c.table.setOf(address)
	set.mutex.Lock()
	defer set.mutex.Unlock()
	row := set.find(address, of, now)
	share, retry := row.admittedShare(limit, now)
	if retry {
		of.retried.Add(1)
	}
	if fraction(opening.Hash) < share {
		of.admitted.Add(1)
		return true
	}
	row.recordRefusal(now)
	of.refused.Add(1)
	return false
}

// failedCopy is the number of retransmissions after which an opening counts as failed: a
// caller that sends no further copy tries again from another port.
const failedCopy = 2

// admitCopy decides on a retransmission as on the first packet. If that was not seen here,
// another instance has forwarded it.
func (c *Callers) admitCopy(opening *zf.Opening, of *class, now int64) bool {
	if c.refused.contains(opening.Hash) {
		return false
	}
	if opening.Retransmissions >= failedCopy {
		address := opening.Flow.Source.Addr()
		set := c.table.setOf(address)
		set.mutex.Lock()
		set.find(address, of, now).recordRefusal(now)
		set.mutex.Unlock()
	}
	return true
}

// fraction maps a flow's hash to [0, 1), independently of the choice of its backend
// server, which depends on the same hash.
func fraction(hash uint64) float64 {
	const (
		multiplier   = 0x9e3779b97f4a7c15
		mantissaBits = 53
	)
	hash ^= hash >> 32
	return float64(hash*multiplier>>(64-mantissaBits)) / (1 << mantissaBits)
}

// refusedCount is the number of refused flows that are remembered: more than an instance
// refuses in the time in which callers send copies.
const refusedCount = 4096

// refusedFlows remembers the hashes of the flows turned away last.
type refusedFlows struct {
	hashes [refusedCount]atomic.Uint64
}

// record remembers whether a flow was refused.
func (f *refusedFlows) record(hash uint64, refused bool) {
	entry := &f.hashes[hash%refusedCount]
	switch {
	case refused:
		entry.Store(hash)
	case entry.Load() == hash:
		entry.Store(0)
	}
}

func (f *refusedFlows) contains(hash uint64) bool {
	return f.hashes[hash%refusedCount].Load() == hash
}

func (f *refusedFlows) clear() {
	for i := range f.hashes {
		f.hashes[i].Store(0)
	}
}

// Count holds the numbers of openings of one service and priority since the start, while
// limits were in force.
type Count struct {
	Service  zf.ServiceName
	Priority int
	Admitted int64
	Refused  int64
	// Retried is the number of those that were retries of refused openings.
	Retried int64
}

// Counts returns the numbers of each service and priority that had openings while a limit
// was in force. It belongs to the control goroutine.
func (c *Callers) Counts() []Count {
	var counts []Count
	for _, s := range c.services {
		for i := range s.classes {
			of := &s.classes[i]
			count := Count{
				Service:  s.name,
				Priority: i,
				Admitted: of.admitted.Load(),
				Refused:  of.refused.Load(),
				Retried:  of.retried.Load(),
			}
			if count.Admitted+count.Refused > 0 {
				counts = append(counts, count)
			}
		}
	}
	return counts
}
