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

func TestSumsOfAnswers(t *testing.T) {
	table := zfload.New()
	report := zf.ServerLoad{
		Cookie:   1,
		Requests: 10,
		Answers:  8,
		Rejected: 1,
		Busy:     160 * time.Millisecond,
		Bytes:    4000,
		Opened:   3,
		Unopened: 2,
	}
	unopened := zf.ServerLoad{
		Cookie:   2,
		Unopened: 5,
	}
	table.Record([]zf.ServerLoad{report, unopened}, start)
	table.SetRemote(7, []zf.ServerLoad{report}, start)
	t.Run("all sums pass, also of a backend server without requests", func(t *testing.T) {
		assertLoads(t, table.Local(start), report, unopened)
	})
	t.Run("all sums are added up", func(t *testing.T) {
		twice := zf.ServerLoad{
			Cookie:   1,
			Requests: 20,
			Answers:  16,
			Rejected: 2,
			Busy:     320 * time.Millisecond,
			Bytes:    8000,
			Opened:   6,
			Unopened: 4,
		}
		assertLoads(t, table.Total(start), twice, unopened)
	})
	t.Run("the mean time of an answer survives the decay", func(t *testing.T) {
		later := table.Local(start.Add(time.Second))[0]
		zfassert.AtMost(t, "time of an answer", (later.Busy / time.Duration(later.Answers)).Seconds(), 0.021)
	})
}
