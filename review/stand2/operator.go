package main

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// callClient follows redirects twice and waits for a second, like every caller of the pages.
var callClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	},
}

// call makes one HTTP call.
func call(method, url string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := callClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// operator sends the orders of the operator.
type operator struct{ lab *lab }

// order sends an order to the control instances in turn until one answers clearly, with a
// status below 500 other than 408 and 429.
func (o *operator) order(method, path, body string) (int, []byte, error) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, p := range o.lab.keepers {
			status, answer, err := call(method, "http://"+netip.AddrPortFrom(p.ip, o.lab.ports.calls).String()+path, []byte(body))
			if err != nil || status >= 500 || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests {
				continue
			}
			o.lab.note("%s %s -> %d", method, path, status)
			return status, answer, nil
		}
	}
	return 0, nil, errors.New("no clear answer to " + method + " " + path)
}

// begin starts the system: control instances, entry instances in zones, the configuration.
func (l *lab) begin(configuration string, zones ...string) error {
	if err := l.startKeepers(); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := l.addEntry(zone); err != nil {
			return err
		}
	}
	status, _, err := l.operator.order("POST", "/configuration/replace", configuration)
	if err != nil || status != http.StatusOK {
		return errors.Join(errors.New("the first configuration isn't accepted"), err)
	}
	return nil
}

// ready reports whether an entry instance is ready.
func (l *lab) ready(p *process) bool {
	status, _, err := call("GET", "http://"+netip.AddrPortFrom(p.ip, l.ports.ready).String()+"/readiness", nil)
	return err == nil && status == http.StatusOK
}

// awaitReady waits until all entry instances are ready.
func (l *lab) awaitReady() error {
	return wait(15*time.Second, "readiness", func() bool {
		for _, p := range l.entries {
			if !l.ready(p) {
				return false
			}
		}
		return true
	})
}
