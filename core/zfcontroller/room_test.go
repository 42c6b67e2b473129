package zfcontroller_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

func TestRooms(t *testing.T) {
	c := newCluster(t)
	world := c.worlds[0]
	world.Announce(zf.Announcement{
		Server:  "s1",
		Service: "orders",
		Centre:  "one",
		Capacity: zf.Capacity{
			Slots: 2,
		},
		State:    zf.ServerWarm,
		Sequence: 1,
		Born:     start,
	}, c.now)
	busy := zf.ServerLoad{
		Cookie:   zfcookie.CookieOf("s1", start),
		Requests: 300,
		Answers:  300,
		Busy:     300 * 30 * time.Millisecond,
	}
	t.Run("overload shows in the next figures", func(t *testing.T) {
		idle := world.Rooms(c.now)
		zfassert.Equal(t, "rooms", len(idle), 1)
		world.Loads().Record([]zf.ServerLoad{busy}, c.now)
		rooms := world.Rooms(c.now.Add(300 * time.Millisecond))
		zfassert.Equal(t, "service", rooms[0].Service, zf.ServiceName("orders"))
		zfassert.True(t, "demand", rooms[0].Demand > 80)
		zfassert.True(t, "wait", rooms[0].Wait > idle[0].Wait)
	})
	t.Run("figures are kept for a moment", func(t *testing.T) {
		before := world.Rooms(c.now.Add(400 * time.Millisecond))
		world.Loads().Record([]zf.ServerLoad{busy}, c.now)
		zfassert.Equal(t, "rooms", world.Rooms(c.now.Add(410*time.Millisecond)), before)
	})
}
