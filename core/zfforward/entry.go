package zfforward

import "time"

// maxEntryWait bounds how long an instance that is able to take traffic waits until it
// may enter the rotation.
const maxEntryWait = 30 * time.Second

// rotationEntry is the entry of an instance that starts into the rotation. Once it has
// entered, only a planned stop or isolation takes it out.
type rotationEntry struct {
	entered bool
	// ableSince is since when the instance has been able to take traffic, or the zero
	// value.
	ableSince time.Time
}

// update lets an instance that is able to take traffic enter unless it has to wait, but
// after maxEntryWait in any case.
func (e *rotationEntry) update(able, wait bool, now time.Time) {
	switch {
	case e.entered:
	case !able:
		e.ableSince = time.Time{}
	case e.ableSince.IsZero():
		e.ableSince = now
		e.entered = !wait
	default:
		e.entered = !wait || now.Sub(e.ableSince) >= maxEntryWait
	}
}

// WaitsToEnter reports whether the instance is able to take traffic and waits until it
// may enter the rotation.
func (w *World) WaitsToEnter() bool { return w.Able() && !w.entry.entered }
