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

// applyChanges has a table take all changes of another one.
func applyChanges(table, source *zfregistry.Table) {
	for cursor, more := uint64(0), true; more; {
		changes := source.Since(cursor, true, start)
		table.Merge(changes, start)
		cursor, more = changes.Cursor, changes.More
	}
}

// exchangeDiff has a table take the rows of another one that differ. It returns how
// many there were, and those that the other one lacks.
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

// assertSame fails the test unless two tables hold the same.
func assertSame(t testing.TB, one, two *zfregistry.Table) {
	t.Helper()
	zfassert.Equal(t, "digests", one.Digests(), two.Digests())
}

func TestDigests(t *testing.T) {
	const count = 2000
	for _, c := range []struct {
		name string
		// change makes the tables differ; told and owed bound the rows that go
		// each way.
		change   func(here, there *zfregistry.Table)
		received int
		missing  int
	}{
		{
			name:   "tables that are the same need no rows",
			change: func(_, _ *zfregistry.Table) {},
		},
		{
			name: "heartbeats make no difference",
			change: func(here, _ *zfregistry.Table) {
				for n := range count {
					row := here.Find(zf.ServerName(fmt.Sprintf("s%d", n))).Announcement
					row.Sequence = 9
					here.Announce(row, start)
				}
			},
		},
		{
			name:     "a row that ended costs its bucket",
			change:   func(here, _ *zfregistry.Table) { here.Leave("s7", born, start) },
			received: 30,
		},
		{
			name: "what the sender lacks is owed",
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
			name: "a backend server that only one knows",
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
			zfassert.AtMost(t, "rows told", float64(received), float64(c.received))
			zfassert.AtMost(t, "rows owed", float64(len(missing)), float64(c.missing))
			assertSame(t, here, there)
		})
	}
	t.Run("an empty table gets all, page by page", func(t *testing.T) {
		here, there := newTable(), newTableOf(other)
		fill(here, count)
		received, pages, _ := exchangeDiff(there, here)
		zfassert.Equal(t, "rows told", received, count)
		zfassert.Equal(t, "pages", pages, 4)
		assertSame(t, here, there)
	})
	t.Run("rows that the other one never takes are told once", func(t *testing.T) {
		here := newTable()
		fill(here, count)
		config := zfregistry.DefaultConfig(other, interval)
		config.MaxRows = 1
		received, _, _ := exchangeDiff(zfregistry.New(config), here)
		zfassert.Equal(t, "rows told", received, count)
	})
	t.Run("changes come page by page too", func(t *testing.T) {
		here, there := newTable(), newTableOf(other)
		fill(here, count)
		zfassert.Equal(t, "rows of the first page", len(here.Since(0, false, start).Updates), 500)
		applyChanges(there, here)
		assertSame(t, here, there)
	})
	t.Run("digests of another size get all", func(t *testing.T) {
		here := newTable()
		fill(here, count)
		changes := here.Diff([]uint64{1, 2}, 0, true, start)
		zfassert.Equal(t, "rows", len(changes.Updates), count)
		zfassert.True(t, "no further page", !changes.More)
	})
	t.Run("a session tells which heartbeats come to the source", func(t *testing.T) {
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
	t.Run("one that was found silent is no difference to who never knew it", func(t *testing.T) {
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
