package zfregistry_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

const interval = time.Second

var (
	start = time.Unix(1_700_000_000, 0)
	born  = time.Unix(1_600_000_000, 0)
)

// heartbeat returns the heartbeat of a warm backend server at 10.0.0.1:80.
func heartbeat(name zf.ServerName, birth time.Time, sequence uint64) zf.Announcement {
	return zf.Announcement{
		Server:   name,
		Service:  "orders",
		Centre:   "one",
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		State:    zf.ServerWarm,
		Sequence: sequence,
		Born:     birth,
		Number:   1,
	}
}

// The instances that tables belong to.
const (
	self zfregistry.Source = iota + 1
	other
	third
)

func newTable() *zfregistry.Table { return newTableOf(self) }

func newTableOf(source zfregistry.Source) *zfregistry.Table {
	return zfregistry.New(zfregistry.DefaultConfig(source, interval))
}

func newSubscriber() *zfregistry.Table {
	config := zfregistry.DefaultConfig(other, interval)
	config.Subscriber = true
	return zfregistry.New(config)
}

func assertStatus(t testing.TB, table *zfregistry.Table, name zf.ServerName, want zf.ServerState) {
	t.Helper()
	row := table.Find(name)
	zfassert.True(t, "the row is there", row != nil)
	zfassert.Equal(t, "state of "+string(name), row.Status, want)
}

func TestOrder(t *testing.T) {
	draining := heartbeat("a", born, 5)
	draining.State = zf.ServerDraining
	elsewhere := heartbeat("a", born.Add(time.Minute), 1)
	elsewhere.Address = netip.MustParseAddrPort("10.0.0.2:80")
	for _, c := range []struct {
		name          string
		announcements []zf.Announcement
		last          zf.Reason
		server        zf.ServerName
		status        zf.ServerState
	}{
		{
			name:          "a later heartbeat replaces an earlier one",
			announcements: []zf.Announcement{heartbeat("a", born, 4), draining},
			server:        "a",
			status:        zf.ServerDraining,
		},
		{
			name:          "a heartbeat that was overtaken is stale",
			announcements: []zf.Announcement{draining, heartbeat("a", born, 4)},
			last:          zf.ReasonStale,
			server:        "a",
			status:        zf.ServerDraining,
		},
		{
			name:          "a new incarnation starts a new sequence",
			announcements: []zf.Announcement{draining, heartbeat("a", born.Add(time.Minute), 1)},
			server:        "a",
			status:        zf.ServerWarm,
		},
		{
			name:          "a heartbeat of an earlier incarnation is stale",
			announcements: []zf.Announcement{elsewhere, heartbeat("a", born, 9)},
			last:          zf.ReasonStale,
			server:        "a",
			status:        zf.ServerWarm,
		},
		{
			name:          "a reused address ends the earlier backend server",
			announcements: []zf.Announcement{heartbeat("a", born, 9), heartbeat("b", born.Add(time.Minute), 1)},
			server:        "a",
			status:        zf.ServerGone,
		},
		{
			name:          "a late heartbeat of the earlier backend server is stale",
			announcements: []zf.Announcement{heartbeat("b", born.Add(time.Minute), 1), heartbeat("a", born, 9)},
			last:          zf.ReasonStale,
			server:        "b",
			status:        zf.ServerWarm,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			var reason zf.Reason
			for _, announcement := range c.announcements {
				reason = table.Announce(announcement, start)
			}
			zfassert.Equal(t, "reason", reason, c.last)
			assertStatus(t, table, c.server, c.status)
		})
	}
}

func TestEnd(t *testing.T) {
	t.Run("leaving is final", func(t *testing.T) {
		table := newTable()
		table.Announce(heartbeat("a", born, 1), start)
		zfassert.Equal(t, "reason", table.Leave("a", born, start), zf.ReasonNone)
		zfassert.Equal(t, "reason", table.Announce(heartbeat("a", born, 2), start), zf.ReasonStale)
		assertStatus(t, table, "a", zf.ServerGone)
		zfassert.True(t, "proven", table.Find("a").Proven)
	})
	t.Run("the row is removed once its flows have ended", func(t *testing.T) {
		table := newTable()
		table.Announce(heartbeat("a", born, 1), start)
		table.Leave("a", born, start)
		table.Tick(start.Add(2*time.Minute), start)
		zfassert.Equal(t, "rows", len(table.Rows()), 0)
	})
	t.Run("an address that a backend server no longer uses is free", func(t *testing.T) {
		table := newTable()
		table.Announce(heartbeat("a", born.Add(time.Minute), 1), start)
		moved := heartbeat("a", born.Add(time.Minute), 2)
		moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
		table.Announce(moved, start)
		zfassert.Equal(t, "reason", table.Announce(heartbeat("b", born, 1), start), zf.ReasonNone)
	})
	t.Run("leaving without a start time ends the latest incarnation, which drains", func(t *testing.T) {
		table := newTable()
		draining := heartbeat("a", born, 1)
		draining.State = zf.ServerDraining
		table.Announce(draining, start)
		table.Leave("a", time.Time{}, start)
		assertStatus(t, table, "a", zf.ServerGone)
	})
}

