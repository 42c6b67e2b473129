// Package zfroom estimates what backend servers can take. Its table has a row for each
// backend server: the time that it takes for a request, learned from answers, the
// requests that it gets, and the wait for a slot that follows from both.
package zfroom

import (
	"cmp"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfload"
)

// Config configures a table.
type Config struct {
	// CookieOf returns the cookie of one incarnation of a backend server.
	CookieOf func(name zf.ServerName, born time.Time) zf.Cookie
	// Shares is set if Row.Share is needed.
	Shares bool
}

const (
	// initialTime is the service time of a service none of whose answers has been
	// observed.
	initialTime = 20 * time.Millisecond
	// minTime is the lower bound of the service time of a service.
	minTime = 100 * time.Microsecond
	// priorAnswers is the number of answers that a backend server's own mean needs to
	// count as much as that of its service.
	priorAnswers = 2
	// minTimeFactor and maxTimeFactor bound a backend server's service time relative to
	// the mean of its service. One that answers errors at once must not seem fast.
	minTimeFactor = 0.5
	maxTimeFactor = 8
)

// Row is one backend server.
type Row struct {
	Cookie  zf.Cookie
	Service zf.ServiceName
	Centre  zf.CentreName
	Slots   int
	// Usable is set if the backend server takes new flows.
	Usable bool
	// Weight is the share of its full speed that it has in its state.
	Weight float64
	// Time is the learned time that a request occupies a slot.
	Time time.Duration
	// Rate is the number of requests a second that it gets.
	Rate float64
	// Wait is the expected wait for a slot of one more request.
	Wait time.Duration
	// Share is the rate of requests that it should get relative to the others of its
	// service and data centre, as a part of the largest of the service.
	Share float64
	// load is the load that was last set.
	load zf.ServerLoad
	// measured is the service time that follows from the load alone, or 0.
	measured time.Duration
}

// Room returns the number of requests a second that the backend server sustains.
func (r Row) Room() float64 { return float64(r.Slots) / r.Time.Seconds() }

// service is what is known of all backend servers of a service.
type service struct {
	// time is the mean service time at full speed.
	time time.Duration
	// busy and answers are its sums while it is computed.
	busy    float64
	answers float64
}

// Table holds the rows. Its rows are keyed by cookie.
type Table struct {
	config   Config
	rows     map[zf.Cookie]*Row
	services map[zf.ServiceName]*service
	trends   map[key]*trend
	// updated is when the loads were last set, partial is true if those are of one instance.
	updated time.Time
	partial bool
}

// New returns a table without rows.
func New(config Config) *Table {
	return &Table{
		config:   config,
		rows:     make(map[zf.Cookie]*Row),
		services: make(map[zf.ServiceName]*service),
	}
}

// SetServers replaces the backend servers. Those that remain keep what was learned of
// them; another incarnation begins with the mean of its service.
func (t *Table) SetServers(rows []zf.ServerView) {
	next := make(map[zf.Cookie]*Row, len(rows))
	services := make(map[zf.ServiceName]*service, len(t.services))
	for _, view := range rows {
		if view.State == zf.ServerGone {
			continue
		}
		cookie := t.config.CookieOf(view.Name, view.Born)
		row := t.rows[cookie]
		if row == nil {
			row = &Row{
				Cookie: cookie,
			}
		}
		row.Service = view.Service
		row.Centre = view.Centre
		row.Slots = max(view.Slots, 1)
		row.Usable = view.Allowed && view.Weight > 0 && view.State != zf.ServerSilent && !view.Suspect
		row.Weight = view.Weight
		next[cookie] = row
		if services[view.Service] == nil {
			services[view.Service] = t.service(view.Service)
		}
	}
	t.rows = next
	t.services = services
	t.estimate()
}

// service returns what is known of a service.
func (t *Table) service(name zf.ServiceName) *service {
	if known := t.services[name]; known != nil {
		return known
	}
	return &service{
		time: initialTime,
	}
}

// SetLoads replaces the loads, the sums of all instances, and learns from them.
func (t *Table) SetLoads(loads []zf.ServerLoad, now time.Time) {
	t.partial = false
	t.setLoads(loads, now)
}

// SetOwnLoads replaces the loads by those that one instance observed, which show service
// times, but not how many requests others send.
func (t *Table) SetOwnLoads(loads []zf.ServerLoad, now time.Time) {
	t.partial = true
	t.setLoads(loads, now)
}

func (t *Table) setLoads(loads []zf.ServerLoad, now time.Time) {
	t.updated = now
	for _, row := range t.rows {
		row.load = zf.ServerLoad{}
	}
	for _, load := range loads {
		if row := t.rows[load.Cookie]; row != nil {
			row.load = bounded(load)
		}
	}
	for _, row := range t.rows {
		row.measure()
		row.addTo(t.services[row.Service])
	}
	for _, s := range t.services {
		s.update()
	}
	t.estimate()
	t.updateTrends(now)
}

// Bounds of loads from other instances. Those beyond them are faulty; within them no sum and no
// duration overflows.
const (
	maxRequests   = 1_000_000
	maxAnswerTime = time.Minute
)

// bounded returns a load within the bounds.
func bounded(load zf.ServerLoad) zf.ServerLoad {
	load.Requests = boundedCount(load.Requests)
	load.Answers = boundedCount(load.Answers)
	load.Rejected = boundedCount(load.Rejected)
	load.Busy = min(max(load.Busy, 0), time.Duration(load.Answers)*maxAnswerTime)
	load.Bytes = max(load.Bytes, 0)
	return load
}

