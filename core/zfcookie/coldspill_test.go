package zfcookie_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/lab/zfassert"
)

// TestColdElsewhere replays a data centre that refuses new flows while the backend servers of
// the other one are cold: the instances turn to these at the same time.
func TestColdElsewhere(t *testing.T) {
	const (
		instances = 20
		rate      = 8.0
		outage    = time.Second
	)
	sent := make(map[uint64]int)
	for i := range instances {
		load := openingLoad{
			view:    centreView(false),
			pause:   50 * time.Millisecond,
			address: func(n int) int { return 1000*i + n },
			closed:  closedCentre("one", learning, outage),
		}
		load.view.Self = zf.InstanceName(fmt.Sprintf("e%d", i+1))
		for j := range load.view.Servers {
			if load.view.Servers[j].Centre != "one" {
				load.view.Servers[j].OpeningRate = rate / instances
			}
		}
		for number, opened := range load.run(learning + outage).opened {
			if number > centreSize {
				sent[number] += opened
			}
		}
	}
	for number, opened := range sent {
		zfassert.AtMost(t, fmt.Sprintf("new flows of backend server %d", number), float64(opened), 2*rate)
	}
}
