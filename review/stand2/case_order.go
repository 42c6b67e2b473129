package main

import (
	"errors"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["order"] = playOrder }

// playOrder plays an order to take a zone back that is held up in a control instance that
// freezes, and that the operator gives up: it orders the evacuation again instead.
func playOrder(l *lab) error {
	const (
		evacuationTime = 5 * time.Second
		contactTime    = 4 * time.Second
		freezeTime     = 4 * time.Second
	)
	zone := l.zones[0]
	if err := l.begin(l.configurationOf(7, 0, "dispatch"), l.zones...); err != nil {
		return err
	}
	for i := range 6 {
		if _, err := l.addHost("dispatch", l.zones[i%3]); err != nil {
			return err
		}
	}
	if err := l.awaitReady(); err != nil {
		return err
	}
	if err := l.router.begin(); err != nil {
		return err
	}
	l.router.load(l.routeOf(1), 50, 2*time.Second)
	if status, _, err := l.operator.order("POST", "/evacuation/"+zone+"/start", ""); err != nil || status != http.StatusOK {
		return errors.Join(errors.New("the evacuation isn't acknowledged"), err)
	}
	l.router.load(l.routeOf(1), 50, 6*time.Second)
	frozen := l.follower()
	location, err := l.askFinish(frozen, zone)
	if err != nil {
		return err
	}
	froze := time.Now()
	if l.trouble {
		_ = frozen.command.Process.Signal(syscall.SIGSTOP)
		l.note("%s freezes", frozen.name)
	}
	status, _, err := call("POST", location, nil)
	l.note("POST %s -> %d %v", location, status, err)
	l.note("the operator gives the order up and orders the evacuation again")
	if status, _, err := l.operator.order("POST", "/evacuation/"+zone+"/start", ""); err != nil || status != http.StatusOK {
		return errors.Join(errors.New("the second evacuation isn't acknowledged"), err)
	}
	acknowledged := time.Now()
	l.router.load(l.routeOf(1), 50, freezeTime-time.Since(froze))
	if l.trouble {
		_ = frozen.command.Process.Signal(syscall.SIGCONT)
		l.note("%s goes on", frozen.name)
	}
	thawed := time.Now()
	l.router.load(l.routeOf(1), 50, contactTime+3*time.Second)
	from := acknowledged.Add(evacuationTime)
	if inTouch := thawed.Add(contactTime); inTouch.After(from) {
		from = inTouch
	}
	for _, h := range l.hosts {
		openings, _ := h.taken()
		count := 0
		for _, o := range openings {
			if o.sentAt.After(from) {
				count++
			}
		}
		l.note("host %s in %s got %d new flows later than EvacuationMs after the acknowledgement and ContactMs after the freeze", h.id, h.zone, count)
		if h.zone == zone && count > 0 {
			l.breaks("EVAC: host %s in %s got %d new flows, though the last acknowledged order is to evacuate the zone and no other was sent since", h.id, zone, count)
		}
	}
	return nil
}

// follower returns a control instance that doesn't lead, by its log.
func (l *lab) follower() *process {
	for _, p := range l.keepers {
		text, _ := os.ReadFile(filepath.Join(l.temp, p.name+".log"))
		last := strings.LastIndex(string(text), `"event":3005`)
		line, _, _ := strings.Cut(string(text[max(last, 0):]), "\n")
		if last >= 0 && strings.Contains(line, `"self":false`) {
			return p
		}
	}
	return l.keepers[1]
}

// askFinish orders a zone back at one control instance and returns where that redirects to.
func (l *lab) askFinish(p *process, zone string) (string, error) {
	client := *callClient
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	url := "http://" + netip.AddrPortFrom(p.ip, l.ports.calls).String() + "/evacuation/" + zone + "/finish"
	response, err := client.Post(url, "application/json", nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	l.note("POST %s -> %d, Location %s", url, response.StatusCode, response.Header.Get("Location"))
	if response.StatusCode != http.StatusTemporaryRedirect {
		return "", errors.New("no redirect")
	}
	return response.Header.Get("Location"), nil
}
