package zfflow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	zf "zinniafront"
	"zinniafront/core/zfflow"
	"zinniafront/lab/zfassert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable(maxRows int) *zfflow.Table {
	return zfflow.New(zfflow.Config{
		Start:   start,
		MaxRows: maxRows,
	})
}

func row(server zf.ServerID, version uint32, flags zfflow.Flags) zfflow.Row {
	return zfflow.Row{
		Server:  server,
		Version: version,
		Flags:   flags,
	}
}

func assertServer(t testing.TB, table *zfflow.Table, hash uint64, want zf.ServerID) {
	t.Helper()
	got, _, ok := table.Touch(hash, zf.PacketMidFlow, start)
	zfassert.True(t, "known", ok)
	zfassert.Equal(t, "server", got.Server, want)
}

func TestMerge(t *testing.T) {
	const tentative = zfflow.FlagTentative
	for name, c := range map[string]struct {
		old, next zfflow.Row
		want      zf.ServerID
	}{
		"later version wins": {
			old:  row(1, 5, 0),
			next: row(2, 6, 0),
			want: 2,
		},
		"earlier version loses": {
			old:  row(1, 6, 0),
			next: row(2, 5, 0),
			want: 1,
		},
		"a tentative row loses": {
			old:  row(1, 5, 0),
			next: row(2, 9, tentative),
			want: 1,
		},
		"a tentative row is replaced": {
			old:  row(1, 9, tentative),
			next: row(2, 5, 0),
			want: 2,
		},
		"of equal versions the later row wins": {
			old:  row(1, 5, 0),
			next: row(2, 5, 0),
			want: 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(10)
			table.Merge(1, c.old, 0, start)
			table.Merge(1, c.next, 0, start)
			assertServer(t, table, 1, c.want)
		})
	}
	t.Run("order of messages does not matter", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			rows := make([]zfflow.Row, 0, 6)
			for version := range rapid.Uint32Range(1, 6).Draw(rt, "rows") {
				rows = append(rows, row(zf.ServerID(version), version, 0))
			}
			best := rows[len(rows)-1].Server
			table := newTable(10)
			for _, next := range rapid.Permutation(rows).Draw(rt, "order") {
				table.Merge(1, next, 0, start)
			}
			assertServer(t, table, 1, best)
		})
	})
}

func TestTable(t *testing.T) {
	t.Run("a full table evicts copies, never owned rows", func(t *testing.T) {
		table := newTable(1)
		zfassert.True(t, "copy", table.Put(1, row(1, 1, 0), start))
		zfassert.True(t, "owned in place of the copy", table.Put(2, row(1, 1, zfflow.FlagOwned), start))
		zfassert.True(t, "second owned is refused", !table.Put(3, row(1, 1, zfflow.FlagOwned), start))
		assertServer(t, table, 2, 1)
	})
	t.Run("idle rows are removed, ended ones earlier", func(t *testing.T) {
		table := newTable(10)
		table.Put(1, row(1, 1, 0), start)
		table.Put(2, row(1, 1, 0), start)
		table.Touch(2, zf.PacketClosing, start)
		sweep := func(after time.Duration) {
			for range 64 {
				table.Sweep(start.Add(after), func(uint64, zfflow.Row) time.Duration { return time.Hour })
			}
		}
		sweep(zfflow.EndedTTL - time.Second)
		zfassert.Equal(t, "rows", table.Len(), 2)
		sweep(zfflow.EndedTTL)
		zfassert.Equal(t, "rows", table.Len(), 1)
		sweep(time.Hour)
		zfassert.Equal(t, "rows", table.Len(), 0)
	})
	for _, flows := range []int{10000, 30000, 100000, 300000} {
		t.Run(fmt.Sprintf("memory of %d flows", flows), func(t *testing.T) {
			table := newTable(flows)
			for i := range uint64(flows) {
				table.Put(i*0x9e3779b97f4a7c15, row(1, 1, 0), start)
			}
			zfassert.AtMost(t, "bytes a flow", float64(table.Bytes())/float64(flows), 64)
		})
	}
	t.Run("agrees with a map", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			table := newTable(1000)
			model := make(map[uint64]zf.ServerID)
			for i := range rapid.IntRange(1, 200).Draw(rt, "steps") {
				hash := rapid.Uint64Range(1, 40).Draw(rt, "hash")
				if rapid.Bool().Draw(rt, "forget") {
					table.Delete(hash)
					delete(model, hash)
					continue
				}
				table.Put(hash, row(zf.ServerID(i), 1, 0), start)
				model[hash] = zf.ServerID(i)
			}
			zfassert.Equal(t, "rows", table.Len(), len(model))
			for hash, server := range model {
				assertServer(t, table, hash, server)
			}
		})
	})
}

func TestHash(t *testing.T) {
	flow := zf.Flow{
		Protocol:    zf.ProtocolTCP,
		Source:      netip.MustParseAddrPort("10.0.0.1:1000"),
		Destination: netip.MustParseAddrPort("198.51.100.1:443"),
	}
	other := flow
	other.Source = netip.MustParseAddrPort("10.0.0.1:1001")
	zfassert.True(t, "ports differ", zfflow.Hash(1, flow) != zfflow.Hash(1, other))
	zfassert.True(t, "seeds differ", zfflow.Hash(1, flow) != zfflow.Hash(2, flow))
	zfassert.Equal(t, "allocations", testing.AllocsPerRun(100, func() { zfflow.Hash(1, flow) }), 0.0)
}
