package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

func init() { cases["writer"] = playWriter }

// playWriter plays heartbeats of another writer, which name no host to use: one without the
// fields of the pages, one with bytes that can't be read.
func playWriter(l *lab) error {
	if err := l.begin(l.configurationOf(7, 0, "dispatch", "proofs"), l.zones[0], l.zones[1]); err != nil {
		return err
	}
	for i := range 5 {
		service := "dispatch"
		if i >= 3 {
			service = "proofs"
		}
		if _, err := l.addHost(service, l.zones[i%3]); err != nil {
			return err
		}
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	if err := l.router.begin(); err != nil {
		return err
	}
	dispatch, proofs := l.routeOf(1), l.routeOf(2)
	l.router.load(dispatch, 20, 2*time.Second)
	l.router.load(proofs, 20, time.Second)
	flows, owners := l.openLong(dispatch, 30)
	if len(flows) == 0 {
		return fmt.Errorf("no flow opened")
	}
	if l.trouble {
		l.sendOdd(l.hosts[0], "without the fields", `{"service":"proofs","address":%q,"zone":%q,"version":"v1","slots":2,"state":"ready","coldRemainingMs":0,"seq":1,"born":%d}`)
		l.sendOdd(l.hosts[1], "with bytes that can't be read", "{\"Service\":\"proofs\",\"Address\":%q,\"Zone\":%q,\"Version\":\"v\xff1\",\"Slots\":2,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":%d}")
	}
	l.router.load(proofs, 40, 4*time.Second)
	for i, f := range flows {
		if !f.watch(10 * time.Millisecond) {
			if answer := f.request(fmt.Sprintf("long-%d", i)); !strings.HasPrefix(answer, "answer") {
				l.note("long flow %s at host %s: %s", f.from, owners[i], answer)
			}
		}
		if !f.systemReset.IsZero() {
			l.breaks("FLOW: the system reset the open flow %s, whose host %s lives", f.from, owners[i])
		}
	}
	for _, h := range l.hosts {
		_, runs := h.taken()
		foreign := 0
		for _, r := range runs {
			if h.service == "dispatch" && r.dst == proofs {
				foreign++
			}
		}
		l.note("host %s of %s ran %d requests, %d of them of the other service's route", h.id, h.service, len(runs), foreign)
		if foreign > 0 {
			l.breaks("ROUTE: host %s of dispatch ran %d requests of the route that every configuration gave to proofs alone", h.id, foreign)
		}
	}
	return nil
}

// openLong opens flows that stay open, and returns them with the ids of their hosts.
func (l *lab) openLong(to netip.AddrPort, count int) (flows []*clientFlow, owners []string) {
	for i := range count {
		f := l.router.newFlow(i, to)
		if f.open() != outcomeOpen {
			continue
		}
		answer := f.request(fmt.Sprintf("first-%d", i))
		if !strings.HasPrefix(answer, "answer of ") {
			continue
		}
		owner := strings.Fields(answer)[3]
		l.note("long flow %s is open at host %s", f.from, owner)
		flows = append(flows, f)
		owners = append(owners, owner)
	}
	return flows, owners
}

// sendOdd sends a heartbeat of another writer under the id of a host that lives.
func (l *lab) sendOdd(h *host, what, format string) {
	body := fmt.Sprintf(format, h.address, h.zone, time.Now().UnixMilli())
	at := netip.AddrPortFrom(l.keepers[0].ip, l.ports.calls).String()
	status, answer, err := call("POST", "http://"+at+"/instances/"+h.id+"/heartbeat", []byte(body))
	l.note("heartbeat of another writer for host %s, %s: %q -> %d %s %v", h.id, what, body, status, strings.TrimSpace(string(answer)), err)
}
