package zfdeparture

import (
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

// Bounds of figures from other instances. Those beyond them are faulty; within them no sum
// and no duration overflows.
const (
	minRate    = 1.0 / 1024
	maxRate    = 1e9
	maxServers = 1_000_000
	maxWait    = time.Hour
	maxBytes   = 1 << 30
)

// bounded returns a room within the bounds.
func bounded(room zf.ServiceRoom) zf.ServiceRoom {
	room.Servers = min(max(room.Servers, 0), maxServers)
	room.Room = boundedRate(room.Room)
	room.Demand = boundedRate(room.Demand)
	room.Own = boundedRate(room.Own)
	room.Wait = boundedWait(room.Wait)
	room.Answer = boundedWait(room.Answer)
	room.Rejected = boundedShare(room.Rejected)
	room.Bytes = min(max(room.Bytes, 0), maxBytes)
	return room
}

// boundedRate returns a rate, or 0 if it is beyond the bounds or not a number.
func boundedRate(rate float64) float64 {
	if rate >= minRate && rate <= maxRate {
		return rate
	}
	return 0
}

// boundedShare returns a share, or 0 if it is beyond the bounds or not a number.
func boundedShare(share float64) float64 {
	if share >= 0 && share <= 1 {
		return share
	}
	return 0
}

func boundedWait(wait time.Duration) time.Duration { return min(max(wait, 0), maxWait) }

// Figures returns the figures of the own data centre for control instances of others, as
// of the last decision: those of the services with traffic in any data centre.
func (t *Table) Figures(now time.Time) []zf.ServiceRoom {
	figures := slices.Clone(t.figures)
	for i := range figures {
		figures[i].Age += now.Sub(t.lastDecision)
	}
	return figures
}

func (t *Table) listFigures(now time.Time) []zf.ServiceRoom {
	if !t.complete(now) || !t.fresh(t.config.Self, now) {
		return nil
	}
	var figures []zf.ServiceRoom
	for _, k := range t.sortedKeys(func(r *row) bool { return r.demand[t.config.Self] > 0 || r.room.Centre == t.config.Self }) {
		switch sent := t.rows[k].demand[t.config.Self]; {
		case k.centre != t.config.Self:
			figures = append(figures, rounded(zf.ServiceRoom{
				Service: k.service,
				Centre:  k.centre,
				Demand:  sent,
				Age:     now.Sub(t.centre(t.config.Self).measuredAt),
			}))
		case t.hasTraffic(k.service):
			figures = append(figures, rounded(t.serviceRoom(k, now)))
		}
	}
	return figures
}

func (t *Table) hasTraffic(service zf.ServiceName) bool {
	for name := range t.centres {
		if t.callersDemand(service, name) > 0 {
			return true
		}
	}
	return false
}

// The resolutions of figures in messages; shorter numbers make shorter messages.
const (
	rateResolution = 1.0 / 8
	waitResolution = 100 * time.Microsecond
	partResolution = 1.0 / 64
)

func rounded(figure zf.ServiceRoom) zf.ServiceRoom {
	figure.Room = math.Round(figure.Room/rateResolution) * rateResolution
	figure.Demand = math.Round(figure.Demand/rateResolution) * rateResolution
	figure.Own = math.Round(figure.Own/rateResolution) * rateResolution
	figure.Wait = figure.Wait.Round(waitResolution)
	figure.Answer = figure.Answer.Round(waitResolution)
	figure.Rejected = math.Round(figure.Rejected/partResolution) * partResolution
	return figure
}
