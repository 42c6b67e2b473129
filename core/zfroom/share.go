package zfroom

import (
	zf "zinniafront"
	"zinniafront/core/zfload"
)

const (
	// shareSteps is the number of bisections of the common wait.
	shareSteps = 20
	// priorRequests is the number of requests below which a difference from the target is
	// chance rather than a wrong share.
	priorRequests = 10
	// minCorrection and maxCorrection bound the factor by which a share is corrected.
	minCorrection = 0.25
	maxCorrection = 2
)

// group holds the usable backend servers of a service in one data centre.
type group []*Row

// share divides the requests of the group so that the expected wait is the same at all
// its backend servers. Instances that each send to the one with the least wait, by sums
// that are a second old, would overload it together.
func (g group) share() {
	room, demand := 0.0, 0.0
	for _, row := range g {
		room += row.Room()
		demand += row.Rate
	}
	if demand == 0 {
		return
	}
	wait := g.commonWait(demand)
	if wait == 0 {
		return // All waits are too short to be expressed.
	}
	for _, row := range g {
		target := row.rateAt(wait)
		requests := target * zfload.DecayTime.Seconds()
		correction := 1 + (requests-float64(row.load.Requests))/(requests+priorRequests)
		row.Share = room * target / demand * min(max(correction, minCorrection), maxCorrection)
	}
}

// commonWait returns the wait in seconds at which the group gets a number of requests a second.
func (g group) commonWait(demand float64) float64 {
	low, high := 0.0, 0.0
	for _, row := range g {
		high = max(high, row.Wait.Seconds())
	}
	for range shareSteps {
		wait := (low + high) / 2
		sum := 0.0
		for _, row := range g {
			sum += row.rateAt(wait)
		}
		if sum > demand {
			high = wait
		} else {
			low = wait
		}
	}
	return high
}

// rateAt returns the rate of requests at which the expected wait in seconds is reached.
func (r *Row) rateAt(wait float64) float64 {
	return r.Room() * CurveOf(r.Slots).inverse(wait/r.Time.Seconds())
}

// minShare is the lower bound of a share: it bounds the number of backend servers that are
// considered for a new flow.
const minShare = 1.0 / 16

// share sets the shares of all rows.
func (t *Table) share() {
	groups := make(map[key]group)
	for _, row := range t.rows {
		row.Share = row.Room()
		if row.Usable && !t.partial {
			groups[row.key()] = append(groups[row.key()], row)
		}
	}
	for _, g := range groups {
		g.share()
	}
	t.scaleShares()
}

// scaleShares divides the shares by the largest of their service.
func (t *Table) scaleShares() {
	largest := make(map[zf.ServiceName]float64, len(t.services))
	for _, row := range t.rows {
		largest[row.Service] = max(largest[row.Service], row.Share)
	}
	for _, row := range t.rows {
		row.Share = max(row.Share/largest[row.Service], minShare)
	}
}
