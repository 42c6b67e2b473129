package zfexplaincmd

import (
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfcluster"
)

// document is the output of the command. Its JSON schema is in docs/explain.schema.json.
type document struct {
	Instances []instanceDocument `json:"instances"`
	// Silent is the number of instances that didn't answer.
	Silent int `json:"silent"`
	// Agree is false if the instances would do different things with the opening packet.
	Agree bool `json:"agree"`
}

type instanceDocument struct {
	Instance    string            `json:"instance"`
	Centre      string            `json:"centre"`
	Ready       bool              `json:"ready"`
	Shed        float64           `json:"shed"`
	Index       uint64            `json:"index"`
	Version     uint64            `json:"version"`
	Age         string            `json:"age"`
	Totals      bool              `json:"totals"`
	Route       string            `json:"route"`
	Caller      string            `json:"caller"`
	Known       bool              `json:"known"`
	Service     string            `json:"service"`
	Priority    int               `json:"priority"`
	Target      string            `json:"target"`
	Deadline    string            `json:"deadline"`
	Leaving     *leavingDocument  `json:"leaving"`
	Destination string            `json:"destination"`
	Limit       *limitDocument    `json:"limit"`
	Attempts    []attemptDocument `json:"attempts"`
}

type leavingDocument struct {
	To   []shareDocument `json:"to"`
	Home string          `json:"home"`
	Away string          `json:"away"`
}

type shareDocument struct {
	Centre string  `json:"centre"`
	Share  float64 `json:"share"`
}

type limitDocument struct {
	Share float64 `json:"share"`
	Wait  string  `json:"wait"`
}

type attemptDocument struct {
	Copy       int              `json:"copy"`
	Action     string           `json:"action"`
	Reason     string           `json:"reason"`
	Server     string           `json:"server"`
	Candidates []serverDocument `json:"candidates"`
}

type serverDocument struct {
	Server   string  `json:"server"`
	Centre   string  `json:"centre"`
	Address  string  `json:"address"`
	State    string  `json:"state"`
	Late     bool    `json:"late"`
	Tier     string  `json:"tier"`
	Slots    int     `json:"slots"`
	Share    float64 `json:"share"`
	Requests float64 `json:"requests"`
	Cost     float64 `json:"cost"`
	Passed   string  `json:"passed"`
}

func newDocument(reply zfcluster.ExplainReply) document {
	d := document{
		Instances: make([]instanceDocument, 0, len(reply.Explanations)),
		Silent:    reply.Silent,
		Agree:     true,
	}
	for _, explanation := range reply.Explanations {
		d.Instances = append(d.Instances, newInstanceDocument(explanation))
	}
	for _, instance := range d.Instances[1:] {
		d.Agree = d.Agree && sameDecision(instance, d.Instances[0])
	}
	return d
}

// known reports whether an instance knows the route.
func (d document) known() bool {
	for _, instance := range d.Instances {
		if instance.Known {
			return true
		}
	}
	return false
}

// starting reports whether no instance has routes yet.
func (d document) starting() bool {
	return !slices.ContainsFunc(d.Instances, func(i instanceDocument) bool {
		return len(i.Attempts) == 0 || i.Attempts[0].Reason != zf.ReasonNotReady.String()
	})
}

// sameDecision compares the decisions on the first opening packet.
func sameDecision(a, b instanceDocument) bool {
	if a.Known != b.Known || a.Service != b.Service || len(a.Attempts) != len(b.Attempts) {
		return false
	}
	return len(a.Attempts) == 0 || a.Attempts[0].Action == b.Attempts[0].Action &&
		a.Attempts[0].Reason == b.Attempts[0].Reason && a.Attempts[0].Server == b.Attempts[0].Server
}

