// Package zfclock implements zinniafront.Clock with the system clock.
package zfclock

import "time"

// System implements zinniafront.Clock with the system clock.
type System struct{}

// Now implements zinniafront.Clock.
func (System) Now() time.Time { return time.Now() }

// After implements zinniafront.Clock.
func (System) After(d time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}
