package zfdeparture

import (
	"maps"
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

// Change is a change of a decision, with its inputs.
type Change struct {
	zf.Departure
	// Demand is that of the callers of the own data centre in requests a second, Room what
	// its backend servers sustain.
	Demand float64
	Room   float64
	// HomeAge and AwayAge are the ages of the figures of the own data centre and the
	// oldest ones of those that flows go to.
	HomeAge time.Duration
	AwayAge time.Duration
	// Kilobyte is the price.
	Kilobyte time.Duration
}

const (
	// changeShare and changeInterval bound the changes that are reported: smaller or more
	// frequent ones are left out unless flows begin or cease to leave.
	changeShare    = 0.05
	changeInterval = 5 * time.Second
	// maxChanges bounds the changes that are reported at one decision.
	maxChanges = 16
)

func (t *Table) recordChanges(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		departure := zf.Departure{
			Service: name,
			Home:    s.wait,
			Away:    s.away,
		}
		if d, found := zf.FindDeparture(t.departures, name); found {
			departure = d
		}
		share := departure.Share()
		begins := share > 0 != (s.loggedShare > 0)
		differs := math.Abs(share-s.loggedShare) >= changeShare && now.Sub(s.loggedAt) >= changeInterval
		if !begins && !differs || len(t.changes) >= maxChanges {
			continue
		}
		s.loggedShare = share
		s.loggedAt = now
		t.changes = append(t.changes, Change{
			Departure: departure,
			Demand:    t.callersDemand(name, t.config.Self),
			Room:      t.roomOf(name, t.config.Self).Room,
			HomeAge:   now.Sub(t.centre(t.config.Self).measuredAt),
			AwayAge:   t.oldest(departure, now),
			Kilobyte:  t.config.Kilobyte,
		})
	}
}

func (t *Table) oldest(departure zf.Departure, now time.Time) time.Duration {
	age := time.Duration(0)
	for _, to := range departure.To {
		age = max(age, now.Sub(t.centre(to.Centre).measuredAt))
	}
	return age
}

// TakeChanges returns and clears the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
