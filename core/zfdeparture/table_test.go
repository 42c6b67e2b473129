package zfdeparture_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"zinniafront/core/zfdeparture"
	"zinniafront/lab/zfassert"
)

const (
	price = 5 * time.Millisecond
	// prohibitive is a price above any wait.
	prohibitive = 10 * time.Second
	// settle is the time within which decisions settle.
	settle = 25 * time.Second
)

func TestPressedCentre(t *testing.T) {
	t.Run("a data centre at 1.5 times its room sends the rest to three idle ones", func(t *testing.T) {
		x := newExchange(price, 1.5, 0.3, 0.3, 0.3)
		x.run(settle, nil)
		assertLeaving(t, x.sites[0], 1-1/1.5, 1-0.85/1.5+0.03)
		assertBears(t, x, 0, settle, 1)
		for i := 1; i < 4; i++ {
			assertLeaving(t, x.sites[i], 0, 0)
			assertBears(t, x, i, settle, 0.75)
		}
	})
	t.Run("a sudden load is borne within 4 s", func(t *testing.T) {
		x := newExchange(price, 0.2, 0.2, 0.2, 0.2)
		x.run(settle, nil)
		x.sites[0].demand = 1500
		x.run(4*time.Second, nil)
		assertBears(t, x, 0, settle, 1)
	})
	t.Run("nobody leaves where all are at 1.5 times their room", func(t *testing.T) {
		x := newExchange(price, 1.5, 1.5, 1.5, 1.5)
		x.run(settle, func() { assertNobodyLeaves(t, x) })
	})
	t.Run("nobody leaves where room suffices", func(t *testing.T) {
		x := newExchange(price, 0.8, 0.3, 0.5)
		x.run(settle, func() { assertNobodyLeaves(t, x) })
	})
	t.Run("its own callers get back the room that they need", func(t *testing.T) {
		x := newExchange(price, 1.5, 0.1)
		x.run(settle, nil)
		assertLeaving(t, x.sites[0], 1-1/1.5, 0.5)
		x.sites[1].demand = 1000
		x.run(10*time.Second, nil)
		assertNobodyLeaves(t, x)
	})
	t.Run("callers stay once the load falls", func(t *testing.T) {
		x := newExchange(price, 1.5, 0.3)
		x.run(settle, nil)
		x.sites[0].demand = 500
		x.run(settle, nil)
		assertNobodyLeaves(t, x)
	})
}

func TestSlowOrDeadServers(t *testing.T) {
	t.Run("callers leave backend servers at a fifth of their speed", func(t *testing.T) {
		x := newExchange(price, 0.6, 0.3, 0.3)
		x.run(settle, nil)
		x.sites[0].room = 200
		x.run(settle, nil)
		assertLeaving(t, x.sites[0], 0.65, 0.85)
	})
	t.Run("also while only the wait shows it", func(t *testing.T) {
		x := newExchange(price, 0.6, 0.3, 0.3)
		x.run(settle, nil)
		x.sites[0].room, x.sites[0].toldRoom = 200, 1000
		x.run(settle, nil)
		assertLeaving(t, x.sites[0], 0.5, 0.85)
	})
	t.Run("all callers leave dead backend servers at once", func(t *testing.T) {
		x := newExchange(prohibitive, 0.6, 0.2, 0.4)
		x.run(settle, nil)
		x.sites[0].servers, x.sites[0].room = 0, 0
		x.run(2*step, nil)
		assertLeaving(t, x.sites[0], 0.99, 1)
		shares := x.sites[0].shares()
		zfassert.True(t, "more go where more room is free", shares["c1"] > 1.2*shares["c2"])
	})
}

func TestCut(t *testing.T) {
	t.Run("nothing goes to a data centre that is cut off, and more to another", func(t *testing.T) {
		x := newExchange(price, 1.3, 0.3, 0.3)
		x.run(settle, nil)
		x.separate(0, 1)
		x.run(10*time.Second, nil)
		zfassert.True(t, "nothing goes to the one cut off", x.sites[0].shares()["c1"] == 0)
		x.run(10*time.Second, nil)
		assertLeaving(t, x.sites[0], 1-1/1.3, 0.4)
	})
	t.Run("nobody leaves a data centre that is cut off from all", func(t *testing.T) {
		x := newExchange(price, 1.3, 0.3, 0.3)
		x.run(settle, nil)
		assertLeaving(t, x.sites[0], 0.2, 0.4)
		x.separate(0, 1)
		x.separate(0, 2)
		x.run(10*time.Second, nil)
		assertNobodyLeaves(t, x)
	})
}

