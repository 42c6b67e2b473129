package zfopening

import (
	"sync/atomic"
	"time"
)

const (
	// refusingCallers is the number of callers whose openings a backend server must have
	// left unopened, with none followed since, to be passed over.
	refusingCallers = 2
	// evidenceLifetime is the time after the last unopened opening for which the evidence
	// counts.
	evidenceLifetime = 3 * time.Second
	// serverProbeInterval is the time between two openings to a backend server that is
	// passed over. With tens of instances each backend server usually gets less than one
	// a second from each.
	serverProbeInterval = 2 * time.Second
	// pooledSample is the minimum number of unopened openings in the sums of all
	// instances for a verdict, pooledShare their minimum share, and pooledContrast how
	// many times the share at the other backend servers that must be.
	pooledSample   = 4
	pooledShare    = 0.25
	pooledContrast = 4
	// pooledLifetime is how long a verdict from sums lasts, longer than the time between
	// two reports of sums.
	pooledLifetime = 2 * time.Second
	// contraryLifetime is the time after a followed opening in which it goes before sums.
	contraryLifetime = time.Second
)

// keyCount is the number of different keys that evidence distinguishes.
const keyCount = 3

// evidence holds the unopened openings since the last followed one, by different keys.
type evidence struct {
	keys [keyCount]atomic.Uint64
	// surprise is the sum of Table.surprise at each of them.
	surprise atomic.Int64
	firstAt  atomic.Int64
	lastAt   atomic.Int64
}

// add adds an unopened opening. Evidence that has expired is dropped first.
func (e *evidence) add(key uint64, surprise int64, now time.Time) {
	if now.UnixNano()-e.lastAt.Load() >= int64(evidenceLifetime) {
		e.clear()
	}
	if e.firstAt.CompareAndSwap(0, now.UnixNano()) {
		e.reset() // Another goroutine may have added to it after it was cleared.
	}
	e.lastAt.Store(now.UnixNano())
	e.surprise.Add(surprise)
	for i := range e.keys {
		if e.keys[i].Load() == key || e.keys[i].CompareAndSwap(0, key) {
			return
		}
	}
}

// count returns the number of different keys.
func (e *evidence) count(now time.Time) int {
	if e.firstAt.Load() == 0 || now.UnixNano()-e.lastAt.Load() >= int64(evidenceLifetime) {
		return 0
	}
	count := 0
	for i := range e.keys {
		if e.keys[i].Load() != 0 {
			count++
		}
	}
	return count
}

// convincing reports whether all of the unopened openings are unlikely to be chance.
func (e *evidence) convincing() bool { return e.surprise.Load() >= minSurprise }

// clear drops the evidence.
func (e *evidence) clear() {
	if e.firstAt.Load() == 0 {
		return
	}
	e.reset()
	e.firstAt.Store(0)
}

func (e *evidence) reset() {
	for i := range e.keys {
		e.keys[i].Store(0)
	}
	e.surprise.Store(0)
}

// Server is the row of one incarnation of a backend server.
type Server struct {
	// key identifies the row in the evidence of its data centre.
	key    uint64
	centre *Centre
	// opened and unopened count openings since the last report.
	opened   atomic.Int64
	unopened atomic.Int64
	// callers is the evidence by caller.
	callers evidence
	// lastSent is when an opening was last sent, lastOpened when one was last followed,
	// pooledUntil the end of a verdict from sums, nextProbe the earliest time of the next
	// probe, in Unix nanoseconds.
	lastSent    atomic.Int64
	lastOpened  atomic.Int64
	pooledUntil atomic.Int64
	nextProbe   atomic.Int64
	// reported is the verdict last reported. It belongs to the control goroutine.
	reported bool
	// sample is the number of openings in the last sums. It belongs to the control
	// goroutine.
	sample int
}

// recordSent records that an opening was sent. Not each time is stored: the variable is
// shared by all traffic goroutines.
func (s *Server) recordSent(now time.Time) {
	if at := now.UnixNano(); at-s.lastSent.Load() >= int64(time.Millisecond) {
		s.lastSent.Store(at)
	}
}

