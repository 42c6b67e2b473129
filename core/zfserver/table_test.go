package zfserver_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfserver"
	"zinniafront/lab/zfassert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func announcement(sequence uint64, state zf.ServerState) zf.Announcement {
	return zf.Announcement{
		Server:  "s",
		Service: "orders",
		Capacity: zf.Capacity{
			Slots:       2,
			Connections: 2000,
		},
		State:    state,
		Sequence: sequence,
	}
}

func assertWeight(t *testing.T, table *zfserver.Table, lowest, highest float64) {
	t.Helper()
	if w := table.Find("s").Weight(); w < lowest || w > highest {
		t.Fatalf("weight %g is not from %g to %g", w, lowest, highest)
	}
}

func assertPending(t *testing.T, table *zfserver.Table, wantAnnouncements, wantHeartbeats int) {
	t.Helper()
	announcements, heartbeats := table.TakePending()
	zfassert.Equal(t, "announcements", len(announcements), wantAnnouncements)
	zfassert.Equal(t, "heartbeats", len(heartbeats), wantHeartbeats)
}

func TestTable(t *testing.T) {
	t.Run("an announcement is accepted once", func(t *testing.T) {
		table := zfserver.New(zfserver.DefaultConfig())
		zfassert.Equal(t, "first", table.Announce(announcement(2, zf.ServerWarm), true, start), zf.ReasonNone)
		zfassert.Equal(t, "again", table.Announce(announcement(2, zf.ServerWarm), true, start), zf.ReasonStale)
		zfassert.Equal(t, "older", table.Announce(announcement(1, zf.ServerWarm), true, start), zf.ReasonStale)
	})
	t.Run("a server whose first announcement is warm gets its full weight", func(t *testing.T) {
		table := zfserver.New(zfserver.DefaultConfig())
		table.Announce(announcement(1, zf.ServerWarm), true, start)
		assertWeight(t, table, 2000, 2000)
	})
	t.Run("a server without announcements becomes silent, then gone", func(t *testing.T) {
		config := zfserver.DefaultConfig()
		table := zfserver.New(config)
		table.Announce(announcement(1, zf.ServerWarm), true, start)
		table.Tick(start.Add(config.SilentTimeout))
		zfassert.Equal(t, "status", table.Find("s").Status, zf.ServerSilent)
		assertWeight(t, table, 0, 0)
		table.Tick(start.Add(config.GoneTimeout))
		zfassert.Equal(t, "status", table.Find("s").Status, zf.ServerGone)
	})
	t.Run("a cold server ramps up", func(t *testing.T) {
		config := zfserver.DefaultConfig()
		config.SilentTimeout = time.Hour
		table := zfserver.New(config)
		table.Announce(announcement(1, zf.ServerCold), true, start)
		assertWeight(t, table, 0, 2000*config.InitialShare)
		last := 0.0
		for now := start; now.Before(start.Add(config.RampTime)); now = now.Add(50 * time.Millisecond) {
			table.Tick(now)
			w := table.Find("s").Weight()
			zfassert.True(t, "weight never falls", w >= last)
			zfassert.AtMost(t, "step", w-last, 2000/8.0)
			last = w
		}
		assertWeight(t, table, 0, 1000)
		table.Announce(announcement(2, zf.ServerWarm), true, start.Add(config.RampTime))
		for now := start.Add(config.RampTime); now.Before(start.Add(3 * config.RampTime)); now = now.Add(50 * time.Millisecond) {
			table.Tick(now)
		}
		assertWeight(t, table, 2000, 2000)
	})
	t.Run("a draining server has no weight", func(t *testing.T) {
		table := zfserver.New(zfserver.DefaultConfig())
		table.Announce(announcement(1, zf.ServerDraining), true, start)
		assertWeight(t, table, 0, 0)
	})
	t.Run("a change is sent in full three times, repetitions as heartbeats", func(t *testing.T) {
		table := zfserver.New(zfserver.DefaultConfig())
		table.Announce(announcement(1, zf.ServerWarm), true, start)
		for range 3 {
			assertPending(t, table, 1, 0)
		}
		assertPending(t, table, 0, 0)
		table.Announce(announcement(2, zf.ServerWarm), true, start)
		assertPending(t, table, 0, 1)
		table.Announce(announcement(3, zf.ServerDraining), true, start)
		assertPending(t, table, 1, 0)
	})
	t.Run("a heartbeat keeps a known server alive", func(t *testing.T) {
		config := zfserver.DefaultConfig()
		table := zfserver.New(config)
		table.Refresh(zf.ServerHeartbeat{
			Server:   "s",
			Sequence: 1,
		}, start)
		zfassert.True(t, "no row for an unknown server", table.Find("s") == nil)
		table.Announce(announcement(1, zf.ServerWarm), false, start)
		later := start.Add(config.SilentTimeout)
		table.Tick(later)
		table.Refresh(zf.ServerHeartbeat{
			Server:   "s",
			State:    zf.ServerWarm,
			Sequence: 2,
		}, later)
		zfassert.Equal(t, "status", table.Find("s").Status, zf.ServerWarm)
	})
	t.Run("the table is bounded", func(t *testing.T) {
		config := zfserver.DefaultConfig()
		config.MaxRows = 1
		table := zfserver.New(config)
		table.Announce(announcement(1, zf.ServerWarm), true, start)
		other := announcement(1, zf.ServerWarm)
		other.Server = "t"
		zfassert.Equal(t, "second", table.Announce(other, true, start), zf.ReasonFull)
	})
}
