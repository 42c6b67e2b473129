package zfcontroller_test

import (
	"math/rand/v2"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfdeparture"
	"zinniafront/core/zfoutlier"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// newDepartingWorld returns a control instance of data centre one whose callers send
// requests to a backend server in data centre two, as there is none in one.
func newDepartingWorld(config *zfdeparture.Config) *zfcontroller.World {
	self := zfquorum.Node{
		ID:      1,
		Address: address(0),
		Centre:  "one",
	}
	world := zfcontroller.New(zfcontroller.Config{
		Quorum: zfquorum.Config{
			Self:   self,
			Random: rand.New(rand.NewPCG(1, 1)),
			Record: zfquorum.Record{
				Entry: zfquorum.Entry{
					Voters: []zfquorum.Node{self},
				},
			},
			VoterTarget: 1,
		},
		Registry:  zfregistry.DefaultConfig(1, time.Second),
		Outlier:   zfoutlier.DefaultConfig(),
		Departure: config,
	}, start)
	world.Registry().Announce(zf.Announcement{
		Server:   "s1",
		Service:  "orders",
		Centre:   "two",
		Address:  address(9),
		State:    zf.ServerWarm,
		Sequence: 1,
		Born:     start,
	}, start)
	for at := time.Duration(0); at < 5*time.Second; at += 500 * time.Millisecond {
		now := start.Add(at)
		world.Loads().Record([]zf.ServerLoad{{
			Cookie:   zfcookie.CookieOf("s1", start),
			Requests: 50,
		}}, now)
		world.RecordFigures("two", []zf.ServiceRoom{{
			Service: "orders",
			Centre:  "two",
			Servers: 1,
			Room:    1000,
		}}, 3*time.Millisecond, now)
		world.Tick(now)
	}
	return world
}

func TestDepartures(t *testing.T) {
	end := start.Add(4500 * time.Millisecond)
	t.Run("all leave a data centre without backend servers", func(t *testing.T) {
		world := newDepartingWorld(&zfdeparture.Config{
			Self:  "one",
			Leave: true,
		})
		departures, decides := world.Departures(end)
		zfassert.True(t, "it decides", decides)
		zfassert.Equal(t, "departures", len(departures), 1)
		zfassert.Equal(t, "share", departures[0].Share(), 1.0)
		zfassert.Equal(t, "changes", len(world.TakeDepartureChanges()), 1)
		t.Run("and others are told of their demand", func(t *testing.T) {
			figures := world.Figures(end)
			zfassert.Equal(t, "figures", len(figures), 2)
			zfassert.Equal(t, "data centre", figures[1].Centre, zf.CentreName("two"))
			zfassert.True(t, "demand", figures[1].Demand > 50 && figures[1].Demand < 100)
		})
		t.Run("and the rooms of all data centres are known", func(t *testing.T) {
			zfassert.Equal(t, "rooms", len(world.ServiceRooms(end)), 2)
		})
	})
	t.Run("without leaving only figures are exchanged", func(t *testing.T) {
		world := newDepartingWorld(&zfdeparture.Config{
			Self: "one",
		})
		departures, decides := world.Departures(end)
		zfassert.True(t, "nothing is decided", departures == nil && !decides)
		zfassert.Equal(t, "rooms", len(world.ServiceRooms(end)), 2)
	})
	t.Run("without the setting everything is as before", func(t *testing.T) {
		world := newDepartingWorld(nil)
		departures, decides := world.Departures(end)
		zfassert.True(t, "nothing is decided", departures == nil && !decides)
		zfassert.Equal(t, "figures", len(world.Figures(end)), 0)
		zfassert.Equal(t, "rooms", len(world.ServiceRooms(end)), 0)
	})
}
