package zfregistry_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// assertStaysGone fails the test if a table forgets within the retention time that
// backend server "a" has left, or if a late heartbeat revives it.
func assertStaysGone(t testing.TB, table *zfregistry.Table, left time.Time) {
	t.Helper()
	for _, after := range []time.Duration{0, time.Second, 30 * time.Second, 59 * time.Second} {
		now := left.Add(after)
		table.Tick(now, left)
		zfassert.Equal(t, "reason of a late heartbeat", table.Announce(heartbeat("a", born, 9), now), zf.ReasonStale)
		assertStatus(t, table, "a", zf.ServerGone)
		zfassert.True(t, "proven", table.Find("a").Proven)
	}
}

// leftServer returns a table in which backend server "a" left at start.
func leftServer() *zfregistry.Table {
	table := newTable()
	table.Announce(heartbeat("a", born, 1), start)
	table.Leave("a", born, start)
	return table
}

// heartbeatElsewhere returns a heartbeat of a backend server at another address.
func heartbeatElsewhere(name zf.ServerName, birth time.Time, sequence uint64) zf.Announcement {
	a := heartbeat(name, birth, sequence)
	a.Address = netip.MustParseAddrPort("10.0.0.2:80")
	return a
}

func TestLearnedEnd(t *testing.T) {
	t.Run("an instance that learns of the end from another one", func(t *testing.T) {
		there := newTableOf(other)
		there.Merge(leftServer().Since(0, true, start), start)
		assertStaysGone(t, there, start)
	})
	t.Run("a control instance that restarts with its table on disk", func(t *testing.T) {
		restarted := newTableOf(third)
		restarted.Merge(zfregistry.Changes{
			Updates: leftServer().All(start),
		}, start)
		assertStaysGone(t, restarted, start)
	})
	t.Run("a control instance that gets its table back from an entry instance", func(t *testing.T) {
		subscriber, restarted := newSubscriber(), newTableOf(third)
		subscriber.Merge(leftServer().Since(0, false, start), start)
		subscriber.Tick(start, time.Time{})
		restarted.Merge(zfregistry.Changes{
			Updates: subscriber.All(start),
		}, start)
		assertStaysGone(t, restarted, start)
	})
	t.Run("an instance that is full", func(t *testing.T) {
		config := zfregistry.DefaultConfig(other, interval)
		config.MaxRows = 1
		full := zfregistry.New(config)
		full.Announce(heartbeatElsewhere("b", born, 1), start)
		full.Merge(leftServer().Since(0, true, start), start)
		zfassert.True(t, "the other row is kept", full.Find("b") != nil)
		zfassert.Equal(t, "reason", full.Announce(heartbeat("a", born, 9), start), zf.ReasonFull)
	})
}

func TestRetention(t *testing.T) {
	const retention = time.Minute
	t.Run("the time since the end counts, not since it was learned", func(t *testing.T) {
		learned := start.Add(40 * time.Second)
		there := newTableOf(other)
		there.Merge(leftServer().Since(0, true, learned), learned)
		there.Tick(start.Add(retention-time.Second), start)
		zfassert.Equal(t, "rows before", there.Size(), 1)
		there.Tick(start.Add(retention), start)
		zfassert.Equal(t, "rows after", there.Size(), 0)
	})
	t.Run("an end beyond the retention time is not learned again", func(t *testing.T) {
		expired := start.Add(retention)
		there := newTableOf(other)
		there.Merge(leftServer().Since(0, true, expired), expired)
		zfassert.Equal(t, "rows", there.Size(), 0)
	})
	t.Run("a known backend server ends by an old report as well", func(t *testing.T) {
		expired := start.Add(retention)
		there := newTableOf(other)
		there.Announce(heartbeat("a", born, 1), start)
		there.Merge(leftServer().Since(0, true, expired), expired)
		assertStatus(t, there, "a", zf.ServerGone)
	})
	t.Run("a report from the future does not extend the retention time", func(t *testing.T) {
		there := newTableOf(other)
		changes := leftServer().Since(0, true, start)
		changes.Updates[0].Gone = -time.Hour
		there.Merge(changes, start)
		there.Tick(start.Add(retention), start)
		zfassert.Equal(t, "rows", there.Size(), 0)
	})
}

func TestDigestFields(t *testing.T) {
	digestsOf := func(a zf.Announcement) []uint64 {
		table := newTable()
		table.Announce(a, start)
		return table.Digests()
	}
	for _, c := range []struct {
		name   string
		modify func(a *zf.Announcement)
	}{
		{
			name:   "connections",
			modify: func(a *zf.Announcement) { a.Capacity.Connections++ },
		},
		{
			name:   "address for requests",
			modify: func(a *zf.Announcement) { a.Web = a.Address },
		},
		{
			name:   "number",
			modify: func(a *zf.Announcement) { a.Number++ },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := heartbeat("a", born, 1)
			c.modify(&changed)
			table := newTable()
			table.Announce(heartbeat("a", born, 1), start)
			before := table.ContentRevision()
			changed.Sequence++
			table.Announce(changed, start)
			zfassert.True(t, "a change is reported", table.ContentRevision() > before)
			zfassert.True(t, "digests differ", !slices.Equal(digestsOf(heartbeat("a", born, 1)), digestsOf(changed)))
		})
	}
}

// TestLateLeave guards against a late copy of a backend server's leave call that ends its next
// incarnation.
func TestLateLeave(t *testing.T) {
	draining := heartbeat("a", born, 2)
	draining.State = zf.ServerDraining
	for _, c := range []struct {
		name   string
		last   zf.Announcement
		born   time.Time
		reason zf.Reason
		status zf.ServerState
	}{
		{
			name:   "one that drains has left",
			last:   draining,
			reason: zf.ReasonNone,
			status: zf.ServerGone,
		},
		{
			name:   "one that has started again hasn't",
			last:   heartbeat("a", born.Add(time.Second), 1),
			reason: zf.ReasonStale,
			status: zf.ServerWarm,
		},
		{
			name:   "one that is named by its start time has",
			last:   heartbeat("a", born.Add(time.Second), 1),
			born:   born.Add(time.Second),
			reason: zf.ReasonNone,
			status: zf.ServerGone,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			table.Announce(heartbeat("a", born, 1), start)
			table.Announce(c.last, start.Add(interval))
			zfassert.Equal(t, "reason", table.Leave("a", c.born, start.Add(interval)), c.reason)
			assertStatus(t, table, "a", c.status)
		})
	}
}
