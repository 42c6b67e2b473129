package zfforward

import "time"

// permitTimeout is how old the last news may be while the instance waits for its turn
// to stop: a fetch is answered after half a second at the latest, and once more may be
// late. Without news nobody gives turns.
const permitTimeout = 1200 * time.Millisecond

// plannedStop is a planned stop.
type plannedStop struct {
	requested bool
	// deadline is when the stop begins without a turn.
	deadline time.Time
	begun    bool
}

// Stop begins a planned stop. The instance stays ready until it has its turn, for wait
// at the most; then it is no longer ready, and goes on forwarding.
func (w *World) Stop(wait time.Duration, now time.Time) {
	w.stop = plannedStop{
		requested: true,
		deadline:  now.Add(wait),
	}
	w.beginStopIfDue(now)
}

// beginStopIfDue begins the stop where waiting for a turn is of no use.
func (w *World) beginStopIfDue(now time.Time) {
	if w.stop.requested && (!w.Ready() || !now.Before(w.stop.deadline) || now.Sub(w.lastReply) >= permitTimeout) {
		w.stop.begun = true
	}
}

// StopPending reports whether the instance waits for its turn to stop. One that stops asks
// no more: each fetch that asks is answered at once when the turn has come.
func (w *World) StopPending() bool { return w.stop.requested && !w.stop.begun }

// Stopping reports whether the stop has begun.
func (w *World) Stopping() bool { return w.stop.begun }