func TestTwoPressThird(t *testing.T) {
	for _, c := range []struct {
		name string
		// cut is how long they have not reached each other.
		cut time.Duration
	}{
		{
			name: "two data centres at 1.5 times their room don't overload a third",
		},
		{
			name: "also while they can't reach each other",
			cut:  settle,
		},
		{
			name: "also once they have forgotten each other's figures",
			cut:  2 * time.Minute,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newExchange(price, 0.6, 0.6, 0.3)
			x.run(settle, nil)
			if c.cut > 0 {
				x.separate(0, 1)
				x.run(c.cut, nil)
			}
			x.sites[0].demand, x.sites[1].demand = 1500, 1500
			assertBears(t, x, 2, settle, 1)
			assertBears(t, x, 2, settle, 0.8)
			assertLeaving(t, x.sites[0], 0.1, 0.2)
			assertLeaving(t, x.sites[1], 0.1, 0.2)
		})
	}
}

// waves counts what happens while the demand of two sites swings in opposite phase.
type waves struct {
	reversals            int
	requests, sent       float64
	beyond, beyondAtHome float64
}

// swing lets the demand of two sites swing by 0.55 around a mean fill, ten times in 17 s
// each, with noise.
func swing(fill, noise float64) waves {
	const (
		size    = 0.55
		period  = 17 * time.Second
		periods = 10
	)
	random := rand.New(rand.NewPCG(1, 2))
	x := newExchange(price, 0, 0)
	start := x.now
	var shares [2]float64
	var rising [2]bool
	var w waves
	x.run(periods*period, func() {
		phase := 2 * math.Pi * float64(x.now.Sub(start)) / float64(period)
		for i, s := range x.sites {
			s.demand = 1000 * fill * (1 + size*math.Sin(phase+float64(i)*math.Pi)) * (1 + noise*(2*random.Float64()-1))
			share := s.leaving()
			if share != shares[i] && (share > shares[i]) != rising[i] {
				w.reversals++
				rising[i] = !rising[i]
			}
			shares[i] = share
			w.requests += s.demand
			w.sent += s.demand * share
			w.beyond += max(0, s.received-s.room)
			w.beyondAtHome += max(0, s.demand-s.room)
		}
	})
	return w
}

func TestOppositeWaves(t *testing.T) {
	for _, c := range []struct {
		name        string
		fill, noise float64
		// reversals bounds those of a site in a period: it begins and ceases to send.
		reversals float64
		// sent bounds the part of the requests that leave.
		sent float64
	}{
		{
			name:      "peaks that just fill the room",
			fill:      0.65,
			reversals: 2,
			sent:      0.05,
		},
		{
			name:      "peaks beyond the room",
			fill:      0.75,
			reversals: 2,
			sent:      0.1,
		},
		{
			name:      "peaks beyond the room with noise",
			fill:      0.75,
			noise:     0.1,
			reversals: 3,
			sent:      0.1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := swing(c.fill, c.noise)
			zfassert.AtMost(t, "reversals of a share in each period", float64(w.reversals)/20, c.reversals)
			zfassert.AtMost(t, "part of the requests that leave", w.sent/w.requests, c.sent)
			zfassert.True(t, "fewer requests are beyond the room than if nobody left", w.beyond < w.beyondAtHome)
			t.Logf("%d reversals, %.1f %% of the requests left, %.2f %% were beyond the room (%.2f %% if nobody left)",
				w.reversals, 100*w.sent/w.requests, 100*w.beyond/w.requests, 100*w.beyondAtHome/w.requests)
		})
	}
	t.Run("noise alone makes nobody leave", func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 4))
		x := newExchange(price, 0.8, 0.3)
		x.run(60*time.Second, func() {
			x.sites[0].demand = 800 * (0.85 + 0.3*random.Float64())
			assertNobodyLeaves(t, x)
		})
	})
}