func newInstanceDocument(e zf.Explanation) instanceDocument {
	d := instanceDocument{
		Instance:    string(e.Instance),
		Centre:      string(e.Centre),
		Ready:       e.Ready,
		Shed:        e.Shed,
		Index:       e.Index,
		Version:     e.Version,
		Age:         e.Age.Round(time.Millisecond).String(),
		Totals:      e.TotalsKnown,
		Route:       e.Flow.Destination.String(),
		Caller:      e.Flow.Source.String(),
		Known:       e.RouteKnown,
		Service:     string(e.Service),
		Priority:    e.Priority,
		Target:      e.Target.String(),
		Deadline:    e.Deadline.String(),
		Destination: string(e.Destination),
		Attempts:    make([]attemptDocument, 0, len(e.Attempts)),
	}
	if e.Departure != nil {
		d.Leaving = newLeavingDocument(*e.Departure)
	}
	if e.Limit != nil {
		d.Limit = &limitDocument{
			Share: e.Limit.Share,
			Wait:  e.Limit.Wait.Round(time.Microsecond).String(),
		}
	}
	for _, attempt := range e.Attempts {
		d.Attempts = append(d.Attempts, newAttemptDocument(attempt))
	}
	return d
}

func newLeavingDocument(departure zf.Departure) *leavingDocument {
	d := &leavingDocument{
		To:   make([]shareDocument, 0, len(departure.To)),
		Home: departure.Home.Round(time.Microsecond).String(),
		Away: departure.Away.Round(time.Microsecond).String(),
	}
	for _, to := range departure.To {
		d.To = append(d.To, shareDocument{
			Centre: string(to.Centre),
			Share:  to.Share,
		})
	}
	return d
}

func newAttemptDocument(attempt zf.ExplainedAttempt) attemptDocument {
	d := attemptDocument{
		Copy:       attempt.Retransmissions,
		Action:     attempt.Action.String(),
		Reason:     attempt.Reason.String(),
		Server:     string(attempt.Server),
		Candidates: make([]serverDocument, 0, len(attempt.Candidates)),
	}
	for _, s := range attempt.Candidates {
		d.Candidates = append(d.Candidates, serverDocument{
			Server:   string(s.Server),
			Centre:   string(s.Centre),
			Address:  s.Address.String(),
			State:    s.State.String(),
			Late:     s.Late,
			Tier:     s.Tier,
			Slots:    s.Slots,
			Share:    s.Share,
			Requests: s.Requests,
			Cost:     s.Cost,
			Passed:   s.PassedOver.String(),
		})
	}
	return d
}

// maxPrinted is the number of candidates that are printed for an attempt; the JSON document
// has all of them.
const maxPrinted = 8

func printDocument(streams zfcmd.Streams, d document) {
	for _, instance := range d.Instances {
		printInstance(streams, instance)
	}
	if len(d.Instances)+d.Silent > 1 {
		streams.Printf("instances: %d, silent %d, agree %t\n", len(d.Instances), d.Silent, d.Agree)
	}
}

func printInstance(streams zfcmd.Streams, d instanceDocument) {
	streams.Printf("%s in %s: ready %t, version %d (index %d), last news %s ago, loads of all instances %t\n",
		d.Instance, d.Centre, d.Ready, d.Version, d.Index, d.Age, d.Totals)
	if d.Shed > 0 {
		streams.Printf("  overloaded: %.2f of opening packets are dropped\n", d.Shed)
	}
	if !d.Known {
		streams.Printf("  route %s: unknown\n", d.Route)
		return
	}
	streams.Printf("  route %s: service %s, priority %d, target %s, deadline %s\n", d.Route, d.Service, d.Priority, d.Target, d.Deadline)
	if d.Leaving != nil {
		streams.Printf("  leaving: %v, wait at home %s, elsewhere %s; this flow goes to %q\n", d.Leaving.To, d.Leaving.Home, d.Leaving.Away, d.Destination)
	}
	if d.Limit != nil {
		streams.Printf("  limit: %.2f of new flows are admitted, expected wait %s\n", d.Limit.Share, d.Limit.Wait)
	}
	for _, attempt := range d.Attempts {
		streams.Printf("  copy %d: %s %s %s\n", attempt.Copy, attempt.Action, attempt.Server, attempt.Reason)
		for i, s := range attempt.Candidates {
			if i == maxPrinted {
				streams.Printf("    and %d more\n", len(attempt.Candidates)-maxPrinted)
				break
			}
			streams.Printf("    %s in %s: %s, %s, heartbeat late %t, cost %.3g, share %.2f, requests %.0f, passed over %s\n",
				s.Server, s.Centre, s.Tier, s.State, s.Late, s.Cost, s.Share, s.Requests, s.Passed)
		}
	}
}
