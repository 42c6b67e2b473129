// Package zfadmission decides how many new flows of a service are turned away while no
// data centre has room for them, and which ones. Table is for control instances: it has a
// row for each service, and its system derives the shares of new flows that are admitted.
// Callers is for entry instances and applies the shares to opening packets.
package zfadmission

import (
	"cmp"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfload"
)

const (
	// stepInterval is the time between two steps of the system.
	stepInterval = 500 * time.Millisecond
	// maxFigureAge is the age from which the figures of a data centre are ignored.
	maxFigureAge = 5 * time.Second
	// maxStepGap is the time between two steps from which this instance is considered to
	// have been suspended, so that the limits start afresh.
	maxStepGap = maxFigureAge
)

// Table holds the services whose demand exceeds their room.
type Table struct {
	centre   zf.CentreName
	rows     map[zf.ServiceName]*row
	lastStep time.Time
	changes  []Change
	means    map[zf.ServiceName]*means
}

// means are those of a service over some time.
type means struct {
	// usual is the share of requests that seem rejected while the service has room: those
	// that take much less time than others.
	usual float64
	// demand is the mean demand over the time for which rejected requests are counted.
	demand float64
}

// New returns the table of a control instance in a data centre.
func New(centre zf.CentreName) *Table {
	return &Table{
		centre: centre,
		rows:   make(map[zf.ServiceName]*row),
		means:  make(map[zf.ServiceName]*means),
	}
}

// Change is a change of a limit, with the figures that caused it.
type Change struct {
	Service zf.ServiceName
	// Share is the share of new flows that are admitted, 1 if the limit has ended.
	Share float64
	// Room and Demand are in requests a second, over all data centres.
	Room   float64
	Demand float64
	// Wait is the expected wait for a slot, Bound the longest that callers bear.
	Wait  time.Duration
	Bound time.Duration
	// Age is the time since the oldest of the figures was measured.
	Age time.Duration
}

// Input holds what the system reads.
type Input struct {
	// Rooms are those of all data centres, Out the data centres taken out of service.
	Rooms  []zf.ServiceRoom
	Out    []zf.CentreName
	Routes []zfbundle.Route
}

// Tick runs the system if a step is due.
func (t *Table) Tick(now time.Time, input Input) {
	passed := now.Sub(t.lastStep)
	if passed < stepInterval {
		return
	}
	t.lastStep = now
	if passed >= maxStepGap {
		t.endAll(now)
	}
	bounds := waitBounds(input.Routes)
	figures := t.sumRooms(input)
	for service, bound := range bounds {
		f, known := figures[service]
		if !known {
			continue
		}
		r := t.rows[service]
		f = t.meansOf(service, f).update(f, r != nil && r.limited)
		if r == nil {
			if f.demand <= f.room {
				continue
			}
			r = newRow()
			t.rows[service] = r
		}
		r.step(f, bound, now)
		t.recordChange(service, r, bound, now)
	}
	for service := range t.means {
		if _, bounded := bounds[service]; !bounded {
			delete(t.means, service)
		}
	}
	for service, r := range t.rows {
		_, known := figures[service]
		if _, bounded := bounds[service]; !known || !bounded {
			r.end()
			t.recordChange(service, r, bounds[service], now)
		}
		if !r.limited && r.excessSince.IsZero() {
			delete(t.rows, service)
		}
	}
}

const (
	// usualTime is the time constant of the usual share of requests that seem rejected:
	// overload that the demand doesn't show yet must not seem usual.
	usualTime = 30 * time.Second
	// maxUsual is the upper bound of that share.
	maxUsual = 0.9
)

// meansOf returns the means of a service, which begin with its first figures.
func (t *Table) meansOf(service zf.ServiceName, f figures) *means {
	m := t.means[service]
	if m == nil {
		m = &means{
			demand: f.demand,
		}
		t.means[service] = m
	}
	return m
}

// update updates the means by new figures, and returns those with the mean demand and the
// rejected share of the requests that are not usually rejected. That share is learned while
// the service has room.
func (m *means) update(f figures, limited bool) figures {
	m.demand += (f.demand - m.demand) * float64(stepInterval) / float64(zfload.CountTime)
	if !limited && f.demand <= f.room {
		m.usual += (f.rejected - m.usual) * float64(stepInterval) / float64(usualTime)
		m.usual = min(m.usual, maxUsual)
	}
	f.meanDemand = m.demand
	f.rejected = max(f.rejected-m.usual, 0) / (1 - m.usual)
	return f
}