func TestSilence(t *testing.T) {
	for _, c := range []struct {
		name           string
		after          time.Duration
		reachableSince time.Time
		status         zf.ServerState
		late           bool
	}{
		{
			name:           "a heartbeat on time",
			after:          interval,
			reachableSince: start,
			status:         zf.ServerWarm,
		},
		{
			name:           "a heartbeat resent to the next control instance",
			after:          2500 * time.Millisecond,
			reachableSince: start,
			status:         zf.ServerWarm,
		},
		{
			name:           "an overdue heartbeat",
			after:          3 * interval,
			reachableSince: start,
			status:         zf.ServerWarm,
			late:           true,
		},
		{
			name:           "four missing heartbeats",
			after:          4 * interval,
			reachableSince: start,
			status:         zf.ServerSilent,
		},
		{
			name:           "long silence",
			after:          16 * interval,
			reachableSince: start,
			status:         zf.ServerGone,
		},
		{
			name:   "silence while no heartbeat could arrive",
			after:  time.Hour,
			status: zf.ServerWarm,
		},
		{
			name:           "silence counts from when heartbeats could arrive again",
			after:          4 * interval,
			reachableSince: start.Add(3 * interval),
			status:         zf.ServerWarm,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			table.Announce(heartbeat("a", born, 1), start)
			table.Tick(start.Add(c.after), c.reachableSince)
			assertStatus(t, table, "a", c.status)
			zfassert.Equal(t, "late", table.Find("a").Late, c.late)
			zfassert.True(t, "not proven", !table.Find("a").Proven)
			table.Announce(heartbeat("a", born, 2), start.Add(c.after))
			assertStatus(t, table, "a", zf.ServerWarm)
		})
	}
	t.Run("a cold start ends after its time", func(t *testing.T) {
		table := newTable()
		cold := heartbeat("a", born, 1)
		cold.Cold = time.Second
		table.Announce(cold, start)
		assertStatus(t, table, "a", zf.ServerCold)
		table.Tick(start.Add(time.Second), time.Time{})
		assertStatus(t, table, "a", zf.ServerWarm)
	})
}

func TestFeed(t *testing.T) {
	t.Run("a subscriber receives changes only", func(t *testing.T) {
		table := newTable()
		table.Announce(heartbeat("a", born, 1), start)
		first := table.Since(0, false, start)
		zfassert.Equal(t, "rows", len(first.Updates), 1)
		table.Announce(heartbeat("a", born, 2), start)
		zfassert.Equal(t, "rows after a heartbeat", len(table.Since(first.Cursor, false, start).Updates), 0)
		zfassert.Equal(t, "heartbeats", len(table.Since(first.Cursor, true, start).Beats), 0)
		table.Leave("a", born, start)
		zfassert.Equal(t, "rows after the end", len(table.Since(first.Cursor, false, start).Updates), 1)
	})
	t.Run("a change is forwarded, a heartbeat is not", func(t *testing.T) {
		here, there := newTable(), newTableOf(other)
		here.Announce(heartbeat("a", born, 1), start)
		there.Merge(here.Since(0, true, start), start)
		here.Announce(heartbeat("a", born, 2), start)
		first := there.Since(0, true, start)
		there.Merge(here.Since(0, true, start), start)
		zfassert.Equal(t, "heartbeats forwarded", len(there.Since(first.Cursor, true, start).Beats), 0)
		draining := heartbeat("a", born, 3)
		draining.State = zf.ServerDraining
		here.Announce(draining, start)
		there.Merge(here.Since(0, true, start), start)
		zfassert.Equal(t, "changes forwarded", len(there.Since(first.Cursor, true, start).Updates), 1)
	})
	t.Run("tables that exchange changes converge", func(t *testing.T) {
		here, there := newTable(), newTableOf(other)
		here.Announce(heartbeat("a", born, 1), start)
		there.Merge(here.Since(0, true, start), start)
		there.Leave("a", born, start)
		here.Merge(there.Since(0, true, start), start)
		there.Merge(here.Since(0, true, start), start)
		assertStatus(t, here, "a", zf.ServerGone)
		assertStatus(t, there, "a", zf.ServerGone)
	})
	t.Run("a subscriber adopts the silence that its source reports", func(t *testing.T) {
		source, subscriber := newTable(), newSubscriber()
		source.Announce(heartbeat("a", born, 1), start)
		subscriber.Merge(source.Since(0, false, start), start)
		silent := start.Add(5 * interval)
		subscriber.Tick(silent, start)
		assertStatus(t, subscriber, "a", zf.ServerWarm)
		source.Tick(silent, start)
		subscriber.Merge(source.Since(0, false, silent), silent)
		assertStatus(t, subscriber, "a", zf.ServerSilent)
		source.Announce(heartbeat("a", born, 2), silent)
		subscriber.Merge(source.Since(0, false, silent), silent)
		assertStatus(t, subscriber, "a", zf.ServerWarm)
	})
	t.Run("a control instance that lost its table restores it from a subscriber", func(t *testing.T) {
		subscriber, empty := newSubscriber(), newTable()
		source := newTable()
		source.Announce(heartbeat("a", born, 1), start)
		subscriber.Merge(source.Since(0, false, start), start)
		later := start.Add(time.Hour)
		changes := subscriber.Since(0, false, later)
		empty.Merge(zfregistry.Changes{
			Updates: changes.Updates,
		}, later)
		empty.Tick(later, later)
		assertStatus(t, empty, "a", zf.ServerWarm)
		empty.Tick(later, start)
		assertStatus(t, empty, "a", zf.ServerWarm)
	})
	t.Run("an old table does not revive a backend server that left", func(t *testing.T) {
		table, old := newTable(), newTable()
		old.Announce(heartbeat("a", born, 1), start)
		table.Merge(old.Since(0, false, start), start)
		table.Leave("a", born, start)
		table.Merge(old.Since(0, false, start), start)
		assertStatus(t, table, "a", zf.ServerGone)
	})
}
