package zfforward

import "time"

// replyTimeout is the time since the last reply after which an instance no longer waits
// for what only a reply can grant: a stop permit, or leave to enter the rotation. A
// fetch is held back for half a second at most, so that one reply may be late.
const replyTimeout = 1200 * time.Millisecond

// plannedStop is a planned stop.
type plannedStop struct {
	requested bool
	// deadline is when the stop begins without a permit.
	deadline time.Time
	begun    bool
}

// Stop requests a planned stop. The instance stays ready until it gets a stop permit,
// but no longer than wait. Then it is no longer ready but continues to forward.
func (w *World) Stop(wait time.Duration, now time.Time) {
	w.stop = plannedStop{
		requested: true,
		deadline:  now.Add(wait),
	}
	w.beginStopIfDue(now)
}

// beginStopIfDue begins a requested stop without a permit if the instance is not
// ready anyway, the deadline has passed or replies are overdue.
func (w *World) beginStopIfDue(now time.Time) {
	if w.stop.requested && (!w.Ready() || !now.Before(w.stop.deadline) || now.Sub(w.lastReply) >= replyTimeout) {
		w.stop.begun = true
	}
}

// StopPending reports whether the instance waits for a stop permit. It returns false
// once the stop has begun: a fetch that requests a permit is answered at once when the
// permit is granted, so an instance that kept requesting it would fetch without pause.
func (w *World) StopPending() bool { return w.stop.requested && !w.stop.begun }

// Stopping reports whether the stop has begun.
func (w *World) Stopping() bool { return w.stop.begun }
