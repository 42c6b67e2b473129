package zfdeparture_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfdeparture"
	"zinniafront/lab/zfassert"
)

const (
	orders = zf.ServiceName("orders")
	// step is the time between two ticks, newsDelay that for which figures are under way.
	step      = 500 * time.Millisecond
	newsDelay = time.Second
	// countTime is the time constant of the counts of requests.
	countTime = 3 * time.Second
	// maxQueue is the number of requests that wait at a backend server at most.
	maxQueue = 8
)

// site is one data centre: its table, its backend servers and the demand of its callers.
type site struct {
	table   *zfdeparture.Table
	name    zf.CentreName
	servers int
	// room is what the backend servers sustain, toldRoom what is measured of it, if not 0.
	room     float64
	toldRoom float64
	demand   float64
	out      bool
	// counted is the counted demand by data centre, received the actual one now.
	counted  map[zf.CentreName]float64
	received float64
	queue    float64
}

// news are the figures of a site under way.
type news struct {
	from, to *site
	figures  []zf.ServiceRoom
	sentAt   time.Time
}

// exchange holds sites that exchange their figures.
type exchange struct {
	sites []*site
	now   time.Time
	news  []news
	// cut holds the pairs that can't reach each other.
	cut map[[2]zf.CentreName]bool
}

// newExchange returns sites with 100 backend servers that sustain 1000 requests a second,
// and callers who send the given share of that.
func newExchange(price time.Duration, fills ...float64) *exchange {
	x := &exchange{
		now: time.Unix(1_700_000_000, 0),
		cut: make(map[[2]zf.CentreName]bool),
	}
	for i, fill := range fills {
		name := zf.CentreName(fmt.Sprintf("c%d", i))
		x.sites = append(x.sites, &site{
			table: zfdeparture.New(zfdeparture.Config{
				Self:     name,
				Leave:    true,
				Kilobyte: price,
				Delay:    2 * time.Millisecond,
			}),
			name:    name,
			servers: 100,
			room:    1000,
			demand:  1000 * fill,
			counted: make(map[zf.CentreName]float64),
		})
	}
	return x
}

// shares returns where the site's new flows go.
func (s *site) shares() map[zf.CentreName]float64 {
	shares := make(map[zf.CentreName]float64)
	for _, departure := range s.table.Departures() {
		for _, to := range departure.To {
			shares[to.Centre] = to.Share
		}
	}
	return shares
}

// leaving returns the share of the site's new flows that leave.
func (s *site) leaving() float64 {
	return leaving(s.table)
}

func leaving(table *zfdeparture.Table) float64 {
	sum := 0.0
	for _, departure := range table.Departures() {
		sum += departure.Share()
	}
	return sum
}

// figures returns what the site measures.
func (s *site) figures() []zf.ServiceRoom {
	room := s.room
	if s.toldRoom > 0 {
		room = s.toldRoom
	}
	wait := time.Duration(0)
	if s.servers > 0 {
		fill := min(s.received/s.room, 0.95)
		seconds := float64(s.servers)/s.room*fill*fill/(1-fill) + s.queue/s.room
		wait = time.Duration(seconds * float64(time.Second))
	}
	figures := []zf.ServiceRoom{{
		Service: orders,
		Centre:  s.name,
		Servers: s.servers,
		Room:    room,
		Own:     s.counted[s.name],
		Wait:    wait,
		Bytes:   1024,
	}}
	for to, demand := range s.counted {
		if to != s.name {
			figures = append(figures, zf.ServiceRoom{
				Service: orders,
				Centre:  to,
				Demand:  demand,
			})
		}
	}
	return figures
}

// run lets time pass. each is called after each step.
func (x *exchange) run(d time.Duration, each func()) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(step) {
		x.serve()
		var out []zf.CentreName
		for _, s := range x.sites {
			if s.out {
				out = append(out, s.name)
			}
		}
		for _, s := range x.sites {
			s.table.Tick(x.now, s.figures(), out)
		}
		x.deliver()
		if each != nil {
			each()
		}
	}
}

// serve divides the demand over the sites and updates counts and queues.
func (x *exchange) serve() {
	for _, s := range x.sites {
		s.received = 0
	}
	for _, s := range x.sites {
		shares := s.shares()
		rest := 1.0
		for _, to := range x.sites {
			share := shares[to.name]
			if to == s {
				continue
			}
			rest -= share
			x.count(s, to, share)
		}
		if s.servers == 0 || s.out {
			rest = 0
		}
		x.count(s, s, rest)
	}
	for _, s := range x.sites {
		limit := float64(s.servers * maxQueue)
		s.queue = min(max(s.queue+(s.received-s.room)*step.Seconds(), 0), limit)
	}
}

func (x *exchange) count(from, to *site, share float64) {
	if x.cut[[2]zf.CentreName{from.name, to.name}] {
		return
	}
	gain := 1 - math.Exp(-float64(step)/float64(countTime))
	from.counted[to.name] += gain * (from.demand*share - from.counted[to.name])
	to.received += from.demand * share
}

// deliver sends the figures of each site to the others, and records those that arrive.
func (x *exchange) deliver() {
	for _, from := range x.sites {
		for _, to := range x.sites {
			if from != to && !x.cut[[2]zf.CentreName{from.name, to.name}] {
				x.news = append(x.news, news{
					from:    from,
					to:      to,
					figures: from.table.Figures(x.now),
					sentAt:  x.now,
				})
			}
		}
	}
	for len(x.news) > 0 && x.now.Sub(x.news[0].sentAt) >= newsDelay {
		n := x.news[0]
		x.news = x.news[1:]
		n.to.table.Record(n.from.name, n.figures, x.now)
	}
}

// separate cuts two sites from each other.
func (x *exchange) separate(a, b int) {
	x.cut[[2]zf.CentreName{x.sites[a].name, x.sites[b].name}] = true
	x.cut[[2]zf.CentreName{x.sites[b].name, x.sites[a].name}] = true
}

func assertLeaving(t testing.TB, s *site, low, high float64) {
	t.Helper()
	share := s.leaving()
	zfassert.True(t, fmt.Sprintf("share leaving %s is %.3f, from %.2f to %.2f", s.name, share, low, high), share >= low && share <= high)
}

func assertNobodyLeaves(t testing.TB, x *exchange) {
	t.Helper()
	for _, s := range x.sites {
		assertLeaving(t, s, 0, 0)
	}
}

// assertBears asserts that a site never receives more than the given share of its room
// while time passes.
func assertBears(t testing.TB, x *exchange, i int, d time.Duration, bound float64) {
	t.Helper()
	most := 0.0
	x.run(d, func() { most = max(most, x.sites[i].received/x.sites[i].room) })
	zfassert.AtMost(t, "fill of "+string(x.sites[i].name), most, bound)
}
