package zfforward

import (
	"slices"
	"time"

	zf "zinniafront"
)

// departureTimeout is the time without new departures after which the last ones no longer
// apply: that of total loads.
const departureTimeout = 5 * time.Second

// departures holds the departures that apply to new flows.
type departures struct {
	inForce   []zf.Departure
	updatedAt time.Time
	// revision grows when inForce changes.
	revision uint64
}

// update replaces the departures; without leaving none apply.
func (d *departures) update(latest []zf.Departure, leaving bool, now time.Time) {
	d.updatedAt = now
	if leaving {
		d.set(latest)
	}
}

// expire ends departures that are too old.
func (d *departures) expire(now time.Time) {
	if now.Sub(d.updatedAt) >= departureTimeout {
		d.set(nil)
	}
}

func (d *departures) set(latest []zf.Departure) {
	if !slices.EqualFunc(d.inForce, latest, sameShares) {
		d.revision++
	}
	d.inForce = latest
}

// sameShares reports whether two departures send flows to the same data centres.
func sameShares(a, b zf.Departure) bool { return a.Service == b.Service && slices.Equal(a.To, b.To) }
