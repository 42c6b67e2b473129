package zfregistry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// fill announces backend servers s0 to s<count-1>.
func fill(table *zfregistry.Table, count int) {
	for n := range count {
		a := heartbeat(zf.ServerName(fmt.Sprintf("s%d", n)), born, 1)
		a.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 80)
		table.Announce(a, start)
	}
}

// applyChanges merges all changes of source into a table, page by page.
func applyChanges(table, source *zfregistry.Table) {
	for cursor, more := uint64(0), true; more; {
		changes := source.Since(cursor, true, start)
		table.Merge(changes, start)
		cursor, more = changes.Cursor, changes.More
	}
}

// exchangeDiff merges the differing rows of source into a table, page by page. It
// returns the number of rows and of pages, and the rows that source is missing.
func exchangeDiff(table, source *zfregistry.Table) (received, pages int, missing []zfregistry.Update) {
	for first, more := 0, true; more; pages++ {
		changes := source.Diff(table.Digests(), first, true, start)
		table.Merge(changes, start)
		missing = append(missing, table.MissingFrom(changes, start)...)
		received += len(changes.Updates)
		first, more = changes.Next, changes.More
	}
	return received, pages, missing
}

// assertSame fails the test unless two tables have the same digests.
func assertSame(t testing.TB, one, two *zfregistry.Table) {
	t.Helper()
	zfassert.Equal(t, "digests", one.Digests(), two.Digests())
}

func TestDigests(t *testing.T) {
	const count = 2000
	for _, c := range []struct {
		name string
		// change makes the tables differ. received and missing are the maximum
		// numbers of rows sent each way.
		change   func(here, there *zfregistry.Table)
		received int
		missing  int
	}{
		{
			name:   "equal tables exchange no rows",
			change: func(_, _ *zfregistry.Table) {},
		},
		{
			name: "heartbeats don't change digests",
			change: func(here, _ *zfregistry.Table) {
				for n := range count {
					row := here.Find(zf.ServerName(fmt.Sprintf("s%d", n))).Announcement
					row.Sequence = 9
					here.Announce(row, start)
				}
			},
		},
		{
			name:     "a row that is gone transfers its bucket",
			change:   func(here, _ *zfregistry.Table) { here.Leave("s7", born, start) },
			received: 30,
		},
		{
			name: "newer rows are returned to the sender",
			change: func(_, there *zfregistry.Table) {
				row := there.Find("s7").Announcement
				row.Sequence = 5
				row.State = zf.ServerDraining
				there.Announce(row, start)
			},
			received: 30,
			missing:  1,
		},
		{
			name: "a backend server that only one table has",
			change: func(_, there *zfregistry.Table) {
				there.Announce(heartbeat("new", born, 1), start)
			},
			received: 30,
			missing:  1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			here, there := newTable(), newTableOf(other)
			fill(here, count)
			applyChanges(there, here)
			c.change(here, there)
			received, _, missing := exchangeDiff(there, here)
			here.Merge(zfregistry.Changes{
				Updates: missing,
			}, start)
			zfassert.AtMost(t, "rows received", float64(received), float64(c.received))
			zfassert.AtMost(t, "rows missing", float64(len(missing)), float64(c.missing))
			assertSame(t, here, there)
		})
	}
	t.Run("an empty table receives all rows in pages", func(t *testing.T) {
		here, there := newTable(), newTableOf(other)
		fill(here, count)
		received, pages, _ := exchangeDiff(there, here)
		zfassert.Equal(t, "rows received", received, count)
		zfassert.Equal(t, "pages", pages, 4)
		assertSame(t, here, there)
	})
	t.Run("rows that the other table refuses are sent once", func(t *testing.T) {
		here := newTable()
		fill(here, count)
		config := zfregistry.DefaultConfig(other, interval)
		config.MaxRows = 1
		received, _, _ := exchangeDiff(zfregistry.New(config), here)
		zfassert.Equal(t, "rows received", received, count)
	})
	t.Run("changes are sent in pages", func(t *testing.T) {
		here, there := newTable(), newTableOf(other)
		fill(here, count)
		zfassert.Equal(t, "rows of the first page", len(here.Since(0, false, start).Updates), 500)
		applyChanges(there, here)
		assertSame(t, here, there)
	})
	t.Run("a different number of digests returns all rows", func(t *testing.T) {
		here := newTable()
		fill(here, count)
		changes := here.Diff([]uint64{1, 2}, 0, true, start)
		zfassert.Equal(t, "rows", len(changes.Updates), count)
		zfassert.True(t, "no further page", !changes.More)
	})
	t.Run("a session reports which heartbeats the source receives", func(t *testing.T) {
		here, there := newTable(), newTableOf(other)
		fill(here, 10)
		applyChanges(there, here)
		moved := there.Find("s3").Announcement
		moved.Sequence = 7
		there.Announce(moved, start)
		changes := there.Diff(here.Digests(), 0, true, start)
		zfassert.Equal(t, "rows", len(changes.Updates), 0)
		zfassert.Equal(t, "heartbeats", len(changes.Beats), 1)
	})
	t.Run("a row that expired is no difference to a table without it", func(t *testing.T) {
		here := newTable()
		fill(here, 1)
		here.Tick(start.Add(16*interval), start)
		assertSame(t, here, newTableOf(other))
	})
}

func BenchmarkDigests(b *testing.B) {
	table := newTable()
	fill(table, 9100)
	b.ReportAllocs()
	for b.Loop() {
		table.Diff(table.Digests(), 0, true, start)
	}
}

func BenchmarkSince(b *testing.B) {
	table := newTable()
	fill(table, 9100)
	cursor := table.Diff(table.Digests(), 0, false, start).Cursor
	table.Leave("s7", born, start)
	b.ReportAllocs()
	for b.Loop() {
		table.Since(cursor, true, start.Add(time.Second))
	}
}
