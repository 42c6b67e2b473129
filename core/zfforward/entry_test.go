package zfforward_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfforward"
	"zinniafront/lab/zfassert"
)

// waitingWorld returns the world of an instance that has all it needs and has been told
// to wait before it enters the rotation.
func waitingWorld() *zfforward.World {
	world := newWorld()
	world.ApplyReply(zfforward.Reply{
		HasPeers: true,
		Changes:  changes("one"),
		State:    state(1, "orders"),
		Wait:     true,
	}, start)
	return world
}

// keepWaiting tells a world each half second to wait, until a time.
func keepWaiting(world *zfforward.World, until time.Time) {
	for now := start; now.Before(until); now = now.Add(500 * time.Millisecond) {
		world.ApplyReply(zfforward.Reply{
			HasPeers: true,
			Wait:     true,
		}, now)
		world.Tick(now)
	}
}

func assertEntered(t testing.TB, world *zfforward.World, want bool) {
	t.Helper()
	zfassert.Equal(t, "ready", world.Ready(), want)
	zfassert.Equal(t, "waits", world.WaitsToEnter(), !want)
}

func TestEntry(t *testing.T) {
	t.Run("an instance that has to wait is able, but not ready", func(t *testing.T) {
		world := waitingWorld()
		zfassert.True(t, "able", world.Able())
		keepWaiting(world, start.Add(10*time.Second))
		assertEntered(t, world, false)
		assertOpening(t, world, zf.ActionForward)
	})
	t.Run("it enters once it may", func(t *testing.T) {
		world := waitingWorld()
		world.ApplyReply(zfforward.Reply{}, start.Add(time.Second))
		assertEntered(t, world, true)
	})
	t.Run("it enters if no replies come", func(t *testing.T) {
		world := waitingWorld()
		world.Tick(start.Add(1300 * time.Millisecond))
		assertEntered(t, world, true)
	})
	t.Run("it enters in the end", func(t *testing.T) {
		world := waitingWorld()
		keepWaiting(world, start.Add(31*time.Second))
		assertEntered(t, world, true)
	})
	t.Run("an instance that has entered stays", func(t *testing.T) {
		world := waitingWorld()
		world.ApplyReply(zfforward.Reply{}, start)
		keepWaiting(world, start.Add(2*time.Second))
		assertEntered(t, world, true)
	})
	t.Run("one that stops while it waits stops at once", func(t *testing.T) {
		world := waitingWorld()
		world.Stop(time.Second, start)
		zfassert.True(t, "stopping", world.Stopping())
		zfassert.True(t, "not able", !world.Able())
	})
}
