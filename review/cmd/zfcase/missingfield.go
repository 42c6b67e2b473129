package main

import (
	"time"

	"zinniafront/review/zfreview"
)

const (
	// fieldFlows is the number of flows to the service dispatch that are tested.
	fieldFlows = 60
	// spreadTime is the time that a heartbeat has to reach the entry instances.
	spreadTime = 2 * time.Second
)

// missingField checks ROUTE: a heartbeat of another writer that lacks fields names no
// backend server, so that no request may go to one of another service because of it.
func missingField(e environment) (bool, error) {
	d, _, err := e.small([]string{"hobart"}, "dispatch", "board")
	if err != nil {
		return false, err
	}
	defer d.Stop()
	services := make(map[string]string)
	var board *zfreview.Server
	for i, service := range []string{"dispatch", "dispatch", "dispatch", "board", "board"} {
		s, err := d.StartServer(zfreview.ServerConfig{
			Number:  uint64(0x7f3a0001 + i),
			Service: service,
			Zone:    "hobart",
			Host:    101 + i,
			Work:    workTime,
			Home:    i,
		})
		if err != nil {
			return false, err
		}
		defer s.Crash()
		services[s.ID()] = service
		if service == "board" {
			board = s
		}
	}
	callers, err := d.StartCallers()
	if err != nil {
		return false, err
	}
	defer callers.Close()
	time.Sleep(zfreview.ContactTime)
	if e.trouble {
		if err := board.ForeignHeartbeat("dispatch", "Version", "ColdRemainingMs"); err != nil {
			return false, err
		}
	}
	time.Sleep(spreadTime)
	wrong := 0
	for range fieldFlows {
		flow, outcome := callers.Open(d.Entries[0], zfreview.RouteAddress(0))
		if outcome != zfreview.Answered {
			e.record.Printf("caller: flow %s", outcome)
			continue
		}
		if outcome, stamp := flow.Request(time.Second); outcome == zfreview.Answered && services[stamp] != "dispatch" {
			wrong++
			e.record.Printf("a request to the route of dispatch was run by %s of %s", stamp, services[stamp])
		}
		flow.Close()
	}
	e.record.Printf("%d of %d requests run by another service", wrong, fieldFlows)
	return wrong > 0, nil
}