// endAll ends all limits.
func (t *Table) endAll(now time.Time) {
	for service, r := range t.rows {
		r.end()
		t.recordChange(service, r, 0, now)
	}
	clear(t.rows)
}

// Limits returns the limits in force, by service. A service whose demand exceeds its room
// has one with share 1, so that entry instances know its callers when it is needed.
func (t *Table) Limits() []zf.AdmissionLimit {
	var limits []zf.AdmissionLimit
	for service, r := range t.rows {
		limits = append(limits, zf.AdmissionLimit{
			Service: service,
			Share:   r.share,
			Wait:    r.wait(),
		})
	}
	slices.SortFunc(limits, func(a, b zf.AdmissionLimit) int { return cmp.Compare(a.Service, b.Service) })
	return limits
}

const (
	// minReportedChange is the change of a share that is reported while a limit is in
	// force, minReportInterval the time between two such reports.
	minReportedChange = 0.1
	minReportInterval = 2 * time.Second
)

// recordChange records that a limit has begun, ended or changed by much.
func (t *Table) recordChange(service zf.ServiceName, r *row, bound time.Duration, now time.Time) {
	share := 1.0
	if r.limited {
		share = r.share
	}
	difference := max(share-r.reportedShare, r.reportedShare-share)
	switch {
	case r.limited != r.reported:
	case !r.limited, difference < minReportedChange, now.Sub(r.reportedAt) < minReportInterval:
		return
	}
	r.reported = r.limited
	r.reportedShare = share
	r.reportedAt = now
	t.changes = append(t.changes, Change{
		Service: service,
		Share:   share,
		Room:    r.figures.room,
		Demand:  r.figures.demand,
		Wait:    r.wait(),
		Bound:   bound,
		Age:     r.figures.age,
	})
}

// TakeChanges returns and clears the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// figures are the sums of a service over all data centres with recent figures.
type figures struct {
	room   float64
	demand float64
	// meanDemand is that of means.
	meanDemand float64
	// wait, answer and rejected are the means of the data centres, weighted by demand.
	wait     time.Duration
	answer   time.Duration
	rejected float64
	age      time.Duration
}

// sumRooms sums the figures of each service over the data centres in service. Services
// without room are left out, and those without recent figures of the own data centre
// unless that is out.
func (t *Table) sumRooms(input Input) map[zf.ServiceName]figures {
	sums := make(map[zf.ServiceName]figures)
	known := make(map[zf.ServiceName]bool)
	ownOut := slices.Contains(input.Out, t.centre)
	for _, room := range input.Rooms {
		if room.Age >= maxFigureAge || slices.Contains(input.Out, room.Centre) {
			continue
		}
		known[room.Service] = known[room.Service] || ownOut || room.Centre == t.centre
		f := sums[room.Service]
		f.room += room.Room
		f.demand += room.Demand
		if room.Demand > 0 {
			weight := room.Demand / f.demand
			f.wait += time.Duration(float64(room.Wait-f.wait) * weight)
			f.answer += time.Duration(float64(room.Answer-f.answer) * weight)
			f.rejected += (room.Rejected - f.rejected) * weight
		}
		f.age = max(f.age, room.Age)
		sums[room.Service] = f
	}
	for service, f := range sums {
		if !known[service] || f.room <= 0 {
			delete(sums, service)
		}
	}
	return sums
}

// waitShare is the share of the target latency that a request may wait for a slot. The
// rest is left for its processing and the round trips.
const waitShare = 0.5

// waitBounds returns the longest wait for a slot that the callers of each service bear.
// Services without a route that states its target are left out.
func waitBounds(routes []zfbundle.Route) map[zf.ServiceName]time.Duration {
	bounds := make(map[zf.ServiceName]time.Duration)
	for _, route := range routes {
		if route.Target <= 0 {
			continue
		}
		target := route.Target
		if route.Deadline > 0 {
			target = min(target, route.Deadline)
		}
		bound := time.Duration(float64(target) * waitShare)
		for _, t := range route.Targets {
			if earlier, ok := bounds[t.Service]; t.Weight > 0 && (!ok || bound < earlier) {
				bounds[t.Service] = bound
			}
		}
	}
	return bounds
}
