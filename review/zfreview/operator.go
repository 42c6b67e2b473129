package zfreview

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// operatorTimeout is how long the operator waits for a response before it moves on.
const operatorTimeout = time.Second

// operatorPause is the first pause of the operator between two attempts; it doubles.
const operatorPause = 100 * time.Millisecond

// Route is a route of a configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       string
	TimeoutMs  int
	Service    string
}

// Service is a service of a configuration.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Protocol       string
	TLS            bool `json:"Tls"`
	ColdStartS     float64
	ColdPerS       float64
}

// Configuration is a complete configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   map[string]int
}

// NewConfiguration returns a configuration with a route to each service. The address of
// service i is 198.18.0.1:8001+i.
func NewConfiguration(version uint64, services ...string) Configuration {
	c := Configuration{
		Version: version,
		Limits: map[string]int{
			"MaxHeaderBytes":  16384,
			"MaxBodyBytes":    262144,
			"HeaderTimeoutMs": 3000,
			"IdleTimeoutMs":   15000,
		},
	}
	for i, name := range services {
		c.Routes = append(c.Routes, Route{
			Name:       "r-" + name,
			Host:       routeHost,
			PathPrefix: fmt.Sprintf("/%d/", firstRoutePort+i),
			Kind:       "non_idempotent",
			TimeoutMs:  1200,
			Service:    name,
		})
		c.Services = append(c.Services, Service{
			Name:           name,
			HealthPath:     "/health",
			MaxConnections: 2000,
			Protocol:       "h1",
		})
	}
	return c
}

// Operator calls the control instances as the platform's page says: it moves on to
// another one after a failure, a 5xx or a second without a response.
type Operator struct {
	deployment *Deployment
	client     *http.Client
}

// NewOperator returns an operator of a deployment.
func NewOperator(d *Deployment) *Operator {
	return &Operator{
		deployment: d,
		client: &http.Client{
			Timeout: operatorTimeout,
			// A new connection for each call: the operator closes it after the response
			// or when it moves on.
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
}

// call sends a call to one control instance.
func (o *Operator) call(p *Process, method, path string, body []byte) (int, error) {
	url := fmt.Sprintf("http://%s%s", o.deployment.address(p.ip, offsetCalls), path)
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	record := o.deployment.config.Record
	record.Printf("operator to %s: %s %s", p.name, method, path)
	response, err := o.client.Do(request)
	if err != nil {
		record.Printf("operator from %s: no response to %s: %v", p.name, path, err)
		return 0, errors.Wrap(err, "call")
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // The status is the answer.
	record.Printf("operator from %s: %d for %s", p.name, response.StatusCode, path)
	return response.StatusCode, nil
}

// Order sends an order to the control instances in turn, beginning with one, until it is
// acknowledged. It returns the time of the acknowledgement.
func (o *Operator) Order(first int, method, path string, body []byte) (time.Time, error) {
	controls := o.deployment.Controls
	pause := operatorPause
	for i := range 12 {
		status, err := o.call(controls[(first+i)%len(controls)], method, path, body)
		switch {
		case err == nil && status/100 == 2:
			return time.Now(), nil
		case err == nil && status/100 == 4:
			return time.Time{}, errors.Errorf("%s was refused with %d", path, status)
		}
		time.Sleep(pause)
		pause *= 2
	}
	return time.Time{}, errors.Errorf("%s was not acknowledged", path)
}

// Put sends a configuration, beginning with one control instance.
func (o *Operator) Put(first int, c Configuration) error {
	text, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	_, err = o.Order(first, http.MethodPost, "/configuration/replace", text)
	return err
}

// Evacuate sends the order start or finish for a zone, beginning with one control
// instance. It returns the time of the acknowledgement.
func (o *Operator) Evacuate(first int, zone, action string) (time.Time, error) {
	return o.Order(first, http.MethodPost, "/evacuation/"+zone+"/"+action, nil)
}
