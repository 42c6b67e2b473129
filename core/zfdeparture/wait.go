package zfdeparture

import (
	"math"
	"time"

	zf "zinniafront"
)

// The expected wait of a request for a slot is that of a queue with random arrivals: with
// a fill f of the room and a spacing s, in which one backend server completes a request,
// it is s·f²/(1−f). This holds for any number of slots when the fill is high.

// spacing returns the mean time in which one of the backend servers completes a request.
func spacing(room zf.ServiceRoom) time.Duration {
	if room.Room <= 0 {
		return 0
	}
	return time.Duration(float64(room.Servers) / room.Room * float64(time.Second))
}

// expectedWait returns the wait at a fill below 1.
func expectedWait(spacing time.Duration, fill float64) time.Duration {
	return time.Duration(float64(spacing) * fill * fill / (1 - fill))
}

// fillOf returns the fill, 1 at most, at which a wait is expected.
func fillOf(spacing, wait time.Duration) float64 {
	if spacing <= 0 || wait <= 0 {
		return 0
	}
	return 2 / (1 + math.Sqrt(1+4*float64(spacing)/float64(wait)))
}

// evidentFill is the fill from which a wait is compared with the room.
const evidentFill = 0.9

// effectiveRoom returns the requests a second that the backend servers sustain: their room,
// or less if the wait shows that their present demand presses them. A shorter wait is not
// compared, since waits change sooner than counted demand.
func effectiveRoom(room zf.ServiceRoom) float64 {
	if fill := fillOf(spacing(room), room.Wait); fill > evidentFill && room.Demand > 0 {
		return min(room.Room, room.Demand/fill)
	}
	return room.Room
}
