package zfdeparture_test

import (
	"math"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfdeparture"
	"zinniafront/lab/zfassert"
)

// record records that c1 has the given demand by its own callers, measured age ago.
func record(table *zfdeparture.Table, own float64, age time.Duration, now time.Time) {
	table.Record("c1", []zf.ServiceRoom{{
		Service: orders,
		Centre:  "c1",
		Servers: 1,
		Room:    1000,
		Own:     own,
		Age:     age,
	}}, now)
}

func assertDemand(t testing.TB, table *zfdeparture.Table, now time.Time, want float64) {
	t.Helper()
	rooms := table.ServiceRooms(now)
	zfassert.Equal(t, "rooms", len(rooms), 1)
	zfassert.Equal(t, "demand", rooms[0].Demand, want)
}

func TestNews(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := zfdeparture.New(zfdeparture.Config{
		Self: "c0",
	})
	record(table, 100, time.Second, now)
	record(table, 100, time.Second, now)
	t.Run("doubled", func(t *testing.T) { assertDemand(t, table, now, 100) })
	record(table, 50, 2*time.Second, now)
	t.Run("overtaken", func(t *testing.T) { assertDemand(t, table, now, 100) })
	record(table, 70, 500*time.Millisecond, now)
	t.Run("later", func(t *testing.T) { assertDemand(t, table, now, 70) })
	t.Run("old for one service", func(t *testing.T) {
		table.Record("c1", []zf.ServiceRoom{{
			Service: orders,
			Centre:  "c1",
			Own:     70,
		}, {
			Service: "proofs",
			Centre:  "c1",
			Age:     4 * time.Second,
		}}, now)
		assertDemand(t, table, now, 70)
	})
	t.Run("old", func(t *testing.T) {
		zfassert.Equal(t, "rooms", len(table.ServiceRooms(now.Add(3*time.Second))), 0)
	})
}

// TestUnusableFigures checks figures that only a faulty control instance sends.
func TestUnusableFigures(t *testing.T) {
	for _, c := range []struct {
		name   string
		figure zf.ServiceRoom
	}{
		{
			name: "no numbers",
			figure: zf.ServiceRoom{
				Servers: 100,
				Room:    math.NaN(),
				Own:     math.NaN(),
				Demand:  math.NaN(),
			},
		},
		{
			name: "infinite",
			figure: zf.ServiceRoom{
				Servers: 100,
				Room:    math.Inf(1),
				Own:     math.Inf(-1),
				Demand:  math.Inf(1),
			},
		},
		{
			name: "negative number of backend servers",
			figure: zf.ServiceRoom{
				Servers: -100,
				Room:    1000,
			},
		},
		{
			name: "longest wait",
			figure: zf.ServiceRoom{
				Servers: 100,
				Room:    1000,
				Wait:    math.MaxInt64,
			},
		},
		{
			name: "largest answers",
			figure: zf.ServiceRoom{
				Servers: 100,
				Room:    1000,
				Bytes:   math.MaxInt,
			},
		},
		{
			name: "largest room",
			figure: zf.ServiceRoom{
				Servers: 100,
				Room:    math.MaxFloat64,
			},
		},
		{
			name: "least room",
			figure: zf.ServiceRoom{
				Servers: 100,
				Room:    math.SmallestNonzeroFloat64,
			},
		},
	} {
		t.Run("nobody leaves for "+c.name, func(t *testing.T) {
			x := newExchange(price, 0.97)
			x.run(settle, nil)
			c.figure.Service, c.figure.Centre = orders, "c1"
			x.run(settle, func() {
				x.sites[0].table.Record("c1", []zf.ServiceRoom{c.figure}, x.now)
				assertNobodyLeaves(t, x)
			})
		})
	}
}

// TestUnusableAnswers checks figures of answers that only a faulty control instance sends.
func TestUnusableAnswers(t *testing.T) {
	x := newExchange(price, 0.5)
	for _, rejected := range []float64{math.NaN(), math.Inf(1), -1, 2} {
		x.sites[0].table.Record("c1", []zf.ServiceRoom{{
			Service:  orders,
			Centre:   "c1",
			Room:     1000,
			Answer:   math.MinInt64,
			Rejected: rejected,
		}}, x.now)
		rooms := x.sites[0].table.ServiceRooms(x.now)
		zfassert.Equal(t, "rooms", len(rooms), 1)
		zfassert.Equal(t, "share rejected", rooms[0].Rejected, 0.0)
		zfassert.Equal(t, "time of an answer", rooms[0].Answer, time.Duration(0))
	}
}

func TestForgottenCentre(t *testing.T) {
	t.Run("the others leave for each other as fast as before", func(t *testing.T) {
		shares := make([]float64, 0, 2)
		for _, centres := range [][]float64{{0.6, 0.3}, {0.6, 0.3, 0.3}} {
			x := newExchange(price, centres...)
			x.run(settle, nil)
			x.sites = x.sites[:2]
			x.run(61*time.Minute, nil)
			x.sites[0].demand = 1500
			x.run(5*time.Second, nil)
			shares = append(shares, x.sites[0].leaving())
		}
		zfassert.Equal(t, "share", shares[1], shares[0])
	})
}
