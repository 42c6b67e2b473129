package zfsoak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"zinniafront/lab/zfplatform"
)

// Report is the result of one run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Flows    int            `json:"flows"`
	Ends     map[string]int `json:"ends"`
	Answers  int            `json:"answers"`
	Accepted int            `json:"accepted"`
	Reads    int            `json:"reads"`
	Starts   int            `json:"starts"`
	Faults   []string       `json:"faults"`
	// Broken lists the violated promises, each with its time.
	Broken []string `json:"broken"`
}

var outcomeNames = map[zfplatform.FlowOutcome]string{
	zfplatform.FlowDone:        "done",
	zfplatform.FlowUnopened:    "unopened",
	zfplatform.FlowRefused:     "refused",
	zfplatform.FlowReset:       "reset",
	zfplatform.FlowServerReset: "host",
	zfplatform.FlowTimedOut:    "silent",
	zfplatform.FlowWrongAnswer: "wrong",
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "seed %d: %d flows %v, %d answers, %d changes accepted, %d reads, %d starts, %d faults\n",
		r.Seed, r.Flows, r.Ends, r.Answers, r.Accepted, r.Reads, r.Starts, len(r.Faults))
	for _, violation := range r.Broken {
		if err == nil {
			_, err = fmt.Fprintf(w, "  BROKEN %s\n", violation)
		}
	}
	return errors.Wrap(err, "write report")
}

// WriteJSON writes the report as a JSON document.
func (r Report) WriteJSON(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r), "write report")
}

// checker records the events of a run and finds violated promises.
type checker struct {
	mutex  sync.Mutex
	start  time.Time
	report Report
	// allowed holds, for each route, its services in all configurations sent.
	allowed map[netip.AddrPort][]string
	// dropped holds the routes that some configuration removed.
	dropped map[netip.AddrPort]bool
	// servers holds every incarnation of each backend server by name.
	servers map[string][]*zfplatform.Server
	// acknowledged is the highest version that was acknowledged.
	acknowledged uint64
}

func newChecker(seed uint64) *checker {
	return &checker{
		start: time.Now(),
		report: Report{
			Seed: seed,
			Ends: make(map[string]int),
		},
		allowed: make(map[netip.AddrPort][]string),
		dropped: make(map[netip.AddrPort]bool),
		servers: make(map[string][]*zfplatform.Server),
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.report.Broken = append(c.report.Broken, c.timestamp()+fmt.Sprintf(format, args...))
}

func (c *checker) timestamp() string {
	return fmt.Sprintf("%.2fs ", time.Since(c.start).Seconds())
}

func (c *checker) recordFault(format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Faults = append(c.report.Faults, c.timestamp()+fmt.Sprintf(format, args...))
}

func (c *checker) addServer(server *zfplatform.Server) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.servers[server.ID()] = append(c.servers[server.ID()], server)
}

// recordSent records the services that a configuration allows before it is sent.
func (c *checker) recordSent(routes map[netip.AddrPort]string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, service := range routes {
		if !slices.Contains(c.allowed[address], service) {
			c.allowed[address] = append(c.allowed[address], service)
		}
	}
	for address := range c.allowed {
		if _, ok := routes[address]; !ok {
			c.dropped[address] = true
		}
	}
}

func (c *checker) recordAccepted(version uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Accepted++
	c.acknowledged = max(c.acknowledged, version)
}

// recordRefused records the refusal of a valid configuration as a violation.
func (c *checker) recordRefused(version uint64, status int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation("valid configuration %d refused with status %d", version, status)
}

// highestAcknowledged returns the highest version acknowledged so far.
func (c *checker) highestAcknowledged() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.acknowledged
}

// checkRead checks a version that was read; before is the highest version that was
// acknowledged when the read began.
func (c *checker) checkRead(control int, version, before uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Reads++
	if version < before {
		c.addViolation("control instance %d returned version %d after %d was acknowledged", control, version, before)
	}
}

// checkFlow checks the result of a flow.
func (c *checker) checkFlow(f zfplatform.FlowResult) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.Flows++
	c.report.Answers += f.Answered
	c.report.Ends[outcomeNames[f.Outcome]]++
	if f.Service != "" && !slices.Contains(c.allowed[f.Route], f.Service) {
		c.addViolation("flow %s to %s was answered by service %s, which no configuration allows for this route", f.Caller, f.Route, f.Service)
	}
	switch f.Outcome {
	case zfplatform.FlowWrongAnswer:
		c.addViolation("flow %s to %s: %s", f.Caller, f.Route, f.Detail)
	case zfplatform.FlowReset, zfplatform.FlowServerReset:
		if f.Server != "" && c.singleIncarnation(f) && !c.dropped[f.Route] {
			c.addViolation("flow %s to %s was reset (%s) though backend server %s is running", f.Caller, f.Route, outcomeNames[f.Outcome], f.Server)
		}
	}
}

// singleIncarnation reports whether the flow's backend server was never restarted
// and still runs.
func (c *checker) singleIncarnation(f zfplatform.FlowResult) bool {
	incarnations := c.servers[f.Server]
	return len(incarnations) == 1 && !incarnations[0].Ended()
}
