package zfcookie_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
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
		load.view.EntryCount, load.view.EntryPosition = instances, i+1
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

// coldFleet replays entry instances to which callers open flows all the time while only one
// backend server is left, which is cold.
type coldFleet struct {
	instances int
	rate      float64
	// division returns how many entry instances an instance knows and its position.
	division func(i int, at time.Duration) (count, position int)
	// seen is when an instance learns of the backend server, skew the error of its clock.
	seen func(i int) time.Duration
	skew func(i int) time.Duration
	// restarts is the time between two restarts of an instance, or 0.
	restarts time.Duration
	// used is the share of the rate that the instances take; default 1.
	used float64
}

const (
	fleetLength = 10 * time.Second
	fleetStep   = 20 * time.Millisecond
	fleetTick   = 100 * time.Millisecond
)

// run returns how many flows the backend server got in each step.
func (f coldFleet) run() []int {
	sent := make([]int, fleetLength/fleetStep)
	for i := range f.instances {
		var mapper *zfcookie.Mapper
		v := view()
		v.Self = zf.InstanceName(fmt.Sprintf("e%d", i+1))
		v.Revision = 0
		for step := range sent {
			at := time.Duration(step) * fleetStep
			now := start.Add(at)
			if f.skew != nil {
				now = now.Add(f.skew(i))
			}
			if mapper == nil || f.restarts > 0 && (at+time.Duration(i)*fleetStep)%f.restarts == 0 {
				mapper = zfcookie.New(zfcookie.Config{})
			}
			count, position := f.instances, i+1
			if f.division != nil {
				count, position = f.division(i, at)
			}
			if count == 0 {
				continue
			}
			if f.seen == nil || at >= f.seen(i) {
				cold := row(1, "orders", "one")
				cold.State, cold.OpeningRate = zf.ServerCold, f.rate/float64(count)
				v.Servers = []zf.ServerView{cold}
			}
			if at%fleetTick == 0 || !mapper.Synced() {
				v.EntryCount, v.EntryPosition = count, position
				v.Revision++
				mapper.Tick(now, v)
			}
			if mapper.Route(opening(step, 0), now).Action == zf.ActionForward {
				sent[step]++
			}
		}
	}
	return sent
}

// busiestSecond returns the greatest number of flows in any one second.
func busiestSecond(sent []int) int {
	const steps = int(time.Second / fleetStep)
	busiest, flows := 0, 0
	for step, n := range sent {
		flows += n
		if step >= steps {
			flows -= sent[step-steps]
		}
		busiest = max(busiest, flows)
	}
	return busiest
}

// spread returns a time between 0 and d that differs between instances.
func spread(i int, d time.Duration) time.Duration { return d * time.Duration(i*7%20) / 20 }

// TestColdTogether checks that entry instances together send a cold backend server hardly
// more than it sustains in any second, whatever each of them knows, and leave little unused.
func TestColdTogether(t *testing.T) {
	const instances = 20
	for name, fleet := range map[string]coldFleet{
		"all begin at once": {},
		"the backend server is seen at different times": {
			seen: func(i int) time.Duration { return spread(i, 2*time.Second) },
		},
		"clocks differ": {
			skew: func(i int) time.Duration { return spread(i, 200*time.Millisecond) },
		},
		"instances restart": {restarts: 2 * time.Second},
		"positions are not known": {
			division: func(int, time.Duration) (count, position int) { return instances, 0 },
			used:     0.5,
		},
		"instances and control instances start": {
			division: func(i int, at time.Duration) (count, position int) {
				const controls = 4
				if at < 500*time.Millisecond {
					return controls * (i/controls + 1), 0
				}
				return instances, i + 1
			},
		},
		"instances join before the others, which learn it within a second": {
			division: func(i int, at time.Duration) (count, position int) {
				joined := func(at time.Duration) int { return min(instances, instances/2+int(max(at, 0)/(500*time.Millisecond))) }
				count = joined(at - spread(i, time.Second))
				if i >= joined(at) {
					return 0, 0
				}
				return max(count, i+1), max(count, i+1) - i
			},
		},
		"instances leave one by one, which the others learn within a second": {
			division: func(i int, at time.Duration) (count, position int) {
				left := func(at time.Duration) int { return min(instances/2, int(max(at, 0)/(500*time.Millisecond))) }
				if i < left(at) {
					return 0, 0
				}
				known := left(at - spread(i, time.Second))
				return instances - known, i + 1 - known
			},
		},
	} {
		for _, rate := range []float64{2.5, 8, 30} {
			t.Run(fmt.Sprintf("%s, at %g a second", name, rate), func(t *testing.T) {
				fleet.instances, fleet.rate = instances, rate
				if fleet.used == 0 {
					fleet.used = 1
				}
				sent := fleet.run()
				total := 0
				for _, n := range sent {
					total += n
				}
				zfassert.AtMost(t, "new flows in a second", float64(busiestSecond(sent)), 1.5*rate+5)
				zfassert.AtMost(t, "unused share of the rate", 1-float64(total)/(fleet.used*rate*fleetLength.Seconds()), 0.2)
			})
		}
	}
}
