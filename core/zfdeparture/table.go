// Package zfdeparture decides which share of a service's new flows leaves the data centre
// of their callers, and where it goes. Its table has a row for each service and data
// centre: the room of the backend servers there, their expected wait, and the demand by
// the callers' data centre. Control instances of all data centres exchange these figures;
// its system decides for the own data centre.
package zfdeparture

import (
	"cmp"
	"maps"
	"slices"
	"time"

	zf "zinniafront"
)

// Config holds the parameters of a table.
type Config struct {
	// Self is the own data centre. Source identifies this control instance: of those of
	// one data centre that reach each other, the one with the lowest decides.
	Self   zf.CentreName
	Source uint64
	// Leave is set if new flows may leave. Otherwise figures are exchanged only.
	Leave bool
	// Kilobyte is the shorter wait for which a kilobyte of answers may be moved between
	// data centres.
	Kilobyte time.Duration
	// Delay is the assumed round trip to a data centre for which it is not known.
	Delay time.Duration
}

const (
	// figureTimeout is the age of another data centre's figures from which it has no
	// room to give.
	figureTimeout = 3 * time.Second
	// rowTimeout is how long a row without figures is kept.
	rowTimeout = time.Minute
	// centreTimeout is how long a data centre without rows is kept. While it is cut off from
	// here, it may still send flows where the own data centre does.
	centreTimeout = time.Hour
)

// key identifies a row.
type key struct {
	service zf.ServiceName
	centre  zf.CentreName
}

// row holds the figures of one service in one data centre.
type row struct {
	// room is as the data centre reported it, measured at measuredAt.
	room       zf.ServiceRoom
	measuredAt time.Time
	// demand is the number of requests a second, by the data centre of their callers.
	demand map[zf.CentreName]float64
	// share is the share of the own data centre's new flows that goes to this one.
	share float64
}

// centre holds what is known about one data centre.
type centre struct {
	// measuredAt is when the latest of its figures were measured.
	measuredAt time.Time
	// reportedAt is when it last reported any, or zero.
	reportedAt time.Time
	// reported are the rows that they belong to.
	reported []key
	// delay is the round trip to it, or 0 if that is not known.
	delay time.Duration
}

// Table holds the rows. It belongs to the control goroutine.
type Table struct {
	config   Config
	rows     map[key]*row
	centres  map[zf.CentreName]*centre
	services map[zf.ServiceName]*service
	// startedAt is when the system first ran, or went on after a suspension. lastDecision
	// is when it last decided.
	startedAt    time.Time
	lastDecision time.Time
	decider      decider
	// figures and departures are those of the last decision.
	figures    []zf.ServiceRoom
	departures []zf.Departure
	changes    []Change
}

// decider holds the last decisions of another control instance of the own data centre.
type decider struct {
	departures []zf.Departure
	receivedAt time.Time
}

// New returns a table without rows.
func New(config Config) *Table {
	return &Table{
		config:   config,
		rows:     make(map[key]*row),
		centres:  make(map[zf.CentreName]*centre),
		services: make(map[zf.ServiceName]*service),
	}
}

// row returns a row, which it adds if needed, and its key.
func (t *Table) row(service zf.ServiceName, centre zf.CentreName) (*row, key) {
	k := key{
		service: service,
		centre:  centre,
	}
	r := t.rows[k]
	if r == nil {
		r = &row{
			demand: make(map[zf.CentreName]float64),
		}
		t.rows[k] = r
	}
	return r, k
}

// find returns a row, or nil.
func (t *Table) find(service zf.ServiceName, centre zf.CentreName) *row {
	return t.rows[key{
		service: service,
		centre:  centre,
	}]
}

// roomOf returns the room of a row, or the zero value.
func (t *Table) roomOf(service zf.ServiceName, centre zf.CentreName) zf.ServiceRoom {
	if r := t.find(service, centre); r != nil {
		return r.room
	}
	return zf.ServiceRoom{}
}

func (t *Table) centre(name zf.CentreName) *centre {
	c := t.centres[name]
	if c == nil {
		c = &centre{}
		t.centres[name] = c
	}
	return c
}

// Record replaces the figures that the control instances of a data centre report: the
// rooms of its own backend servers, and the demand that its callers send to others.
// Figures that were measured before those in the table are ignored.
func (t *Table) Record(from zf.CentreName, figures []zf.ServiceRoom, now time.Time) {
	if len(figures) == 0 || from == "" {
		return
	}
	age := figures[0].Age
	for _, figure := range figures {
		age = min(age, figure.Age)
	}
	measuredAt := now.Add(-max(age, 0))
	c := t.centre(from)
	if measuredAt.Before(c.measuredAt) {
		return
	}
	c.measuredAt = measuredAt
	c.reportedAt = now
	for _, k := range c.reported {
		if r := t.rows[k]; r != nil {
			r.forget(k, from)
		}
	}
	c.reported = c.reported[:0]
	for _, figure := range figures {
		figure = bounded(figure)
		if figure.Centre != from && figure.Demand == 0 {
			continue
		}
		t.centre(figure.Centre)
		r, k := t.row(figure.Service, figure.Centre)
		c.reported = append(c.reported, k)
		if figure.Centre != from {
			r.demand[from] = figure.Demand
			continue
		}
		r.room = figure
		r.measuredAt = now.Add(-max(figure.Age, 0))
		r.demand[from] = figure.Own
		if from == t.config.Self {
			r.room.Demand = t.totalDemand(figure.Service, from, now)
		}
	}
}

