package zfcookie_test

import (
	"math/rand/v2"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfload"
	"zinniafront/core/zfroom"
)

const (
	modelSlots     = 2
	modelQueue     = 8
	modelWork      = 20 * time.Millisecond
	modelRoundTrip = 3 * time.Millisecond
	modelServers   = 36
	modelInstances = 20
	modelHorizon   = 4096 // milliseconds
)

// modelServer is a backend server with slots and a bounded queue.
type modelServer struct {
	speed    float64 // multiple of modelWork
	rejects  bool    // answers errors at once
	free     [modelSlots]time.Time
	starts   []time.Time
	requests int
	shed     int
	waited   time.Duration
	took     []time.Duration
}

// serve returns when the answer to a request that arrives now is sent.
func (s *modelServer) serve(now time.Time, random *rand.Rand) time.Time {
	s.requests++
	s.starts = slices.DeleteFunc(s.starts, func(at time.Time) bool { return !at.After(now) })
	if s.rejects || len(s.starts) >= modelQueue {
		s.shed++
		return now
	}
	slot := 0
	if s.free[1].Before(s.free[0]) {
		slot = 1
	}
	begin := s.free[slot]
	if begin.Before(now) {
		begin = now
	}
	s.starts = append(s.starts, begin)
	s.free[slot] = begin.Add(time.Duration((0.5 + random.Float64()) * s.speed * float64(modelWork)))
	s.waited += begin.Sub(now)
	s.took = append(s.took, s.free[slot].Sub(now))
	return s.free[slot]
}

// model replays requests, each in a flow of its own, through several mappers that share
// their loads as the instances of a data centre do.
type model struct {
	view      zf.View
	mappers   []*zfcookie.Mapper
	loads     *zfload.Table
	servers   []*modelServer
	random    *rand.Rand
	now       time.Time
	due       [modelHorizon][]func() // by millisecond
	port      int
	isolated  bool // the mappers get no total loads
	perSecond float64
}

// newModel returns a model in which the requests fill a share of the servers' room, with
// the speeds of three thirds of the servers.
func newModel(cost zf.Cost, share float64, speeds ...float64) *model {
	m := &model{
		loads:  zfload.New(),
		random: rand.New(rand.NewPCG(1, 2)),
		now:    start,
	}
	rows := make([]zf.ServerView, 0, modelServers)
	for n := range modelServers {
		s := &modelServer{
			speed: speeds[n%len(speeds)],
		}
		m.servers = append(m.servers, s)
		r := row(uint64(n+1), "orders", "one")
		r.Slots = modelSlots
		rows = append(rows, r)
		m.perSecond += share * modelSlots / (s.speed * modelWork.Seconds())
	}
	m.view = view(rows...)
	for range modelInstances {
		m.mappers = append(m.mappers, zfcookie.New(zfcookie.Config{
			Seed:  1,
			Cost:  cost,
			Learn: true,
		}))
	}
	return m
}

// send opens a flow with one request and closes it after the answer.
func (m *model) send() {
	m.port++
	port, mapper := m.port, m.mappers[m.random.IntN(len(m.mappers))]
	opened := mapper.Route(opening(port, 0), m.now)
	if opened.Action != zf.ActionForward {
		return
	}
	s := m.servers[opened.Number-1]
	m.at(m.now.Add(modelRoundTrip), func() {
		mapper.Route(data(port, opened.Cookie, 1), m.now)
		m.at(s.serve(m.now, m.random).Add(modelRoundTrip), func() {
			closing := data(port, opened.Cookie, 101)
			closing.Kind, closing.PayloadSize, closing.Acknowledged = zf.PacketClosing, 0, 600
			mapper.Route(closing, m.now)
		})
	})
}

func (m *model) at(at time.Time, event func()) {
	slot := &m.due[at.UnixMilli()%modelHorizon]
	*slot = append(*slot, event)
}

// run replays the load for a time and forgets the figures of its first part.
func (m *model) run(warmUp, measured time.Duration) {
	end := m.now.Add(warmUp + measured)
	begin := m.now.Add(warmUp)
	for ; m.now.Before(end); m.now = m.now.Add(time.Millisecond) {
		if m.now.Equal(begin) {
			for _, s := range m.servers {
				s.requests, s.shed, s.waited, s.took = 0, 0, 0, nil
			}
		}
		if m.now.Truncate(100 * time.Millisecond).Equal(m.now) {
			m.tick()
		}
		for arrivals := m.perSecond / 1000; arrivals > 0; arrivals-- {
			if m.random.Float64() < arrivals {
				m.send()
			}
		}
		slot := &m.due[m.now.UnixMilli()%modelHorizon]
		for i := 0; i < len(*slot); i++ {
			(*slot)[i]()
		}
		*slot = (*slot)[:0]
	}
}

// tick runs the control systems; each second one instance after the other reports.
func (m *model) tick() {
	for i, mapper := range m.mappers {
		mapper.Tick(m.now, m.view)
		if m.now.UnixMilli()/100%10 != int64(i%10) {
			continue
		}
		m.loads.Record(mapper.Loads(), m.now)
		if !m.isolated {
			mapper.SetTotalLoads(m.loads.Total(m.now), m.now)
		}
	}
}

// busiestToMean returns the ratio of the greatest mean wait of a server to the mean.
func (m *model) busiestToMean() float64 {
	worst, sum := 0.0, 0.0
	for _, s := range m.servers {
		wait := s.waited.Seconds() / float64(len(s.took))
		worst, sum = max(worst, wait), sum+wait
	}
	return worst / (sum / modelServers)
}

// third holds the figures of every third server.
type third struct {
	requests int
	shed     int
	wait     time.Duration // mean
	p99      time.Duration // of wait and work
}

// third returns the figures of the servers n, n+3, n+6 and so on.
func (m *model) third(n int) third {
	var t third
	var took []time.Duration
	for ; n < modelServers; n += 3 {
		s := m.servers[n]
		t.requests += s.requests
		t.shed += s.shed
		t.wait += s.waited
		took = append(took, s.took...)
	}
	if len(took) > 0 {
		slices.Sort(took)
		t.wait /= time.Duration(len(took))
		t.p99 = took[len(took)*99/100]
	}
	return t
}

// shed returns the share of all requests that the servers shed.
func (m *model) shed() float64 {
	shed, requests := 0, 0
	for _, s := range m.servers {
		shed += s.shed
		requests += s.requests
	}
	return float64(shed) / float64(requests)
}

// table returns what a control instance learns from the loads.
func (m *model) table() *zfroom.Table {
	table := zfroom.New(zfroom.Config{
		CookieOf: zfcookie.CookieOf,
	})
	table.SetServers(m.view.Servers)
	for range 20 {
		table.SetLoads(m.loads.Total(m.now), m.now)
		m.run(100*time.Millisecond, 0)
	}
	return table
}
