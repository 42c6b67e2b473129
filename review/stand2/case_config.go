package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["config"] = playConfig }

// playConfig plays a configuration that can't be read in full: it has a byte that is no text.
func playConfig(l *lab) error {
	valid := l.configurationOf(7, 0, "dispatch", "proofs")
	if err := l.begin(valid, l.zones[0]); err != nil {
		return err
	}
	for i, service := range []string{"dispatch", "proofs", "dispatch", "proofs"} {
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
	l.router.load(l.routeOf(1), 20, 2*time.Second)
	l.router.load(l.routeOf(2), 20, time.Second)
	if l.trouble {
		damaged := strings.Replace(l.configurationOf(9, 0, "dispatch"), `"Name":"r-1"`, "\"Name\":\"r-\xff\"", 1)
		if err := l.sendInvalid(damaged, "a byte that is no text"); err != nil {
			return err
		}
	}
	return l.checkRoutes()
}

// sendInvalid sends a configuration that has to be refused.
func (l *lab) sendInvalid(body, what string) error {
	l.note("sending %q", body)
	status, _, err := l.operator.order("POST", "/configuration/replace", body)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		l.breaks("CONFIG: a configuration that can't be read in full (%s) was acknowledged", what)
	}
	return nil
}

// checkRoutes checks that the routes of the only valid configuration are served and that it is
// the one that is read back.
func (l *lab) checkRoutes() error {
	time.Sleep(3500 * time.Millisecond) // ConfigApplyMs and a margin.
	status, text, err := l.operator.order("GET", "/configuration/read", "")
	if err != nil {
		return err
	}
	l.note("read back: %d %.120q", status, text)
	if !strings.HasPrefix(string(text), `{"Version":7,`) {
		l.breaks("CONFIG: an invalid configuration is read back: %.60q", text)
	}
	for n := byte(1); n <= 2; n++ {
		if t := l.router.load(l.routeOf(n), 20, time.Second); t.outcomes["answered"] == 0 {
			l.breaks("CONFIG: route %d is refused, which only an invalid configuration drops: %s", n, fmt.Sprint(t.outcomes))
		}
	}
	return nil
}
