package zfforward

import (
	"time"

	zf "zinniafront"
)

// limitTimeout is the time after which limits expire that no reply has renewed: an instance
// that is cut off from control instances turns nothing away.
const limitTimeout = 5 * time.Second

// receivedLimits are the limits of the last reply that had total loads.
type receivedLimits struct {
	limits     []zf.AdmissionLimit
	receivedAt time.Time
}

func (r *receivedLimits) replace(limits []zf.AdmissionLimit, now time.Time) {
	r.limits = limits
	r.receivedAt = now
}

// inForce returns the limits unless they have expired.
func (r *receivedLimits) inForce(now time.Time) []zf.AdmissionLimit {
	if now.Sub(r.receivedAt) >= limitTimeout {
		r.limits = nil
	}
	return r.limits
}
