package zfload_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfload"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

func load(cookie zf.Cookie, requests int) zf.ServerLoad {
	return zf.ServerLoad{
		Cookie:   cookie,
		Requests: requests,
	}
}

func assertLoads(t testing.TB, got []zf.ServerLoad, want ...zf.ServerLoad) {
	t.Helper()
	zfassert.Equal(t, "number of loads", len(got), len(want))
	for i := range want {
		zfassert.Equal(t, "load", got[i], want[i])
	}
}

func TestSums(t *testing.T) {
	table := zfload.New()
	table.Record([]zf.ServerLoad{load(1, 10), load(2, 4)}, start)
	table.Record([]zf.ServerLoad{load(1, 20)}, start)
	table.SetRemote(7, []zf.ServerLoad{load(2, 6), load(3, 5)}, start)
	t.Run("reports of entry instances are summed", func(t *testing.T) {
		assertLoads(t, table.Local(start), load(1, 30), load(2, 4))
	})
	t.Run("reports of other control instances are added", func(t *testing.T) {
		assertLoads(t, table.Total(start), load(1, 30), load(2, 10), load(3, 5))
	})
	t.Run("a report replaces the one before", func(t *testing.T) {
		table.SetRemote(7, []zf.ServerLoad{load(3, 1)}, start)
		assertLoads(t, table.Total(start), load(1, 30), load(2, 4), load(3, 1))
	})
	t.Run("counts decay", func(t *testing.T) {
		assertLoads(t, table.Local(start.Add(3*time.Second)), load(1, 11), load(2, 1))
	})
	t.Run("control instances that stopped reporting are removed", func(t *testing.T) {
		assertLoads(t, table.Total(start.Add(time.Minute)))
	})
}
