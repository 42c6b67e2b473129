package main

import "time"

func init() { cases["drain"] = playDrain }

// playDrain plays a host that drains while the control instance that receives its
// heartbeats is partitioned from the others.
func playDrain(l *lab) error {
	const (
		cutTime     = 5500 * time.Millisecond
		contactTime = 4 * time.Second
	)
	l.router.loss = 0.01
	l.proxied = true
	if err := l.begin(l.configurationOf(7, 0, "proofs"), l.zones...); err != nil {
		return err
	}
	for _, zone := range l.zones {
		if _, err := l.addHost("proofs", zone); err != nil {
			return err
		}
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	if err := l.router.begin(); err != nil {
		return err
	}
	l.router.load(l.routeOf(1), 50, 5*time.Second)
	leaving := l.hosts[0]
	acknowledged, err := leaving.drainNow()
	if err != nil {
		return err
	}
	loaded := make(chan struct{})
	go func() {
		l.router.load(l.routeOf(1), 300, cutTime+1500*time.Millisecond)
		close(loaded)
	}()
	time.Sleep(500 * time.Millisecond)
	cut := time.Now()
	if l.trouble {
		l.cutCore(l.keepers[0], true)
	}
	time.Sleep(cutTime)
	healed := time.Now()
	if l.trouble {
		l.cutCore(l.keepers[0], false)
	}
	<-loaded
	openings, _ := leaving.taken()
	for _, o := range openings {
		after := o.at.Sub(acknowledged)
		if after < 500*time.Millisecond {
			continue
		}
		l.note("host %s took the opening packet of %s %.3f s after its draining was acknowledged, %.3f s after the cut", leaving.id, o.from, after.Seconds(), o.at.Sub(cut).Seconds())
		if after > l.bounds.drain && o.at.Sub(cut) > contactTime && o.at.Before(healed) {
			l.breaks("DRAIN: a new flow reached host %s %.3f s after the acknowledgement that it drains, %.3f s after the cut", leaving.id, after.Seconds(), o.at.Sub(cut).Seconds())
		}
	}
	return nil
}
