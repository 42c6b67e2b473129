package zfdeparture_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfdeparture"
)

// BenchmarkTick measures a decision and a list of figures for 300 services, a tenth of
// them pressed, in 9 data centres.
func BenchmarkTick(b *testing.B) {
	const centres, services = 9, 300
	table := zfdeparture.New(zfdeparture.Config{
		Self:  "c0",
		Leave: true,
	})
	figures := make([][]zf.ServiceRoom, centres)
	for n := range figures {
		for i := range services {
			demand := 500.0
			if n == 0 && i%10 == 0 {
				demand = 1500
			}
			figures[n] = append(figures[n], zf.ServiceRoom{
				Service: zf.ServiceName(fmt.Sprintf("service-%d", i)),
				Centre:  zf.CentreName(fmt.Sprintf("c%d", n)),
				Servers: 30,
				Room:    1000,
				Own:     demand,
				Demand:  demand,
			})
		}
	}
	now := time.Unix(1_700_000_000, 0)
	for b.Loop() {
		now = now.Add(step)
		for n := 1; n < centres; n++ {
			table.Record(figures[n][0].Centre, figures[n], now)
		}
		table.Tick(now, figures[0], nil)
		table.Figures(now)
	}
}
