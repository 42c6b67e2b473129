package zfforward

import (
	"time"

	zf "zinniafront"
)

const (
	// stepOutDelay is how long an overload lasts until the instance requests a permit to
	// leave the rotation.
	stepOutDelay = 2 * time.Second
	// stepOutTimeout is how long a permit lasts without renewal: replies come every half
	// second, and another control instance is found within two.
	stepOutTimeout = 3 * time.Second
	// returnDelay is how long the instance must be without strain until it returns.
	returnDelay = 3 * time.Second
)

// stepOut is the leave of an overloaded instance from the rotation, which needs a permit.
// Meanwhile it requests the permit's renewal with each fetch.
type stepOut struct {
	// overloadedSince is since when the instance in the rotation has been overloaded,
	// calmSince since when the one out of it has been without strain, or the zero value.
	overloadedSince time.Time
	calmSince       time.Time
	// requested is set if the instance requests the permit or its renewal.
	requested bool
	out       bool
	// permitted is when the permit was last granted or renewed.
	permitted time.Time
}

// update begins and ends the request for a permit, and the leave. inRotation is set if the
// instance is ready and stays so.
func (s *stepOut) update(strain zf.Strain, inRotation bool, now time.Time) {
	if s.out {
		s.calmSince = sinceIf(strain == zf.StrainNone, s.calmSince, now)
		calm := !s.calmSince.IsZero() && now.Sub(s.calmSince) >= returnDelay
		if calm || now.Sub(s.permitted) >= stepOutTimeout {
			*s = stepOut{}
		}
		return
	}
	s.overloadedSince = sinceIf(strain == zf.StrainOverloaded && inRotation, s.overloadedSince, now)
	s.requested = !s.overloadedSince.IsZero() && now.Sub(s.overloadedSince) >= stepOutDelay
}

// sinceIf returns since when a condition has held, or the zero value if it doesn't.
func sinceIf(holds bool, since, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case since.IsZero():
		return now
	default:
		return since
	}
}

// permit applies a permit that a reply grants or renews. One that is not requested any
// more has no effect.
func (s *stepOut) permit(now time.Time) {
	if s.requested {
		s.out = true
		s.permitted = now
	}
}

// MeasureResources records the use of this instance's resources and returns its strain.
func (w *World) MeasureResources(uses []zf.ResourceUse, now time.Time) zf.Strain {
	w.strain = w.resources.Tick(now, uses)
	w.shedder.Tick(now, w.strain, w.resources.Uses())
	return w.strain
}

// Strain returns how far the resources of this instance suffice.
func (w *World) Strain() zf.Strain { return w.strain }

// ResourceUses returns the smoothed use of each measured resource.
func (w *World) ResourceUses() []zf.ResourceUse { return w.resources.Uses() }

// Admit reports whether a packet may be forwarded although this instance is overloaded. It
// is safe for concurrent use.
func (w *World) Admit(packet zf.Packet) bool { return w.shedder.Admit(packet) }

// ShedShare returns the share of opening packets that Admit refuses.
func (w *World) ShedShare() float64 { return w.shedder.Share() }

// StepOutRequested reports whether this instance requests a permit to leave the rotation,
// or its renewal.
func (w *World) StepOutRequested() bool { return w.stepOut.requested }

// SteppedOut reports whether this instance has left the rotation with a permit. It goes on
// forwarding what arrives.
func (w *World) SteppedOut() bool { return w.stepOut.out }
