package zfcookie_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfroom"
)

// BenchmarkFleet measures what the control goroutine of an entry instance does in a second
// with 3,000 backend servers in four data centres: ten views with changes, a tick each 100 ms
// and the total loads of its data centre.
func BenchmarkFleet(b *testing.B) {
	const servers = 3000
	rows := make([]zf.ServerView, 0, servers)
	for n := range uint64(servers) {
		rows = append(rows, row(n+1, "orders", zf.CentreName(fmt.Sprintf("c%d", n%4))))
	}
	for _, learns := range []bool{false, true} {
		b.Run(fmt.Sprintf("learns %t", learns), func(b *testing.B) {
			config := zfcookie.Config{
				Seed: 1,
			}
			if learns {
				config.Cost = zfroom.Cost{}
				config.Learn = true
				config.Openings = true
			}
			mapper := zfcookie.New(config)
			v := view(rows...)
			v.Centre = "c0"
			var loads []zf.ServerLoad
			for i := 0; i < servers; i += 4 {
				loads = append(loads, unevenLoads(rows[i:i+1])...)
			}
			now := start
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					v.Revision++
					mapper.Tick(now, v)
				}
				mapper.Loads()
				mapper.SetTotalLoads(loads, now)
			}
		})
	}
}
