// Package zfresource decides from the measured use of an instance's resources whether they
// suffice. Its table has a row for each resource. Short and overloaded each begin after a
// while beyond a bound and end after a longer while well below it, because work that moves
// with each peak would add to the load.
package zfresource

import (
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

const (
	// smoothingTime is the time after which a measurement counts 1/e.
	smoothingTime = time.Second
	// maxUse bounds a measurement, so that a single one, as after a suspension, is
	// forgotten within seconds.
	maxUse = 2
	// maxElapsed bounds the time that a measurement stands for: after a suspension it
	// proves little, but an instance so slow that all its ticks are late is overloaded.
	maxElapsed = 500 * time.Millisecond
)

// MaxCalmUse is the use below which an instance without strain can take on a quarter more.
const MaxCalmUse = 0.8

// threshold holds the bounds of a condition.
type threshold struct {
	enter, leave           float64
	enterAfter, leaveAfter time.Duration
}

var (
	shortThreshold = threshold{
		enter:      MaxCalmUse,
		leave:      0.6,
		enterAfter: time.Second,
		leaveAfter: 5 * time.Second,
	}
	overloadedThreshold = threshold{
		enter:      0.95,
		leave:      0.75,
		enterAfter: time.Second,
		leaveAfter: 5 * time.Second,
	}
)

// condition begins and ends by a threshold.
type condition struct {
	holds bool
	// turning is how long the use has been beyond the bound that begins or ends the
	// condition.
	turning time.Duration
}

// update records a use that lasted for a time.
func (c *condition) update(use float64, lasted time.Duration, t threshold) {
	turning, after := use >= t.enter, t.enterAfter
	if c.holds {
		turning, after = use < t.leave, t.leaveAfter
	}
	if !turning {
		c.turning = 0
		return
	}
	c.turning += lasted
	if c.turning >= after {
		c.holds = !c.holds
		c.turning = 0
	}
}

// row is the row of one resource.
type row struct {
	resource zf.Resource
	// use is smoothed.
	use               float64
	measured          time.Time
	short, overloaded condition
}

// Table holds the resources whose use is measured.
type Table struct {
	rows []row
}

// New returns a table without rows.
func New() *Table { return &Table{} }

// Tick records measurements and returns the strain of the resource that is shortest.
func (t *Table) Tick(now time.Time, uses []zf.ResourceUse) zf.Strain {
	for _, use := range uses {
		t.rowOf(use.Resource, now).record(use.Use, now)
	}
	t.rows = slices.DeleteFunc(t.rows, func(r row) bool { return now.Sub(r.measured) >= overloadedThreshold.leaveAfter })
	strain := zf.StrainNone
	for i := range t.rows {
		strain = max(strain, t.rows[i].strain())
	}
	return strain
}

// Uses returns the smoothed use of each resource.
func (t *Table) Uses() []zf.ResourceUse {
	uses := make([]zf.ResourceUse, 0, len(t.rows))
	for i := range t.rows {
		uses = append(uses, zf.ResourceUse{
			Resource: t.rows[i].resource,
			Use:      t.rows[i].use,
		})
	}
	return uses
}

// rowOf returns the row of a resource, which is added if it is missing.
func (t *Table) rowOf(resource zf.Resource, now time.Time) *row {
	i := slices.IndexFunc(t.rows, func(r row) bool { return r.resource == resource })
	if i < 0 {
		i = len(t.rows)
		t.rows = append(t.rows, row{
			resource: resource,
			measured: now,
		})
	}
	return &t.rows[i]
}

func (r *row) record(use float64, now time.Time) {
	lasted := min(now.Sub(r.measured), maxElapsed)
	r.measured = now
	weight := 1 - math.Exp(-float64(lasted)/float64(smoothingTime))
	r.use += weight * (min(max(use, 0), maxUse) - r.use)
	r.short.update(r.use, lasted, shortThreshold)
	r.overloaded.update(r.use, lasted, overloadedThreshold)
}

func (r *row) strain() zf.Strain {
	switch {
	case r.overloaded.holds:
		return zf.StrainOverloaded
	case r.short.holds:
		return zf.StrainShort
	default:
		return zf.StrainNone
	}
}
