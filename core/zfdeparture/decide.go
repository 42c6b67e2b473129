package zfdeparture

import (
	"maps"
	"math"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfload"
)

const (
	// decisionInterval is the time between two decisions.
	decisionInterval = 500 * time.Millisecond
	// maxDecisionGap is the time between two decisions from which this instance is
	// considered to have been suspended: its sums lack what was not reported meanwhile.
	maxDecisionGap = 2 * time.Second
	// maxShareGap is the time between two decisions from which the shares are dropped:
	// entry instances have long ceased to apply them.
	maxShareGap = 5 * time.Second
	// deciderTimeout is the silence after which the decisions of another control instance
	// of the own data centre no longer count.
	deciderTimeout = 1500 * time.Millisecond
	// pressedFill is the fill of the own room up to which no flows leave.
	pressedFill = 0.85
	// lentFill is the fill up to which the room of a data centre is lent to others. The
	// rest is kept for the growth of the demand of its own callers.
	lentFill = 0.75
	// minGain is the least shorter wait for which flows leave.
	minGain = 5 * time.Millisecond
	// startShare is the share from which flows begin to leave, endShare the one below
	// which none leave any more.
	startShare = 0.05
	endShare   = 0.02
	// deadBand is the change of a share that is ignored while flows leave.
	deadBand = 0.02
	// growStep, returnStep and yieldStep bound the change of a share at a decision: when
	// more flows leave, when fewer need to, and when the other data centre lacks room.
	growStep   = 0.1
	returnStep = 0.04
	yieldStep  = 0.1
	// newsDecisions is the number of decisions for which figures of others are on their
	// way.
	newsDecisions = 3
	// slopeDecisions is the number of decisions over which the growth of the demand is
	// measured.
	slopeDecisions = 2
	// demandNoise is the growth of the demand, relative to it, that may be noise.
	demandNoise = 0.15
	// riseDecisions is the number of decisions, at least, in which the data centres
	// together use up the free room of another. It exceeds newsDecisions, so that each
	// sees what the others send in time; more so if the figures of one are old, as what
	// it sends is only seen in those of the receiver.
	riseDecisions      = 4
	blindRiseDecisions = 16
	// staleDecay is the part of a share that is left at a decision while the figures of
	// the other data centre are old.
	staleDecay = 0.7
	// hiddenTolerance is the part of a room by which the demand there may exceed the one
	// known here, as figures are not of the same moment.
	hiddenTolerance = 0.05
	// waitSmoothing is the weight of the last wait in the mean.
	waitSmoothing = 0.25
)

// service holds the state of the decisions for one service.
type service struct {
	// wait is the mean of the own data centre's expected wait.
	wait time.Duration
	// lacks are the last values of Table.lack for the own data centre. The least of them
	// is compared with those of others, as their figures take about as long to arrive.
	lacks [newsDecisions]float64
	// demands are the last values of the demand of the own data centre's callers.
	demands [slopeDecisions + 1]float64
	// leaving is set while flows leave, homeless while no backend server of the own data
	// centre takes new flows.
	leaving  bool
	homeless bool
	// away is the longest expected wait of the flows that leave, with the delay.
	away time.Duration
	// loggedShare is the sum of the shares at loggedAt.
	loggedShare float64
	loggedAt    time.Time
}

// Tick runs the system: with the figures of the own data centre it decides where the new
// flows of its callers go. out holds the data centres taken out of service.
func (t *Table) Tick(now time.Time, figures []zf.ServiceRoom, out []zf.CentreName) {
	if now.Sub(t.lastDecision) < decisionInterval {
		return
	}
	if t.suspended(now) {
		t.startedAt = now
	}
	if now.Sub(t.lastDecision) >= maxShareGap {
		t.dropShares()
	}
	t.lastDecision = now
	t.Record(t.config.Self, figures, now)
	t.expire(now)
	t.figures = t.listFigures(now)
	if !t.config.Leave {
		return
	}
	follows := t.follows(now)
	for _, name := range t.serviceNames() {
		t.observe(name, out)
		if !follows && t.complete(now) {
			t.decide(name, out, now)
		}
	}
	if follows {
		t.adopt()
	}
	t.departures = t.listDepartures()
	t.recordChanges(now)
}

// suspended reports whether this instance has just gone on after a suspension.
func (t *Table) suspended(now time.Time) bool { return now.Sub(t.lastDecision) >= maxDecisionGap }

// Follow records the decisions of another control instance of the own data centre.
func (t *Table) Follow(source uint64, departures []zf.Departure, now time.Time) {
	if source > t.config.Source && t.complete(now) {
		return
	}
	t.decider = decider{
		departures: departures,
		receivedAt: now,
	}
}

// follows reports whether another control instance of the own data centre decides.
func (t *Table) follows(now time.Time) bool {
	return !t.decider.receivedAt.IsZero() && now.Sub(t.decider.receivedAt) < deciderTimeout
}

// Decides reports whether this control instance's decisions are its own and complete.
func (t *Table) Decides(now time.Time) bool {
	return t.config.Leave && t.complete(now) && !t.suspended(now) && !t.follows(now)
}

func (t *Table) dropShares() {
	for _, r := range t.rows {
		r.share = 0
	}
	for _, s := range t.services {
		s.leaving = false
	}
}

