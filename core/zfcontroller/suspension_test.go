package zfcontroller_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

func TestSuspension(t *testing.T) {
	// suspend announces a backend server to an instance and then suspends the instance.
	// It returns the row of the backend server.
	suspend := func(t testing.TB, role string, d time.Duration) *zfregistry.Row {
		t.Helper()
		c := newCluster(t)
		i := c.leader(t)
		if role == "follower" {
			i = (i + 1) % 3
		}
		c.worlds[i].Registry().Announce(zf.Announcement{
			Server:   "s1",
			Service:  "orders",
			Address:  netip.MustParseAddrPort("10.1.0.1:80"),
			State:    zf.ServerWarm,
			Sequence: 1,
			Born:     start,
		}, c.now)
		c.suspend(i, d)
		return c.worlds[i].Registry().Find("s1")
	}
	for _, role := range []string{"leader", "follower"} {
		for _, d := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second} {
			t.Run(role+" for "+d.String(), func(t *testing.T) {
				row := suspend(t, role, d)
				zfassert.Equal(t, "state", row.Status, zf.ServerWarm)
				zfassert.True(t, "not late", !row.Late)
			})
		}
	}
}

// TestSilentPeer guards against lateness that counts as certain while another control instance, at
// which the heartbeats may come in, doesn't report.
func TestSilentPeer(t *testing.T) {
	c := newCluster(t)
	i := c.leader(t)
	world := c.worlds[i]
	const receiver = zfregistry.Source(99) // It has ended.
	world.MergeChanges(address((i+1)%3), zfregistry.Changes{
		From: receiver,
		Updates: []zfregistry.Update{{
			Announcement: zf.Announcement{
				Server:   "s1",
				Service:  "orders",
				Address:  netip.MustParseAddrPort("10.1.0.1:80"),
				State:    zf.ServerWarm,
				Sequence: 1,
				Born:     start,
			},
			Status: zf.ServerWarm,
			Heard:  true,
		}},
	}, c.now)
	report := func(d time.Duration, peers ...int) {
		for range int(d / (500 * time.Millisecond)) {
			for _, j := range peers {
				world.MergeChanges(address(j), zfregistry.Changes{}, c.now)
			}
			c.run(500 * time.Millisecond)
		}
	}
	t.Run("one of two reports", func(t *testing.T) {
		report(12*time.Second, (i+1)%3)
		view := world.Registry().View(nil)[0]
		zfassert.True(t, "late", view.Late)
		zfassert.True(t, "inferred", view.Inferred)
	})
	t.Run("both report", func(t *testing.T) {
		report(12*time.Second, (i+1)%3, (i+2)%3)
		view := world.Registry().View(nil)[0]
		zfassert.True(t, "late", view.Late)
		zfassert.True(t, "not inferred", !view.Inferred)
	})
}
