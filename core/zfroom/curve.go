package zfroom

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// curveSteps is the number of points of a curve per unit of utilisation.
	curveSteps = 64
	// knee is the utilisation from which the wait grows in proportion to the load. The
	// approximation is infinite at full use.
	knee = 0.9
	// maxSlots is the number of slots from which curves are the same.
	maxSlots = 64
)

// Curve is the expected wait for a slot of a backend server by its utilisation, as a
// multiple of its service time. It grows strictly, also above full use.
type Curve struct {
	points [curveSteps + 1]float64
	slope  float64
}

// curves holds the curve of each number of slots.
var curves = sync.OnceValue(func() *[maxSlots + 1]Curve {
	var all [maxSlots + 1]Curve
	for slots := 1; slots <= maxSlots; slots++ {
		all[slots] = newCurve(float64(slots))
	}
	return &all
})

// CurveOf returns the curve of a number of slots. An unknown number counts as one.
func CurveOf(slots int) *Curve { return &curves()[min(max(slots, 1), maxSlots)] }

// newCurve tabulates Sakasegawa's approximation for a queue with several slots.
func newCurve(slots float64) Curve {
	exponent := math.Sqrt(2*(slots+1)) - 1
	wait := func(use float64) float64 { return math.Pow(use, exponent) / (slots * (1 - use)) }
	var c Curve
	c.slope = wait(knee) * (exponent/knee + 1/(1-knee))
	for i := range c.points {
		use := float64(i) / curveSteps
		if use <= knee {
			c.points[i] = wait(use)
			continue
		}
		c.points[i] = wait(knee) + c.slope*(use-knee)
	}
	return c
}

// At returns the wait at a utilisation.
func (c *Curve) At(use float64) float64 {
	if use >= 1 {
		return c.points[curveSteps] + c.slope*(use-1)
	}
	position := max(use, 0) * curveSteps
	i := int(position)
	return c.points[i] + (c.points[i+1]-c.points[i])*(position-float64(i))
}

// inverse returns the utilisation at which the wait is a multiple of the service time.
func (c *Curve) inverse(wait float64) float64 {
	if last := c.points[curveSteps]; wait >= last {
		return 1 + (wait-last)/c.slope
	}
	i, _ := slices.BinarySearch(c.points[:], wait)
	if i == 0 {
		return 0
	}
	before, after := c.points[i-1], c.points[i]
	return (float64(i-1) + (wait-before)/(after-before)) / curveSteps
}

// solveSteps is the number of bisections of serviceTime: it is exact to a thousandth.
const solveSteps = 12

// serviceTime returns the time that a request occupies a slot, given the mean time from
// request to answer, which includes the wait, at a rate of processed requests.
func (c *Curve) serviceTime(answerTime time.Duration, rate float64, slots int) time.Duration {
	low, high := 0.0, 1.0
	perSlot := rate * answerTime.Seconds() / float64(slots)
	for range solveSteps {
		share := (low + high) / 2
		if share*(1+c.At(share*perSlot)) > 1 {
			high = share
		} else {
			low = share
		}
	}
	return time.Duration(high * float64(answerTime))
}