// RecordOpened records that a flow opened at the backend server.
func (s *Server) RecordOpened(now time.Time) {
	s.opened.Add(1)
	s.callers.clear()
	s.pooledUntil.Store(0)
	s.lastOpened.Store(now.UnixNano())
	s.centre.table.lastOpened.Store(now.UnixNano())
	s.centre.recordOpened(now)
}

func (s *Server) recordUnopened(caller uint64, trusted bool, now time.Time) {
	if !trusted {
		return
	}
	s.unopened.Add(1)
	surprise := s.centre.table.surprise()
	s.callers.add(caller, surprise, now)
	s.nextProbe.Store(now.Add(serverProbeInterval).UnixNano())
	s.centre.recordUnopened(s.key, caller, surprise, now)
}

// refuses reports whether the backend server is passed over. While no flow opens anywhere,
// this instance may be the one that is cut off.
func (s *Server) refuses(now time.Time) bool {
	if now.UnixNano() < s.pooledUntil.Load() {
		return true
	}
	return s.callers.count(now) >= refusingCallers && s.callers.convincing() && s.centre.table.lastOpened.Load() >= s.callers.firstAt.Load()
}

// May reports whether the backend server may get an opening packet.
func (s *Server) May(a *Attempt, now time.Time) bool {
	if !a.Retry && a.earlier == 0 && s.calm() && s.centre.calm() {
		return true
	}
	if a.Avoids(s) || a.leaves(s.centre) || !s.centre.may(a, now) {
		return false
	}
	return !s.refuses(now) || !a.Retry && now.UnixNano() >= s.nextProbe.Load()
}

// calm reports whether there is no evidence about the backend server.
func (s *Server) calm() bool { return s.callers.firstAt.Load() == 0 && s.pooledUntil.Load() == 0 }

// Acquire acquires the probe that May relied on, if any. It returns false if another
// goroutine was faster.
func (s *Server) Acquire(now time.Time) bool {
	switch {
	case s.calm() && s.centre.calm():
		return true
	case !s.centre.acquire(now):
		return false
	}
	return !s.refuses(now) || acquireProbe(&s.nextProbe, serverProbeInterval, now)
}

// acquireProbe acquires the probe that is due, and sets when the next one is.
func acquireProbe(next *atomic.Int64, interval time.Duration, now time.Time) bool {
	due := next.Load()
	return now.UnixNano() >= due && next.CompareAndSwap(due, now.Add(interval).UnixNano())
}

// LessSuspect reports whether the last opening sent to the backend server was followed, or
// is longer ago than that to another.
func (s *Server) LessSuspect(other *Server) bool { return s.openSince() < other.openSince() }

// openSince returns when the last opening was sent with none followed since, in Unix
// nanoseconds, or 0.
func (s *Server) openSince() int64 {
	sent := s.lastSent.Load()
	if s.lastOpened.Load() >= sent {
		return 0
	}
	return sent
}

// Take returns the numbers of followed and unopened openings since the last call.
func (s *Server) Take() (opened, unopened int) {
	return int(s.opened.Swap(0)), int(s.unopened.Swap(0))
}

// Sum is the number of openings of a backend server, summed over instances.
type Sum struct {
	Server   *Server
	Opened   int
	Unopened int
}

// SetSums evaluates the sums over all instances of the data centre. An opening that was
// followed here within contraryLifetime goes before them.
func (t *Table) SetSums(sums []Sum, now time.Time) {
	opened, unopened := 0, 0
	for _, sum := range sums {
		opened += sum.Opened
		unopened += sum.Unopened
	}
	for _, sum := range sums {
		sum.Server.sample = sum.Opened + sum.Unopened
		others := opened + unopened - sum.Server.sample
		share := float64(sum.Unopened) / float64(max(sum.Server.sample, 1))
		othersShare := float64(unopened-sum.Unopened) / float64(max(others, 1))
		contrary := now.UnixNano()-sum.Server.lastOpened.Load() < int64(contraryLifetime)
		if sum.Unopened >= pooledSample && share >= pooledShare && share >= pooledContrast*othersShare && others > 0 && !contrary {
			sum.Server.pooledUntil.Store(now.Add(pooledLifetime).UnixNano())
			sum.Server.nextProbe.Store(now.Add(serverProbeInterval).UnixNano())
		}
	}
}
