package zfforward_test

import (
	"testing"
	"time"

	"zinniafront/core/zfforward"
	"zinniafront/lab/zfassert"
)

// readyWorld returns a world of a ready instance.
func readyWorld() *zfforward.World {
	world := newWorld()
	world.ApplyReply(zfforward.Reply{
		Changes: changes("one"),
		State:   state(1, "orders"),
	}, start)
	return world
}

func assertStopping(t testing.TB, world *zfforward.World, want bool) {
	t.Helper()
	zfassert.Equal(t, "stopping", world.Stopping(), want)
	zfassert.Equal(t, "ready", world.Ready(), !want)
}

// assertPending checks whether the instance requests a stop permit.
func assertPending(t testing.TB, world *zfforward.World, want bool) {
	t.Helper()
	zfassert.Equal(t, "waiting", world.StopPending(), want)
}

func TestStop(t *testing.T) {
	const wait = 3 * time.Second
	// receiveReplies applies an empty reply each half second, and the last one after d.
	receiveReplies := func(world *zfforward.World, d time.Duration, last zfforward.Reply) {
		for after := 500 * time.Millisecond; after < d; after += 500 * time.Millisecond {
			world.ApplyReply(zfforward.Reply{}, start.Add(after))
			world.Tick(start.Add(after))
		}
		world.ApplyReply(last, start.Add(d))
		world.Tick(start.Add(d))
	}
	t.Run("an instance stays ready until it has a stop permit", func(t *testing.T) {
		world := readyWorld()
		world.Stop(wait, start)
		assertStopping(t, world, false)
		receiveReplies(world, time.Second, zfforward.Reply{})
		assertStopping(t, world, false)
		receiveReplies(world, 2*time.Second, zfforward.Reply{
			StopPermitted: true,
		})
		assertStopping(t, world, true)
	})
	t.Run("a permit is requested only while the stop is pending", func(t *testing.T) {
		world := readyWorld()
		assertPending(t, world, false)
		world.Stop(wait, start)
		assertPending(t, world, true)
		receiveReplies(world, time.Second, zfforward.Reply{
			StopPermitted: true,
		})
		assertPending(t, world, false)
	})
	t.Run("the stop begins without a permit at the deadline", func(t *testing.T) {
		world := readyWorld()
		world.Stop(wait, start)
		receiveReplies(world, wait, zfforward.Reply{})
		assertStopping(t, world, true)
	})
	t.Run("the stop begins without a permit when replies are overdue", func(t *testing.T) {
		world := readyWorld()
		world.Stop(wait, start)
		world.Tick(start.Add(1200 * time.Millisecond))
		assertStopping(t, world, true)
	})
	t.Run("an instance that is not ready stops at once", func(t *testing.T) {
		world := newWorld()
		world.Stop(wait, start)
		assertStopping(t, world, true)
	})
	t.Run("a permit that was not requested has no effect", func(t *testing.T) {
		world := readyWorld()
		receiveReplies(world, time.Second, zfforward.Reply{
			StopPermitted: true,
		})
		assertStopping(t, world, false)
	})
}
