package zfopening

import (
	"sync/atomic"
	"time"

	zf "zinniafront"
)

const (
	// refusingServers is the number of backend servers of a data centre that must have
	// left openings unopened, with none there followed since, for a verdict.
	refusingServers = 3
	// centreProbeInterval is the time between two openings to a data centre that refuses.
	centreProbeInterval = time.Second
	// returnStep is the minimum time between two steps of the return of new flows, and
	// returnOpened the number of openings that must be followed in each.
	returnStep   = 300 * time.Millisecond
	returnOpened = 2
	// returnTimeout is the time after which the return ends without enough openings, or
	// while backend servers are still cold.
	returnTimeout = 10 * time.Second
)

// The phases of a data centre. The shares of its new flows in those from
// centreReturning on are 1/8, 1/4 and 1/2.
const (
	centreSound = iota
	centreRefusing
	centreReturning
	centreLastStep = centreReturning + 2
)

// Centre is the row of one data centre.
type Centre struct {
	name  zf.CentreName
	table *Table
	// servers and callers are the evidence by backend server and by caller.
	servers evidence
	callers evidence
	// lastOpened is when an opening was last followed, nextProbe the earliest time of the
	// next probe, phaseAt when the phase began, in Unix nanoseconds.
	lastOpened atomic.Int64
	nextProbe  atomic.Int64
	phaseAt    atomic.Int64
	phase      atomic.Int32
	// opened counts the openings followed in the current step of the return.
	opened atomic.Int32
	// cold is set while any backend server is cold.
	cold atomic.Bool
	// serverCount is the number of rows of backend servers that were added. reported is
	// the phase last reported. Both belong to the control goroutine.
	serverCount uint64
	reported    int32
}

// Centre returns the row of a data centre; it adds one if there is none. Rows are kept
// for good: there are few data centres.
func (t *Table) Centre(name zf.CentreName) *Centre {
	centres := *t.centres.Load()
	for _, c := range centres {
		if c.name == name {
			return c
		}
	}
	c := &Centre{
		name:  name,
		table: t,
	}
	next := append(append(make([]*Centre, 0, len(centres)+1), centres...), c)
	t.centres.Store(&next)
	return c
}

// NewServer returns the row of a backend server of the data centre.
func (c *Centre) NewServer() *Server {
	c.serverCount++
	return &Server{
		key:    c.serverCount,
		centre: c,
	}
}

// SetCold sets whether any backend server of the data centre is cold.
func (c *Centre) SetCold(cold bool) { c.cold.Store(cold) }

func (c *Centre) recordOpened(now time.Time) {
	c.servers.clear()
	c.callers.clear()
	c.lastOpened.Store(now.UnixNano())
	switch phase := c.phase.Load(); {
	case phase == centreSound:
	case phase == centreRefusing:
		c.enter(phase, centreReturning, now)
	case c.opened.Add(1) >= returnOpened && now.UnixNano()-c.phaseAt.Load() >= int64(returnStep):
		switch {
		case phase < centreLastStep:
			c.enter(phase, phase+1, now)
		case !c.cold.Load():
			c.enter(phase, centreSound, now)
		}
	}
}

func (c *Centre) recordUnopened(server, caller uint64, surprise int64, now time.Time) {
	c.servers.add(server, surprise, now)
	c.callers.add(caller, surprise, now)
}

// enter changes the phase, unless another goroutine has. What belongs to the phase is set
// first: a goroutine that sees the phase also sees when it began.
func (c *Centre) enter(from, to int32, now time.Time) {
	c.phaseAt.Store(now.UnixNano())
	c.opened.Store(0)
	if to == centreRefusing {
		c.nextProbe.Store(now.Add(centreProbeInterval).UnixNano())
	}
	c.phase.CompareAndSwap(from, to)
}

// doubted reports whether openings at several backend servers, of several callers, led
// nowhere and none was followed since.
func (c *Centre) doubted(now time.Time) bool {
	return c.servers.count(now) >= refusingServers && c.callers.count(now) >= refusingCallers && c.callers.convincing()
}

// contrast reports whether flows have opened in another data centre since the evidence
// began. If none has, this instance may be the one that is cut off.
func (c *Centre) contrast() bool {
	since := c.servers.firstAt.Load()
	for _, other := range *c.table.centres.Load() {
		if other != c && since != 0 && other.lastOpened.Load() >= since {
			return true
		}
	}
	return false
}

// calm reports whether there is neither a verdict on the data centre nor evidence.
func (c *Centre) calm() bool {
	return c.phase.Load() == centreSound && c.servers.firstAt.Load() == 0
}

// evaluated returns the phase, and the one that it changes to by the evidence as of now.
func (c *Centre) evaluated(now time.Time) (phase, next int32) {
	phase = c.phase.Load()
	since := now.UnixNano() - c.phaseAt.Load()
	switch {
	case phase != centreRefusing && c.doubted(now) && c.contrast():
		return phase, centreRefusing
	case phase == centreRefusing && c.servers.count(now) == 0 && since >= int64(evidenceLifetime):
		return phase, centreReturning
	case phase >= centreReturning && since >= int64(returnTimeout):
		return phase, centreSound
	default:
		return phase, phase
	}
}

// evaluate updates the phase by the evidence and returns it.
func (c *Centre) evaluate(now time.Time) int32 {
	phase, next := c.evaluated(now)
	if phase != next {
		c.enter(phase, next, now)
	}
	return next
}

// may reports whether the data centre may get an opening packet. While it is doubted
// without a contrast, half of the new flows try others; a retry tries them always.
func (c *Centre) may(a *Attempt, now time.Time) bool {
	before, phase := c.evaluated(now)
	if phase != before && !a.peeked {
		c.enter(before, phase, now)
	}
	switch {
	case phase == centreSound && !c.doubted(now):
		return true
	case a.Retry:
		return false
	case phase == centreRefusing:
		return before == centreRefusing && now.UnixNano() >= c.nextProbe.Load()
	default:
		return a.part() < c.share(phase, now)
	}
}

// part returns a number from 0 to 1 by the hash of the flow, so that copies of an opening
// packet are treated alike.
func (a *Attempt) part() float64 { return float64(a.hash>>48) / (1 << 16) }

// share returns the share of new flows that may go to the data centre in a phase, besides probes.
func (c *Centre) share(phase int32, now time.Time) float64 {
	switch {
	case phase == centreRefusing:
		return 0
	case phase >= centreReturning:
		return 1 / float64(int(8)>>(phase-centreReturning))
	case c.doubted(now):
		return 0.5
	default:
		return 1
	}
}

// acquire acquires the probe of a data centre that refuses.
func (c *Centre) acquire(now time.Time) bool {
	return c.phase.Load() != centreRefusing || acquireProbe(&c.nextProbe, centreProbeInterval, now)
}
