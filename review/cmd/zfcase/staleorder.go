package main

import (
	"syscall"
	"time"

	"zinniafront/review/zfreview"
)

const (
	startTimeout = 10 * time.Second
	// secondStart is the time from the acknowledgement of the order to finish to the next
	// order to start.
	secondStart = 500 * time.Millisecond
	// freezeTime is the length of the freeze, as in the site's list of troubles.
	freezeTime = 4 * time.Second
	// requestCount is the number of flows that test where requests go.
	requestCount = 40
	// workTime is how long a request takes.
	workTime = 15 * time.Millisecond
)

// staleOrder checks EVAC: a control instance that was frozen while it held an order to
// finish an evacuation must not undo a later acknowledged order to start it.
func staleOrder(e environment) (bool, error) {
	d, operator, err := e.small([]string{"hobart", "kingston"}, "dispatch")
	if err != nil {
		return false, err
	}
	defer d.Stop()
	var servers []*zfreview.Server
	for i, zone := range []string{"hobart", "hobart", "kingston", "kingston"} {
		s, err := d.StartServer(zfreview.ServerConfig{
			Number:  uint64(0x7f3a0001 + i),
			Service: "dispatch",
			Zone:    zone,
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

	// A leader that thaws may answer before it notices that it was deposed, and then the
	// old order fails; so a second instance follows if the rule held.
	for _, frozen := range []int{0, 2} {
		late, err := e.staleRound(d, operator, callers, servers, frozen)
		if err != nil || late > 0 {
			return late > 0, err
		}
	}
	return false, nil
}

// staleRound evacuates hobart, finishes the evacuation while one control instance is
// frozen, and evacuates it again. It returns how many flows reached hobart too late.
func (e environment) staleRound(d *zfreview.Deployment, operator *zfreview.Operator, callers *zfreview.Callers, servers []*zfreview.Server, frozen int) (int, error) {
	if _, err := operator.Evacuate(1, "hobart", "start"); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	thawAt := time.Now().Add(freezeTime)
	if err := e.signal(d.Controls[frozen], "freeze", syscall.SIGSTOP); err != nil {
		return 0, err
	}
	if _, err := operator.Evacuate(frozen, "hobart", "finish"); err != nil {
		return 0, err
	}
	time.Sleep(secondStart)
	evacuated, err := operator.Evacuate(1, "hobart", "start")
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(thawAt))
	if err := e.signal(d.Controls[frozen], "thaw", syscall.SIGCONT); err != nil {
		return 0, err
	}
	// Beyond this all machines are in touch, and an unstable core stretches no bound.
	judgedFrom := evacuated.Add(zfreview.EvacuationTime + zfreview.StretchTime)
	time.Sleep(time.Until(judgedFrom))
	for range requestCount {
		flow, outcome := callers.Open(d.Entries[0], zfreview.RouteAddress(0))
		if outcome != zfreview.Answered {
			e.record.Printf("caller: flow %s", outcome)
			continue
		}
		flow.Request(time.Second)
		flow.Close()
		time.Sleep(workTime)
	}
	return countLate(e, servers, "hobart", judgedFrom), nil
}

// signal sends a signal to a process if the case runs with its disruption.
func (e environment) signal(p *zfreview.Process, name string, signal syscall.Signal) error {
	if !e.trouble {
		return nil
	}
	e.record.Printf("%s %s", name, p.Name())
	return p.Signal(signal)
}

// countLate returns the number of flows that reached the servers of a zone after a time.
func countLate(e environment, servers []*zfreview.Server, zone string, after time.Time) int {
	late := 0
	for _, s := range servers {
		count := 0
		for _, arrival := range s.Arrivals() {
			if arrival.At.After(after) {
				count++
			}
		}
		e.record.Printf("%s in %s: %d flows after the bound", s.ID(), s.Zone(), count)
		if s.Zone() == zone {
			late += count
		}
	}
	return late
}
