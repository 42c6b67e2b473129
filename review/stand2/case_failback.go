package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases["failback"] = playFailback }

const (
	coldPerS    = 2.0
	coldOverage = 1.5
	coldSlack   = 5
	// coldTime is ColdStartS of the site, perZone the number of hosts of each zone.
	coldTime = 2 * time.Second
	perZone  = 4
)

// playFailback plays zones that are taken back with cold hosts while an entry machine is added
// there, one zone after the other until the rule is broken.
func playFailback(l *lab) error {
	l.router.zone = l.zones[0]
	if err := l.begin(l.configurationOf(7, coldPerS, "dispatch"), l.zones...); err != nil {
		return err
	}
	for i := range perZone * len(l.zones) {
		h, err := l.addHost("dispatch", l.zones[i/perZone])
		if err != nil {
			return err
		}
		h.bears = coldPerS
		h.phase = l.bounds.heartbeat * time.Duration(i%perZone) / perZone
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	if err := l.router.begin(); err != nil {
		return err
	}
	l.router.load(l.routeOf(1), 50, 3*time.Second)
	for i, zone := range l.zones {
		if err := l.returnZone(zone, l.hosts[i*perZone:(i+1)*perZone]); err != nil {
			return err
		}
		if l.isBroken() {
			break
		}
	}
	return nil
}

// returnZone empties a zone, takes it back with cold hosts and, with the disruption, adds an
// entry machine there.
func (l *lab) returnZone(zone string, hosts []*host) error {
	l.router.setZone(zone)
	if err := l.evacuate(zone, "start"); err != nil {
		return err
	}
	loaded := make(chan struct{})
	go func() {
		l.router.load(l.routeOf(1), 130, 8*time.Second+2*coldTime)
		close(loaded)
	}()
	time.Sleep(8 * time.Second)
	cold := time.Now()
	for _, h := range hosts {
		h.coldFor(coldTime)
	}
	if err := l.evacuate(zone, "finish"); err != nil {
		return err
	}
	if l.trouble {
		if _, err := l.addEntry(zone); err != nil {
			return err
		}
	}
	<-loaded
	for _, h := range hosts {
		most := h.mostInSecond(cold, cold.Add(coldTime))
		l.note("cold host %s in %s got at most %d new flows in a second", h.id, zone, most)
		if float64(most) > coldPerS*coldOverage+coldSlack {
			l.breaks("FAILBACK: cold host %s in %s got %d new flows in one second, the bound is %g", h.id, zone, most, coldPerS*coldOverage+coldSlack)
		}
	}
	return nil
}

func (l *lab) evacuate(zone, order string) error {
	status, _, err := l.operator.order("POST", "/evacuation/"+zone+"/"+order, "")
	if err == nil && status != http.StatusOK {
		err = errors.New("the order to " + order + " an evacuation is refused")
	}
	return err
}

// mostInSecond returns the largest number of new flows that were sent and arrived within one
// second of a time span.
func (h *host) mostInSecond(from, until time.Time) int {
	openings, _ := h.taken()
	most := 0
	for i, first := range openings {
		count := 0
		for _, o := range openings[i:] {
			if !first.sentAt.Before(from) && o.at.Before(until) && o.at.Sub(first.sentAt) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// isBroken reports whether a rule was broken so far.
func (l *lab) isBroken() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.broken) > 0
}