// forget removes what a data centre reported of a row.
func (r *row) forget(k key, from zf.CentreName) {
	delete(r.demand, from)
	if k.centre == from {
		r.room = zf.ServiceRoom{}
	}
}

// delayRise is the part of a longer round trip by which the known one rises. Single
// round trips include waits for processors and retransmissions.
const delayRise = 1.0 / 64

// RecordDelay records a measured round trip to a data centre.
func (t *Table) RecordDelay(to zf.CentreName, roundTrip time.Duration) {
	if to == t.config.Self || to == "" || roundTrip <= 0 {
		return
	}
	roundTrip = boundedWait(roundTrip)
	c := t.centre(to)
	switch {
	case c.delay == 0 || roundTrip < c.delay:
		c.delay = roundTrip
	default:
		c.delay += time.Duration(delayRise * float64(roundTrip-c.delay))
	}
}

func (t *Table) delay(to zf.CentreName) time.Duration {
	if c := t.centres[to]; c != nil && c.delay > 0 {
		return c.delay
	}
	return t.config.Delay
}

// fresh reports whether the figures of a data centre are recent enough to send flows
// there.
func (t *Table) fresh(name zf.CentreName, now time.Time) bool {
	c := t.centres[name]
	return c != nil && !c.measuredAt.IsZero() && now.Sub(c.measuredAt) < figureTimeout
}

// freshRoom reports whether the room of a row is recent enough as well.
func (t *Table) freshRoom(service zf.ServiceName, centre zf.CentreName, now time.Time) bool {
	r := t.find(service, centre)
	return r != nil && t.fresh(centre, now) && now.Sub(r.measuredAt) < figureTimeout
}

// callersDemand returns the requests a second of a data centre's callers to all data
// centres.
func (t *Table) callersDemand(service zf.ServiceName, from zf.CentreName) float64 {
	sum := 0.0
	for name := range t.centres {
		if r := t.find(service, name); r != nil {
			sum += r.demand[from]
		}
	}
	return sum
}

// totalDemand returns the requests a second to a data centre from all whose figures are
// fresh.
func (t *Table) totalDemand(service zf.ServiceName, to zf.CentreName, now time.Time) float64 {
	r := t.find(service, to)
	if r == nil {
		return 0
	}
	sum := 0.0
	for from, demand := range r.demand {
		if t.fresh(from, now) {
			sum += demand
		}
	}
	return sum
}

// complete reports whether this instance's figures are complete: entry instances have
// had the time to report theirs since the start or a suspension.
func (t *Table) complete(now time.Time) bool {
	return !t.startedAt.IsZero() && now.Sub(t.startedAt) >= figureTimeout
}

// ServiceRooms returns the rooms in all data centres whose figures are fresh.
func (t *Table) ServiceRooms(now time.Time) []zf.ServiceRoom {
	var rooms []zf.ServiceRoom
	for _, k := range t.sortedKeys(func(r *row) bool { return r.room.Service != "" && t.freshRoom(r.room.Service, r.room.Centre, now) }) {
		rooms = append(rooms, t.serviceRoom(k, now))
	}
	return rooms
}

// serviceRoom returns the room of a row with the demand and the age as of now.
func (t *Table) serviceRoom(k key, now time.Time) zf.ServiceRoom {
	r := t.rows[k]
	room := r.room
	room.Service = k.service
	room.Centre = k.centre
	room.Own = r.demand[k.centre]
	room.Demand = t.totalDemand(k.service, k.centre, now)
	room.Age = now.Sub(r.measuredAt)
	return room
}

// sortedKeys returns the keys of some rows, by service and data centre.
func (t *Table) sortedKeys(has func(r *row) bool) []key {
	var keys []key
	for k, r := range t.rows {
		if has(r) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.centre, b.centre))
	})
	return keys
}

// expire removes the rows without recent figures and without flows, and the data centres
// without rows that have not reported for long.
func (t *Table) expire(now time.Time) {
	for name, c := range t.centres {
		if now.Sub(c.measuredAt) < rowTimeout || c.measuredAt.IsZero() {
			continue
		}
		c.measuredAt = time.Time{}
		for _, k := range c.reported {
			if r := t.rows[k]; r != nil {
				r.forget(k, name)
			}
		}
		c.reported = nil
	}
	used := make(map[zf.CentreName]bool, len(t.centres))
	for k, r := range t.rows {
		if r.room.Service == "" && len(r.demand) == 0 && r.share == 0 {
			delete(t.rows, k)
			continue
		}
		used[k.centre] = true
	}
	maps.DeleteFunc(t.centres, func(name zf.CentreName, c *centre) bool { return !used[name] && now.Sub(c.reportedAt) >= centreTimeout })
}
