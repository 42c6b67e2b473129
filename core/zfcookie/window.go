package zfcookie

import (
	"math/bits"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

const (
	// openingGrace is how long an instance may use its turn to open a flow at a cold
	// backend server beyond the turn's end. Without it, few turns would be used where
	// they are shorter than the time between two of the instance's new flows.
	openingGrace = 250 * time.Millisecond
	// maxOpeningPeriod bounds the time between two turns of an instance.
	maxOpeningPeriod = 24 * time.Hour
)

// openingWindow is when this instance may open a flow at a cold backend server: once in
// the first part of each period. The entry instances take turns, so that their unused
// turns do not add up.
type openingWindow struct {
	period time.Duration
	width  time.Duration
	// phase is when a period begins, from 0 to period.
	phase time.Duration
}

// newOpeningWindow returns the window of Self at the backend server of a cookie, to which
// each instance may open rate new flows a second. An instance that does not know its position
// takes its turn in every other period only: turns may coincide, and other instances may have
// started as well that are not counted yet.
func newOpeningWindow(rate float64, view *zf.View, cookie zf.Cookie) openingWindow {
	period := time.Duration(min(max(float64(time.Second)/rate, 1), float64(maxOpeningPeriod)))
	count := max(view.EntryCount, 1)
	turn := period / time.Duration(count)
	phase := scaled(uint64(cookie)*randomFactor, period)
	if view.EntryPosition > 0 {
		phase += time.Duration(float64(period) / float64(count) * float64(view.EntryPosition%count))
	} else if count > 1 {
		period *= 2
		phase += scaled(xxh3.HashString(string(view.Self)), period)
	}
	return openingWindow{
		period: period,
		width:  min(turn+openingGrace, period),
		phase:  phase % period,
	}
}

// scaled returns the part of d that a hash is of all hashes.
func scaled(hash uint64, d time.Duration) time.Duration {
	part, _ := bits.Mul64(hash, uint64(d))
	return time.Duration(part)
}

// at returns when the period of a time began, in Unix nanoseconds, and whether the time is
// in its window.
func (w openingWindow) at(now time.Time) (began int64, open bool) {
	elapsed := (now.UnixNano() - int64(w.phase)) % int64(w.period)
	return now.UnixNano() - elapsed, elapsed < int64(w.width)
}
