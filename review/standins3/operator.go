package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// maxRedirects is how often callers of the control plane follow a redirect.
const maxRedirects = 2

// callTimeout is how long they wait for a response.
const callTimeout = time.Second

func newCaller() *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return http.ErrUseLastResponse
			}
			return nil
		},
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
}

// operator sends orders to the processes that serve the control plane.
type operator struct {
	run    *run
	client *http.Client
	nodes  []*process
	next   int
}

func newOperator(r *run, nodes []*process) *operator {
	return &operator{
		run:    r,
		client: newCaller(),
		nodes:  nodes,
	}
}

// call calls one node and returns the status, or 0 without a response.
func (o *operator) call(node *process, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+node.at(o.run.ports.control).String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// order sends an order to one node after the other until it is acknowledged. It returns
// false if it was not for as long as within.
func (o *operator) order(path string, body []byte, within time.Duration) bool {
	pause := 50 * time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); {
		o.next++
		node := o.nodes[o.next%len(o.nodes)]
		if !node.running() {
			continue
		}
		status, text := o.call(node, http.MethodPost, path, body)
		if status == http.StatusOK {
			o.run.log("%s acknowledged by %s", path, node.name)
			return true
		}
		if status != 0 && status < 500 {
			o.run.log("%s answered with %d by %s: %s", path, status, node.name, text)
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return false
}

// configuration is the document that the operator sends.
type configuration struct {
	Version  uint64
	Routes   []route
	Services []service
	Limits   limits
}

type route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, TargetLatencyMs   int
	Priority                     int
	Service                      string
	MaxAttempts                  int
}

type service struct {
	Name, HealthPath, Protocol string
	MaxConnections             int
	TLS                        bool `json:"Tls"`
	ColdStartS, ColdPerS       float64
}

type limits struct {
	MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int
}

const (
	serviceName = "dispatch"
	routeHost   = "198.18.0.1"
	routePort   = 443
)

// newConfiguration returns a configuration with one route.
func newConfiguration(version uint64, coldStart time.Duration, coldPerS float64) configuration {
	return configuration{
		Version: version,
		Routes: []route{{
			Name:            "board-feed",
			Host:            routeHost,
			PathPrefix:      "/443/",
			Kind:            "idempotent",
			TimeoutMs:       1000 + int(version),
			TargetLatencyMs: 100,
			Priority:        2,
			Service:         serviceName,
			MaxAttempts:     2,
		}},
		Services: []service{{
			Name:           serviceName,
			HealthPath:     "/health",
			Protocol:       "h1",
			MaxConnections: 2000,
			ColdStartS:     coldStart.Seconds(),
			ColdPerS:       coldPerS,
		}},
		Limits: limits{
			MaxHeaderBytes:  16384,
			MaxBodyBytes:    262144,
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs:   15000,
		},
	}
}

// replace sends a configuration until it is acknowledged.
func (o *operator) replace(c configuration, within time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	o.run.log("operator sends configuration %d", c.Version)
	if !o.order("/configuration/replace", body, within) {
		return errors.Errorf("configuration %d was not acknowledged within %s", c.Version, within)
	}
	return nil
}

// read reads the version of the configuration at one node; it returns the status and the
// version, or 0.
func (o *operator) read(node *process) (status int, version uint64) {
	status, text := o.call(node, http.MethodGet, "/configuration/read", nil)
	var c configuration
	if status != http.StatusOK || json.Unmarshal(text, &c) != nil {
		return status, 0
	}
	return status, c.Version
}