func boundedCount(count int) int { return min(max(count, 0), maxRequests) }

// estimate derives times, waits and shares from what was measured.
func (t *Table) estimate() {
	for _, row := range t.rows {
		row.estimate(t.services[row.Service].time)
	}
	if t.config.Shares {
		t.share()
	}
}

// measure derives the service time from the load alone.
func (r *Row) measure() {
	r.Rate = float64(r.load.Requests) / zfload.DecayTime.Seconds()
	r.measured = 0
	if r.load.Answers <= 0 {
		return
	}
	mean := r.load.Busy / time.Duration(r.load.Answers)
	r.measured = CurveOf(r.Slots).serviceTime(mean, r.processedRate(), r.Slots)
}

// processedRate returns the rate of the requests that are not rejected at once.
func (r *Row) processedRate() float64 {
	return r.Rate * float64(r.load.Answers) / float64(r.load.Answers+r.load.Rejected)
}

func (r *Row) addTo(s *service) {
	if r.Weight > 0 {
		s.busy += float64(r.load.Answers) * float64(r.measured) * r.Weight
		s.answers += float64(r.load.Answers)
	}
}

// update computes the mean. A service without answers keeps what was learned of it.
func (s *service) update() {
	mean := (s.busy + priorAnswers*float64(s.time)) / (s.answers + priorAnswers)
	s.time = max(time.Duration(mean), minTime)
	s.busy, s.answers = 0, 0
}

// estimate derives the expected wait from the measured time and the mean of the service.
func (r *Row) estimate(mean time.Duration) {
	expected := float64(mean)
	if r.Weight > 0 {
		expected /= r.Weight
	}
	answers := float64(r.load.Answers)
	own := (answers*float64(r.measured) + priorAnswers*expected) / (answers + priorAnswers)
	r.Time = time.Duration(min(max(own, minTimeFactor*expected), maxTimeFactor*expected))
	r.Wait = expectedWait(r.Slots, r.Time, float64(r.load.Requests+1)/zfload.DecayTime.Seconds())
}

// expectedWait returns the wait for a slot at a rate of requests a second.
func expectedWait(slots int, serviceTime time.Duration, rate float64) time.Duration {
	use := rate * serviceTime.Seconds() / float64(slots)
	return time.Duration(CurveOf(slots).At(use) * float64(serviceTime))
}

// Server returns the row of a backend server; ok is false if there is none.
func (t *Table) Server(cookie zf.Cookie) (row Row, ok bool) {
	if r := t.rows[cookie]; r != nil {
		return *r, true
	}
	return Row{}, false
}

// ServiceTime returns the mean service time of a service's backend servers at full speed,
// or 0 if it has none.
func (t *Table) ServiceTime(name zf.ServiceName) time.Duration {
	if s := t.services[name]; s != nil {
		return s.time
	}
	return 0
}

// key identifies a service in a data centre.
type key struct {
	service zf.ServiceName
	centre  zf.CentreName
}

func (r *Row) key() key {
	return key{
		service: r.Service,
		centre:  r.Centre,
	}
}

// sums are the sums over the backend servers of a key.
type sums struct {
	trend   float64
	room    zf.ServiceRoom
	wait    float64
	waits   float64
	bytes   float64
	answers float64
	// rejected and busy are those of the loads.
	rejected float64
	busy     float64
}

func (s *sums) add(r *Row) {
	s.room.Demand += r.Rate * s.trend
	s.bytes += float64(r.load.Bytes)
	s.answers += float64(r.load.Answers)
	s.rejected += float64(r.load.Rejected)
	s.busy += float64(r.load.Busy)
	if !r.Usable {
		return
	}
	s.room.Servers++
	s.room.Room += r.Room()
	requests := s.trend*float64(r.load.Requests) + 1
	s.wait += requests * float64(expectedWait(r.Slots, r.Time, requests/zfload.DecayTime.Seconds()))
	s.waits += requests
}

// priorReplies is the number of answered requests below which rejected ones are chance.
const priorReplies = 10

// result returns the room with its means.
func (s *sums) result() zf.ServiceRoom {
	room := s.room
	if s.waits > 0 {
		room.Wait = time.Duration(s.wait / s.waits)
	}
	if s.answers > 0 {
		room.Bytes = int(s.bytes / s.answers)
		room.Answer = time.Duration(s.busy / s.answers)
	}
	room.Rejected = s.rejected / (s.answers + s.rejected + priorReplies)
	return room
}

// Rooms returns the room of each service in each data centre, in the order of both
// names.
func (t *Table) Rooms(now time.Time) []zf.ServiceRoom {
	all := make(map[key]*sums)
	for _, row := range t.rows {
		k := row.key()
		s := all[k]
		if s == nil {
			s = &sums{
				trend: t.trendOf(k),
				room: zf.ServiceRoom{
					Service: row.Service,
					Centre:  row.Centre,
					Age:     now.Sub(t.updated),
				},
			}
			all[k] = s
		}
		s.add(row)
	}
	rooms := make([]zf.ServiceRoom, 0, len(all))
	for _, s := range all {
		rooms = append(rooms, s.result())
	}
	slices.SortFunc(rooms, func(a, b zf.ServiceRoom) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Centre, b.Centre))
	})
	return rooms
}
