package zfroom_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfroom"
)

// BenchmarkSetLoads measures one update by the loads of a data centre's backend servers.
func BenchmarkSetLoads(b *testing.B) {
	const servers = 1011
	views := make([]zf.ServerView, 0, servers)
	loads := make([]zf.ServerLoad, 0, servers)
	for n := range servers {
		name := zf.ServerName(fmt.Sprintf("s%d", n))
		views = append(views, view(name, start))
		loads = append(loads, load(name, 60+n%40, 20*time.Millisecond))
	}
	for _, shares := range []bool{false, true} {
		b.Run(fmt.Sprintf("shares %t", shares), func(b *testing.B) {
			table := zfroom.New(zfroom.Config{
				CookieOf: zfcookie.CookieOf,
				Shares:   shares,
			})
			table.SetServers(views)
			for b.Loop() {
				table.SetLoads(loads, start)
			}
		})
	}
}
