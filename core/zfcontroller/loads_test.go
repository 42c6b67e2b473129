package zfcontroller_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/lab/zfassert"
)

func TestTotalLoads(t *testing.T) {
	world := newCluster(t).worlds[0]
	report := func(requests int, now time.Time) {
		world.Loads().Record([]zf.ServerLoad{{
			Cookie:   1,
			Requests: requests,
		}}, now)
	}
	report(10, start)
	assertRequests := func(want int, now time.Time) {
		t.Helper()
		zfassert.Equal(t, "requests", world.TotalLoads(now)[0].Requests, want)
	}
	assertRequests(10, start)
	report(10, start)
	t.Run("many subscribers that fetch at the same time share the sums", func(t *testing.T) {
		zfassert.Equal(t, "allocations", testing.AllocsPerRun(100, func() { world.TotalLoads(start.Add(50 * time.Millisecond)) }), 0.0)
	})
	t.Run("later reports are in the sums after a tenth of a second", func(*testing.T) { assertRequests(19, start.Add(100*time.Millisecond)) })
	t.Run("a clock that goes back doesn't keep old sums", func(t *testing.T) {
		report(10, start)
		zfassert.True(t, "new sums", world.TotalLoads(start)[0].Requests > 20)
	})
}

// BenchmarkTotalLoads measures the sums for a reply to each of 100 subscribers in a second.
func BenchmarkTotalLoads(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(fmt.Sprintf("shared %t", shared), func(b *testing.B) {
			world := newCluster(b).worlds[0]
			world.Loads().Record(uniformLoads(1011), start)
			for b.Loop() {
				for i := range 100 {
					now := start.Add(time.Duration(i) * 10 * time.Millisecond)
					if shared {
						world.TotalLoads(now)
						continue
					}
					world.Loads().Total(now)
				}
			}
		})
	}
}

func uniformLoads(servers int) []zf.ServerLoad {
	loads := make([]zf.ServerLoad, 0, servers)
	for i := range servers {
		loads = append(loads, zf.ServerLoad{
			Cookie:   zf.Cookie(i + 1),
			Requests: 30,
			Answers:  30,
		})
	}
	return loads
}
