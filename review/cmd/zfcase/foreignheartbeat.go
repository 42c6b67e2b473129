package main

import (
	"time"

	"zinniafront/review/zfreview"
)

const (
	// foreignFlows is the number of flows that callers keep open.
	foreignFlows = 12
	// requestPause is the pause of a caller between two requests of a flow.
	requestPause = 500 * time.Millisecond
	// watchTime is how long the flows are watched.
	watchTime = 8 * time.Second
)

// foreignHeartbeat checks FLOW: a heartbeat of another writer with a service that the
// configuration doesn't name must not end the flows of a backend server that lives.
func foreignHeartbeat(e environment) (bool, error) {
	d, _, err := e.small([]string{"hobart"}, "dispatch")
	if err != nil {
		return false, err
	}
	defer d.Stop()
	var servers []*zfreview.Server
	for i := range 3 {
		s, err := d.StartServer(zfreview.ServerConfig{
			Number:  uint64(0x7f3a0001 + i),
			Service: "dispatch",
			Zone:    "hobart",
			Host:    101 + i,
			Work:    workTime,
			Home:    i,
		})
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

	outcomes := make(chan zfreview.Outcome, foreignFlows)
	end := time.Now().Add(watchTime)
	for i := range foreignFlows {
		go func() {
			time.Sleep(time.Duration(i) * requestPause / foreignFlows)
			outcomes <- watchFlow(e, callers, d.Entries[0], end)
		}()
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		if err := servers[0].ForeignHeartbeat("batch7q"); err != nil {
			return false, err
		}
	}
	resets := 0
	for range foreignFlows {
		if <-outcomes == zfreview.SystemReset {
			resets++
		}
	}
	e.record.Printf("%d of %d flows reset by the system; every backend server lives", resets, foreignFlows)
	return resets > 0, nil
}

// watchFlow sends requests on one flow until a time and returns how the flow ended.
func watchFlow(e environment, callers *zfreview.Callers, entry *zfreview.Process, end time.Time) zfreview.Outcome {
	flow, outcome := callers.Open(entry, zfreview.RouteAddress(0))
	if outcome != zfreview.Answered {
		e.record.Printf("caller: flow %s", outcome)
		return zfreview.Unopened
	}
	defer flow.Close()
	for time.Now().Before(end) {
		if outcome, _ := flow.Request(time.Second); outcome != zfreview.Answered {
			return outcome
		}
		time.Sleep(requestPause)
	}
	return zfreview.Answered
}
