package zfadmission

import "time"

const (
	// onsetTime is how long the demand has to exceed the room before a limit begins.
	onsetTime = 1500 * time.Millisecond
	// endTime is how long all new flows have to be admitted, with a wait below
	// endWaitShare of its bound, before a limit ends.
	endTime      = time.Second
	endWaitShare = 0.5
	// minRejected is the share of rejected requests from which a service is overloaded.
	minRejected = 0.05
	// maxProbeRejected is the share of rejected requests up to which the proven room may be
	// above the demand, by the factor probe. It grows by probeStep in a step, so that queues
	// show in the figures in time. provenGain is the part of the way that it goes to what is
	// processed while more requests are rejected.
	maxProbeRejected = 0.01
	probe            = 1.04
	probeStep        = 1.01
	provenGain       = 0.3
	// heldShare is the share of the proven room below which a demand says nothing of it.
	heldShare = 0.9
	// usedShare is the share of the room that a limit fills. It is drainShare while
	// requests wait for longer than callers bear, so that queues get shorter.
	usedShare  = 0.97
	drainShare = 0.8
	// gain is the part of the way to the computed share that one step goes. minDecrease
	// and maxIncrease bound the factor of a step, minIncrease lets small shares grow.
	// A step goes all the way if the demand is below idleShare of the room.
	gain        = 0.2
	idleShare   = 0.7
	minDecrease = 0.5
	maxIncrease = 2
	minIncrease = 0.05
	// minShare is the share of new flows that is always admitted, so that no kind of
	// request is starved for good and its load remains known.
	minShare = 0.02
	// limitDelay is the time after which entry instances apply a limit, measuringTime
	// the span over which they measure the demand.
	limitDelay    = 500 * time.Millisecond
	measuringTime = time.Second
)

// row is the state of one service.
type row struct {
	figures figures
	// excessSince is since when the demand has exceeded the room of an overloaded service,
	// the time of the last step if the service isn't overloaded, or the zero value.
	// backlog is the time that working off the excess would take.
	excessSince time.Time
	backlog     time.Duration
	limited     bool
	share       float64
	// openSince is since when all new flows have been admitted under the limit, or the
	// zero value.
	openSince time.Time
	history   history
	lastStep  time.Time
	// proven is the room that processed requests prove while the limit is in force, or 0.
	proven float64

	// reported, reportedShare and reportedAt are those of the last Change.
	reported      bool
	reportedShare float64
	reportedAt    time.Time
}

func newRow() *row {
	return &row{
		share:         1,
		reportedShare: 1,
	}
}

// wait returns the expected wait of a request. A backend server with a full queue refuses
// requests, so that those that it accepts wait shortly although the service lacks room;
// the excess is then what the others wait for.
func (r *row) wait() time.Duration { return max(r.figures.wait, r.backlog) }

// step updates the limit by new figures.
func (r *row) step(f figures, bound time.Duration, now time.Time) {
	passed := min(now.Sub(r.lastStep), maxStepGap)
	r.lastStep = now
	r.figures = f
	if !r.limited {
		r.watch(bound, passed, now)
		return
	}
	r.adjust(bound, now)
	if r.share < 1 || r.wait() >= time.Duration(float64(bound)*endWaitShare) {
		r.openSince = time.Time{}
		return
	}
	if r.openSince.IsZero() {
		r.openSince = now
	}
	if now.Sub(r.openSince) >= endTime {
		r.end()
	}
}

// overloaded reports whether callers notice that the service lacks room: requests are rejected
// or answered after their target. The room is an estimate, and one that is too low would
// turn flows away that backend servers have room for.
func (f *figures) overloaded(bound time.Duration) bool {
	return f.rejected >= minRejected || f.answer > time.Duration(float64(bound)/waitShare)
}

// watch begins the limit once the demand has exceeded the room of an overloaded service for
// onsetTime and the expected wait is beyond its bound.
func (r *row) watch(bound, passed time.Duration, now time.Time) {
	f := r.figures
	if f.demand <= f.room {
		r.end()
		return
	}
	if r.excessSince.IsZero() || !f.overloaded(bound) {
		r.excessSince = now
		r.backlog = 0
	} else {
		r.backlog += time.Duration(float64(passed) * (f.demand/f.room - 1))
	}
	if now.Sub(r.excessSince) >= onsetTime && r.wait() > bound {
		r.limited = true
		r.backlog = 0
		r.adjust(bound, now)
	}
}

// prove updates the proven room. Requests that are answered in time and not rejected show
// what backend servers can take even if the room was learned too small.
func (r *row) prove(bound time.Duration) {
	f := r.figures
	processed := f.meanDemand * (1 - f.rejected)
	switch {
	case f.answer <= 0 || f.answer > bound:
		r.proven = 0
	case f.rejected < maxProbeRejected:
		r.proven = max(r.proven, min(f.demand*probe, max(f.room, r.proven)*probeStep))
	case r.proven == 0:
		r.proven = processed
	case f.demand < heldShare*r.proven:
		// Requests were rejected before the demand fell.
	default:
		r.proven += (processed - r.proven) * provenGain
	}
}

// adjust moves the share by one step towards the one that fills the room. The demand was
// measured while earlier shares were in force, so the new share is relative to those:
// this converges without oscillation although figures and limits travel for seconds.
func (r *row) adjust(bound time.Duration, now time.Time) {
	r.prove(bound)
	room := max(r.figures.room, r.proven)
	used := usedShare
	if r.figures.wait > bound && r.proven < r.figures.room {
		used = drainShare
	}
	measured := now.Add(-r.figures.age - limitDelay)
	earlier := r.history.mean(measured.Add(-measuringTime), measured)
	wanted := earlier * used * room / max(r.figures.demand, 1)
	next := r.share + gain*(wanted-r.share)
	if earlier == 1 || r.figures.demand < idleShare*room {
		next = wanted // No noise or delay explains such a difference.
	}
	next = min(max(next, r.share*minDecrease), r.share*maxIncrease+minIncrease)
	r.share = min(max(next, minShare), 1)
	r.history.add(r.share, now)
}

// end ends the limit and forgets the excess.
func (r *row) end() {
	r.limited = false
	r.share = 1
	r.excessSince = time.Time{}
	r.openSince = time.Time{}
	r.backlog = 0
	r.proven = 0
	r.history = history{}
}

// historySize is the number of steps that the age of figures, their measurement and the
// way of the limits may take.
const historySize = int((maxFigureAge+limitDelay+measuringTime)/stepInterval) + 2

// history holds the latest shares of a limit.
type history struct {
	entries [historySize]historyEntry
	count   int
}

type historyEntry struct {
	share float64
	at    time.Time
}

// add records the share that applies from a time on.
func (h *history) add(share float64, at time.Time) {
	h.entries[h.count%historySize] = historyEntry{
		share: share,
		at:    at,
	}
	h.count++
}

// mean returns the mean share between two times.
func (h *history) mean(from, to time.Time) float64 {
	sum := 0.0
	until := to
	for i := h.count - 1; i >= max(h.count-historySize, 0) && until.After(from); i-- {
		entry := h.entries[i%historySize]
		if !entry.at.Before(until) {
			continue
		}
		begin := entry.at
		if begin.Before(from) {
			begin = from
		}
		sum += entry.share * float64(until.Sub(begin))
		until = begin
	}
	if until.After(from) {
		sum += float64(until.Sub(from)) // All new flows were admitted before the limit began.
	}
	return sum / float64(to.Sub(from))
}
