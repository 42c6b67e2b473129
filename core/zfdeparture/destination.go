package zfdeparture

import (
	"maps"
	"slices"
	"time"

	zf "zinniafront"
)

// destination is a data centre that flows may go to.
type destination struct {
	name zf.CentreName
	row  *row
	// free is the room in requests a second that its own callers leave free, claim the
	// part of it for the own data centre.
	free  float64
	claim float64
	// wait is the expected wait there with the delay, cost with the price as well.
	wait time.Duration
	cost time.Duration
	// maxRise bounds the growth of the requests a second that go there at a decision.
	maxRise float64
	// target is the share that the decision tends to.
	target float64
	fresh  bool
}

// destinations returns the data centres other than the own one that may get flows or did,
// by name.
func (t *Table) destinations(name zf.ServiceName, out []zf.CentreName, now time.Time) []destination {
	decisions := float64(riseDecisions)
	for other := range t.centres {
		if other != t.config.Self && !t.fresh(other, now) {
			decisions = blindRiseDecisions
		}
	}
	var destinations []destination
	for _, centreName := range slices.Sorted(maps.Keys(t.centres)) {
		r := t.find(name, centreName)
		if centreName == t.config.Self || r == nil {
			continue
		}
		d := destination{
			name: centreName,
			row:  r,
		}
		if slices.Contains(out, centreName) {
			r.share = 0
		} else if d.fresh = t.freshRoom(name, centreName, now); d.fresh && r.room.Servers > 0 {
			d.free = t.freeRoom(name, centreName)
			d.maxRise = d.free / (decisions * float64(max(len(t.centres)-1, 1)))
			d.claim = t.claim(name, centreName, d.free, out, now)
			d.wait = max(r.room.Wait, expectedWait(spacing(r.room), lentFill)) + t.delay(centreName)
			d.cost = d.wait + minGain + time.Duration(float64(t.config.Kilobyte)*float64(r.room.Bytes)/1024)
		}
		destinations = append(destinations, d)
	}
	return destinations
}

// freeRoom returns the room of a data centre that its own callers leave free.
func (t *Table) freeRoom(name zf.ServiceName, centreName zf.CentreName) float64 {
	room := t.roomOf(name, centreName)
	return max(0, lentFill*effectiveRoom(room)-t.callersDemand(name, centreName))
}

// claim returns the own data centre's part of a free room. All that lack room claim it in
// proportion to what they lack, so that the claims add up to it without a coordinator. If
// the room is also used by data centres whose figures are unknown or old, half is left to
// them.
func (t *Table) claim(name zf.ServiceName, of zf.CentreName, free float64, out []zf.CentreName, now time.Time) float64 {
	own := t.lack(name, t.config.Self, out)
	if own <= 0 {
		return 0
	}
	others := 0.0
	for other := range t.centres {
		if other != of && other != t.config.Self && t.fresh(other, now) {
			others += t.lack(name, other, out)
		}
	}
	if s := t.service(name); others > 0 && !s.homeless {
		own = slices.Min(s.lacks[:])
	}
	room := t.roomOf(name, of)
	hidden := room.Demand - t.totalDemand(name, of, now) - hiddenTolerance*room.Room
	if hidden > 0 {
		free /= 2
	}
	return free * own / max(own+others, 1)
}

// lack returns the requests a second of a data centre's callers beyond pressedFill of its
// room.
func (t *Table) lack(name zf.ServiceName, centreName zf.CentreName, out []zf.CentreName) float64 {
	demand := t.callersDemand(name, centreName)
	room := t.roomOf(name, centreName)
	switch {
	case room.Service == "":
		return 0
	case room.Servers == 0 || slices.Contains(out, centreName):
		return demand
	case room.Room <= 0:
		return 0
	}
	return max(0, demand-pressedFill*effectiveRoom(room))
}

// divideExcess sets the targets to the flows that gain by leaving: as many as raise the
// own wait above the cost elsewhere, by the certain demand, within the claims at the actual
// one.
func divideExcess(destinations []destination, home zf.ServiceRoom, certain, actual float64) {
	room := effectiveRoom(home)
	claims := 0.0
	for _, d := range destinations {
		claims += d.claim
	}
	for i := range destinations {
		d := &destinations[i]
		if d.claim <= 0 {
			continue
		}
		excess := certain - room*max(pressedFill, fillOf(spacing(home), d.cost))
		d.target = min(d.claim/actual, max(0, excess)*d.claim/claims/certain)
		if sent := d.row.demand[home.Centre]; sent > d.claim {
			d.target *= d.claim / sent // Flows that went there before still send requests.
		}
	}
}

// divideAll sets the targets to all flows, by the claims or, where no room is free, by
// the rooms.
func divideAll(destinations []destination) {
	weigh := func(d destination) float64 { return d.claim }
	if !slices.ContainsFunc(destinations, func(d destination) bool { return d.claim > 0 }) {
		weigh = func(d destination) float64 { return d.row.room.Room }
	}
	sum := 0.0
	for _, d := range destinations {
		if d.fresh {
			sum += weigh(d)
		}
	}
	for i := range destinations {
		if d := &destinations[i]; d.fresh && sum > 0 {
			d.target = weigh(*d) / sum
		}
	}
}
