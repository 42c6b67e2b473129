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
	// settleTime is the time after an order or a thaw until it is in force everywhere.
	settleTime = time.Second
	// maxRounds is the number of freezes, one control instance at a time, until one of them
	// carries out its old order: a leader that thaws may notice too late that it was deposed.
	maxRounds = 6
	// probeCount and requestCount are the numbers of flows that test where requests go, after
	// each freeze and at the end.
	probeCount   = 8
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

	var evacuated time.Time
	for round := range maxRounds {
		if evacuated, err = e.freezeRound(d, operator, round%len(d.Controls)); err != nil {
			return false, err
		}
		time.Sleep(settleTime)
		before := countLate(servers, "hobart", time.Time{})
		sendFlows(e, callers, d.Entries[0], probeCount)
		if countLate(servers, "hobart", time.Time{}) > before {
			break // The old order has ended the evacuation; whether that breaks the rule is judged below.
		}
	}
	// Beyond this all machines are in touch, and an unstable core stretches no bound.
	judgedFrom := evacuated.Add(zfreview.EvacuationTime + zfreview.StretchTime)
	time.Sleep(time.Until(judgedFrom))
	sendFlows(e, callers, d.Entries[0], requestCount)
	for _, s := range servers {
		e.record.Printf("%s in %s: %d flows after the bound", s.ID(), s.Zone(), countLate([]*zfreview.Server{s}, s.Zone(), judgedFrom))
	}
	return countLate(servers, "hobart", judgedFrom) > 0, nil
}

// freezeRound evacuates hobart, finishes the evacuation while one control instance is
// frozen, which is asked first, and evacuates hobart again. It returns when the last order
// was acknowledged.
func (e environment) freezeRound(d *zfreview.Deployment, operator *zfreview.Operator, frozen int) (time.Time, error) {
	other := (frozen + 1) % len(d.Controls)
	if _, err := operator.Evacuate(other, "hobart", "start"); err != nil {
		return time.Time{}, err
	}
	time.Sleep(settleTime)
	thawAt := time.Now().Add(freezeTime)
	if err := e.signal(d.Controls[frozen], "freeze", syscall.SIGSTOP); err != nil {
		return time.Time{}, err
	}
	if _, err := operator.Evacuate(frozen, "hobart", "finish"); err != nil {
		return time.Time{}, err
	}
	time.Sleep(secondStart)
	evacuated, err := operator.Evacuate(other, "hobart", "start")
	if err != nil {
		return time.Time{}, err
	}
	time.Sleep(time.Until(thawAt))
	return evacuated, e.signal(d.Controls[frozen], "thaw", syscall.SIGCONT)
}

// sendFlows opens flows in turn and sends one request on each.
func sendFlows(e environment, callers *zfreview.Callers, entry *zfreview.Process, count int) {
	for range count {
		flow, outcome := callers.Open(entry, zfreview.RouteAddress(0))
		if outcome != zfreview.Answered {
			e.record.Printf("caller: flow %s", outcome)
			continue
		}
		flow.Request(time.Second)
		flow.Close()
		time.Sleep(workTime)
	}
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
func countLate(servers []*zfreview.Server, zone string, after time.Time) int {
	count := 0
	for _, s := range servers {
		if s.Zone() != zone {
			continue
		}
		for _, arrival := range s.Arrivals() {
			if arrival.At.After(after) {
				count++
			}
		}
	}
	return count
}
