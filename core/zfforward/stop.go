package zfforward

import "time"

// turnTimeout is how old the last news may be while the instance waits for its turn
// to stop: a fetch is answered after half a second at the latest, and once more may be
// late. Without news nobody gives turns.
const turnTimeout = 1200 * time.Millisecond

// planned is a planned stop.
type planned struct {
	asked bool
	// until is when the stop begins without a turn.
	until time.Time
	begun bool
}

// Stop begins a planned stop. The instance stays ready until it has its turn, for wait
// at the most; then it is no longer ready, and goes on forwarding.
func (w *World) Stop(wait time.Duration, now time.Time) {
	w.stop = planned{
		asked: true,
		until: now.Add(wait),
	}
	w.waitTurn(now)
}

// waitTurn begins the stop where waiting for a turn is of no use.
func (w *World) waitTurn(now time.Time) {
	if w.stop.asked && (!w.Ready() || !now.Before(w.stop.until) || now.Sub(w.heard) >= turnTimeout) {
		w.stop.begun = true
	}
}

// StopPending reports whether the instance waits for its turn to stop. One that stops asks
// no more: each fetch that asks is answered at once when the turn has come.
func (w *World) StopPending() bool { return w.stop.asked && !w.stop.begun }

// Stopping reports whether the stop has begun.
func (w *World) Stopping() bool { return w.stop.begun }