// adopt takes the shares of the control instance that decides.
func (t *Table) adopt() {
	t.dropShares()
	for _, d := range t.decider.departures {
		s := t.service(d.Service)
		s.leaving = true
		s.wait = boundedWait(d.Home)
		s.away = boundedWait(d.Away)
		for _, to := range d.To {
			t.centre(to.Centre)
			r, _ := t.row(d.Service, to.Centre)
			r.share = min(boundedRate(to.Share), 1)
		}
	}
}

func (t *Table) service(name zf.ServiceName) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// serviceNames returns the services of all rows, sorted, and forgets the others.
func (t *Table) serviceNames() []zf.ServiceName {
	names := make(map[zf.ServiceName]bool, len(t.services))
	for k := range t.rows {
		names[k.service] = true
	}
	for name := range t.services {
		if !names[name] {
			delete(t.services, name)
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// observe updates the past values of the own data centre's figures.
func (t *Table) observe(name zf.ServiceName, out []zf.CentreName) {
	s := t.service(name)
	s.wait += time.Duration(waitSmoothing * float64(t.roomOf(name, t.config.Self).Wait-s.wait))
	demand := t.callersDemand(name, t.config.Self)
	s.demands = [slopeDecisions + 1]float64{demand, s.demands[0], s.demands[1]}
	s.lacks = [newsDecisions]float64{t.lack(name, t.config.Self, out), s.lacks[0], s.lacks[1]}
}

// decide updates the shares of one service.
func (t *Table) decide(name zf.ServiceName, out []zf.CentreName, now time.Time) {
	s := t.service(name)
	home := t.roomOf(name, t.config.Self)
	demand := s.demands[0]
	s.homeless = home.Servers == 0 || slices.Contains(out, t.config.Self)
	if !s.leaving && !s.homeless && s.lacks[0] == 0 {
		return
	}
	destinations := t.destinations(name, out, now)
	switch {
	case !t.freshRoom(name, t.config.Self, now) || demand <= 0:
		s.homeless = false
	case s.homeless:
		divideAll(destinations)
	case home.Room > 0:
		home.Wait = s.wait
		divideExcess(destinations, home, s.certainDemand(), s.actualDemand())
	}
	s.update(destinations, s.actualDemand())
}

// actualDemand returns the demand now while it grows, as the counted demand approaches it
// with the time constant zfload.CountTime.
func (s *service) actualDemand() float64 {
	const window = slopeDecisions * decisionInterval
	growth := s.demands[0] - s.demands[slopeDecisions]
	return s.demands[0] + max(0, growth)/(math.Exp(window.Seconds()/zfload.CountTime.Seconds())-1)
}

// certainDemand returns the part of the actual demand that is more than noise.
func (s *service) certainDemand() float64 {
	return max(s.demands[0], s.actualDemand()-demandNoise*s.demands[0])
}

// homelessShare is the sum of the shares below which all flows of a data centre without
// backend servers leave at once, not in steps.
const homelessShare = 0.9

// update moves the shares towards their targets.
func (s *service) update(destinations []destination, demand float64) {
	targets, before, sum := 0.0, 0.0, 0.0
	for _, d := range destinations {
		targets += d.target
		before += d.row.share
	}
	if !s.leaving && targets < startShare {
		return
	}
	s.away = 0
	for _, d := range destinations {
		if s.homeless && targets > 0 && before < homelessShare {
			d.row.share = d.target
		} else {
			d.move(demand, targets)
		}
		sum += d.row.share
		if d.row.share > 0 {
			s.away = max(s.away, d.wait)
		}
	}
	s.leaving = max(sum, targets) >= endShare
	for _, d := range destinations {
		switch {
		case !s.leaving:
			d.row.share = 0
		case sum > 1:
			d.row.share /= sum
		}
	}
}

// move moves the share of one data centre by at most a step.
func (d destination) move(demand, targets float64) {
	share := d.row.share
	sent := share * demand
	switch lacksRoom := sent > d.free || d.claim > 0 && sent > d.claim; {
	case !d.fresh:
		if share *= staleDecay; share < endShare {
			share = 0
		}
	case d.target > share+deadBand || d.target > share && share == 0:
		share = min(d.target, share+min(growStep*d.target/targets, d.maxRise/demand))
	case d.target < share && lacksRoom:
		share = max(d.target, share-yieldStep)
	case d.target < share-deadBand || d.target == 0:
		share = max(d.target, share-returnStep)
	}
	d.row.share = share
}

// Departures returns the decisions in force, by service. The slice must not be modified.
func (t *Table) Departures() []zf.Departure { return t.departures }

// listDepartures returns the departures of the shares in the rows.
func (t *Table) listDepartures() []zf.Departure {
	var departures []zf.Departure
	for _, k := range t.sortedKeys(func(r *row) bool { return r.share > 0 }) {
		if last := len(departures) - 1; last < 0 || departures[last].Service != k.service {
			s := t.service(k.service)
			departures = append(departures, zf.Departure{
				Service: k.service,
				Home:    s.wait,
				Away:    s.away,
			})
		}
		d := &departures[len(departures)-1]
		d.To = append(d.To, zf.CentreShare{
			Centre: k.centre,
			Share:  math.Round(t.rows[k].share*shareScale) / shareScale,
		})
	}
	return departures
}

// shareScale is the resolution of shares in messages.
const shareScale = 1024