func TestEvacuation(t *testing.T) {
	x := newExchange(price, 0.5, 0.3, 0.3)
	x.run(settle, nil)
	x.sites[0].out = true
	x.run(2*step, nil)
	t.Run("all leave", func(t *testing.T) { assertLeaving(t, x.sites[0], 0.99, 1) })
	x.run(settle, nil)
	x.sites[0].out = false
	t.Run("callers return as the backend servers warm up", func(t *testing.T) {
		home := x.sites[0]
		last := 1.0
		for warm := 0.1; warm <= 1; warm += 0.1 {
			home.room = 1000 * warm
			x.run(2*time.Second, nil)
			zfassert.AtMost(t, "share leaving", home.leaving(), last+0.05)
			zfassert.AtMost(t, "fill at home", home.received/home.room, 1.1)
			last = home.leaving()
		}
		x.run(settle, nil)
		assertNobodyLeaves(t, x)
	})
	t.Run("nobody goes to a data centre that is out", func(t *testing.T) {
		x.sites[1].out = true
		x.sites[0].demand = 1300
		x.run(settle, nil)
		zfassert.True(t, "nothing goes there", x.sites[0].shares()["c1"] == 0)
		zfassert.True(t, "flows go to the other", x.sites[0].shares()["c2"] > 0.1)
	})
}

func TestPrice(t *testing.T) {
	t.Run("a wait is left for a low price", func(t *testing.T) {
		x := newExchange(price, 0.97, 0.2)
		x.run(settle, nil)
		assertLeaving(t, x.sites[0], 0.05, 0.15)
	})
	t.Run("and not for a high one", func(t *testing.T) {
		x := newExchange(prohibitive, 0.97, 0.2)
		x.run(settle, func() { assertNobodyLeaves(t, x) })
	})
	t.Run("only those leave for a high price who would not be served", func(t *testing.T) {
		x := newExchange(prohibitive, 1.5, 0.1, 0.1)
		x.run(settle, nil)
		assertLeaving(t, x.sites[0], 0.28, 1-1/1.5+0.03)
	})
}

func TestSuspension(t *testing.T) {
	x := newExchange(price, 0.6, 0.3)
	x.run(settle, nil)
	x.now = x.now.Add(4 * time.Second)
	home := x.sites[0]
	home.servers = 0
	x.run(2*time.Second, func() {
		zfassert.Equal(t, "figures", len(home.table.Figures(x.now)), 0)
		assertLeaving(t, home, 0, 0)
	})
	x.run(4*time.Second, nil)
	assertLeaving(t, home, 0.99, 1)
}

func TestDeciderDies(t *testing.T) {
	x := newExchange(price, 1.5, 0.3)
	decider := x.sites[0]
	follower := zfdeparture.New(zfdeparture.Config{
		Self:     "c0",
		Source:   1,
		Leave:    true,
		Kilobyte: price,
	})
	share := func() float64 { return leaving(follower) }
	// follow passes time for both control instances.
	follow := func(d time.Duration, alive bool) {
		x.run(d, func() {
			follower.Record("c1", x.sites[1].table.Figures(x.now), x.now)
			if alive {
				follower.Follow(0, decider.table.Departures(), x.now)
			}
			follower.Tick(x.now, decider.figures(), nil)
		})
	}
	follow(settle, true)
	t.Run("both have the same shares", func(t *testing.T) {
		zfassert.Equal(t, "share", share(), decider.leaving())
		zfassert.True(t, "it follows", !follower.Decides(x.now))
	})
	t.Run("the other one goes on with them", func(t *testing.T) {
		before := share()
		for range 10 {
			follow(step, false)
			zfassert.AtMost(t, "change of the share", math.Abs(share()-before), 0.1)
			before = share()
		}
		zfassert.True(t, "it decides", follower.Decides(x.now))
		zfassert.True(t, "flows leave", before > 0.25)
	})
}

// TestLongSuspension checks that shares of before a suspension of a minute don't come back
// into force.
func TestLongSuspension(t *testing.T) {
	x := newExchange(price, 1.5, 0.3)
	x.run(settle, nil)
	home := x.sites[0]
	assertLeaving(t, home, 0.25, 0.5)
	x.now = x.now.Add(time.Minute)
	zfassert.True(t, "it decides nothing", !home.table.Decides(x.now))
	home.demand = 500
	x.run(3*time.Second, func() {
		zfassert.Equal(t, "departures", len(home.table.Departures()), 0)
	})
}
