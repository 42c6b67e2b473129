package zfplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Route is one route of a configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       string
	TimeoutMs  int
	Service    string
}

// Configuration is the complete configuration that an operator sends.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []struct{ Name string }
	Limits   struct{ IdleTimeoutMs int }
}

// Operator calls the control instances over HTTP.
type Operator struct {
	controls []netip.AddrPort
	client   *http.Client
}

// operatorTimeout is how long an operator waits for an answer.
const operatorTimeout = 1200 * time.Millisecond

// NewOperator returns an operator that calls these control instances.
func NewOperator(controls []netip.AddrPort) *Operator {
	return &Operator{
		controls: controls,
		client: &http.Client{
			Timeout: operatorTimeout,
		},
	}
}

// ErrOutcomeUnknown means a call may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("outcome of the call is unknown")

// call calls one control instance. The outcome is unknown unless the status is 200
// or 4xx.
func (o *Operator) call(i int, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", o.controls[i%len(o.controls)], path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return response.StatusCode, nil, ErrOutcomeUnknown
	}
	return response.StatusCode, text, nil
}

// Put sends a configuration to control instance i and returns the HTTP status.
func (o *Operator) Put(i int, configuration Configuration) (int, error) {
	text, err := json.Marshal(configuration)
	if err != nil {
		return 0, errors.Wrap(err, "encode configuration")
	}
	status, _, err := o.call(i, http.MethodPost, "/configuration/replace", text)
	return status, err
}

// Evacuate starts or finishes the evacuation of a data centre.
func (o *Operator) Evacuate(i int, centre, action string) (int, error) {
	status, _, err := o.call(i, http.MethodPost, "/evacuation/"+centre+"/"+action, nil)
	return status, err
}

// Read returns the version of the newest configuration, or 0 if there is none.
func (o *Operator) Read(i int) (uint64, error) {
	status, text, err := o.call(i, http.MethodGet, "/configuration/read", nil)
	if err != nil {
		return 0, err
	}
	if status == http.StatusNotFound {
		return 0, nil
	}
	var configuration Configuration
	if err := json.Unmarshal(text, &configuration); err != nil {
		return 0, errors.Wrap(err, "decode configuration")
	}
	return configuration.Version, nil
}
