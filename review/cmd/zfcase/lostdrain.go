package main

import (
	"sync"
	"time"

	"zinniafront/review/zfreview"
)

const (
	// drainServers is the number of backend servers, as in the site of the large
	// deployment: dispatch is the service of the callers, the others are of board.
	drainServers    = 600
	dispatchInLarge = 120
	// drainCount is the number of servers of dispatch that drain at once: 0.15 of them.
	drainCount = 18
	// drainRounds is the number of times that an entry instance is killed while others of
	// them drain, until the rule is broken.
	drainRounds = 3
	// drainPause is the time between two of them.
	drainPause = 3 * time.Millisecond
	// drainChecks is the number of flows that test where requests go.
	drainChecks = 600
	// largeContactTime and largeDrainTime are ContactMs and DrainMs of the large deployment,
	// which are longer than those of a small one.
	largeContactTime = 6 * time.Second
	largeDrainTime   = 5 * time.Second
	// serversPerHost is the number of backend servers at one address.
	serversPerHost = 50
)

// lostDrain checks DRAIN: an entry instance that starts while backend servers begin to
// drain must not send them flows later than the bound.
func lostDrain(e environment) (bool, error) {
	// Nine entry instances, as on the site, so that one of them is 0.11 of all.
	d, _, err := e.small([]string{
		"hobart", "hobart", "hobart", "hobart", "kingston", "kingston", "new-norfolk", "new-norfolk", "new-norfolk",
	}, "dispatch", "board")
	if err != nil {
		return false, err
	}
	defer d.Stop()
	servers := make([]*zfreview.Server, 0, drainServers)
	for i := range drainServers {
		config := zfreview.ServerConfig{
			Number:  uint64(0x7f3a0001 + i),
			Service: "board",
			Zone:    "hobart",
			Host:    101 + i/serversPerHost,
			Port:    uint16(i % serversPerHost),
			Work:    workTime,
			Home:    i,
		}
		if i < dispatchInLarge {
			config.Service = "dispatch"
		}
		s, err := d.StartServer(config)
		if err != nil {
			return false, err
		}
		defer s.Crash()
		servers = append(servers, s)
	}
	callers, err := d.StartCallers()
	if err != nil {
		return false, err
	}
	defer callers.Close()
	time.Sleep(zfreview.ContactTime)

	for round := range drainRounds {
		late, err := e.drainRound(d, callers, servers[round*drainCount:(round+1)*drainCount])
		if err != nil || late > 0 {
			return late > 0, err
		}
	}
	return false, nil
}

// drainRound kills an entry instance and starts it again while backend servers begin to
// drain. It returns how many flows it sends them too late.
func (e environment) drainRound(d *zfreview.Deployment, callers *zfreview.Callers, draining []*zfreview.Server) (int, error) {
	entry := d.Entries[0]
	if e.trouble {
		d.Kill(entry)
		if err := d.StartProcess(entry, false); err != nil {
			return 0, err
		}
	}
	acknowledged := make([]time.Time, len(draining))
	var wait sync.WaitGroup
	for i, s := range draining {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * drainPause)
			at, by, err := s.Drain()
			if err != nil {
				e.record.Printf("%v", err)
				return
			}
			acknowledged[i] = at
			e.record.Printf("%s draining, acknowledged by %s", s.ID(), by)
		})
	}
	wait.Wait()
	time.Sleep(largeContactTime + largeDrainTime)
	for range drainChecks {
		flow, outcome := callers.Open(entry, zfreview.RouteAddress(0))
		if outcome != zfreview.Answered {
			e.record.Printf("caller: flow %s", outcome)
			continue
		}
		flow.Close()
	}
	late := 0
	for i, s := range draining {
		for _, arrival := range s.Arrivals() {
			if after := arrival.At.Sub(acknowledged[i]); !acknowledged[i].IsZero() && after > largeDrainTime {
				late++
				e.record.Printf("%s gets a flow %s after it was acknowledged to drain", s.ID(), after)
			}
		}
	}
	e.record.Printf("%d flows too late", late)
	return late, nil
}
