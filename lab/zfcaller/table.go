// Package zfcaller stands in for the callers: it holds flows open, sends
// requests, and finds out which flows broke and why.
package zfcaller

import (
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/lab/zfsegment"
	"zinniafront/lab/zftopology"
)

// State is the state of a flow.
type State uint8

// The states of a flow.
const (
	StateOpening State = iota
	StateOpen
	StateClosing
)

const (
	// resendFirst and resendMost bound the time between repetitions.
	resendFirst = 200 * time.Millisecond
	resendMost  = 2 * time.Second
	// giveUp is how long a flow waits for an answer before it counts as
	// broken, or as refused if it was opening.
	giveUp = 8 * time.Second
	// dataEvery is the time between two packets of an active flow.
	dataEvery = 250 * time.Millisecond
	// quietShare of the flows send a packet every quietEvery only.
	quietShare = 4
	quietEvery = 3 * time.Second
)

type flow struct {
	key      zf.Flow
	service  *zftopology.Service
	state    State
	server   string
	number   uint32
	waiting  bool
	sent     time.Time
	next     time.Time
	pause    time.Duration
	ends     time.Time
	interval time.Duration
}

// BreakCause is the cause of a broken flow.
type BreakCause string

// The causes.
const (
	BreakReset   BreakCause = "reset"
	BreakMoved   BreakCause = "moved"
	BreakSilence BreakCause = "silence"
)

// FlowStats counts what the callers saw.
type FlowStats struct {
	Opened  int `json:"opened"`
	Refused int `json:"refused"`
	Closed  int `json:"closed"`
	Held    int `json:"held"`
	// Broken counts flows by cause, Lost those whose backend server died or
	// whose data centre was taken out; these are not broken by the system.
	Broken map[BreakCause]int `json:"broken"`
	Lost   int                `json:"lost"`
	// Wrong counts answers of a backend server of another service.
	Wrong   int `json:"wrong"`
	Resent  int `json:"resent"`
	Packets int `json:"packets"`
	// Seconds holds, per second, the openings and those answered in time.
	Seconds []SecondStats `json:"seconds"`
	// Examples tells of the first broken flows.
	Examples []string `json:"examples"`
}

// SecondStats is one second of the run.
type SecondStats struct {
	Opened   int `json:"opened"`
	Answered int `json:"answered"`
	Broken   int `json:"broken"`
}

// TableConfig holds what a table is built from.
type TableConfig struct {
	Topology *zftopology.Topology
	Random   zf.Random
	// Rate is the number of flows opened each second.
	Rate int
	// MeanLifetime is the mean lifetime of a flow.
	MeanLifetime time.Duration
	// ExpectLoss reports whether the flows of a backend server may end.
	ExpectLoss func(server string) bool
	Start      time.Time
}

// Table holds the flows. It belongs to the control goroutine.
type Table struct {
	config  TableConfig
	flows   map[zf.Flow]*flow
	order   []*flow
	opened  int
	stopped bool
	stats   FlowStats
}

// NewTable returns an empty table.
func NewTable(config TableConfig) *Table {
	return &Table{
		config: config,
		flows:  make(map[zf.Flow]*flow),
		stats: FlowStats{
			Broken: make(map[BreakCause]int),
		},
	}
}

// Stop ends the opening of new flows.
func (t *Table) Stop() { t.stopped = true }

// Stats returns what the callers saw.
func (t *Table) Stats() FlowStats {
	stats := t.stats
	stats.Held = len(t.flows)
	return stats
}

func (t *Table) second(now time.Time) *SecondStats {
	i := int(now.Sub(t.config.Start) / time.Second)
	for len(t.stats.Seconds) <= i {
		t.stats.Seconds = append(t.stats.Seconds, SecondStats{})
	}
	return &t.stats.Seconds[i]
}

// Tick opens new flows and returns the segments that are due.
func (t *Table) Tick(now time.Time) []zfsegment.Segment {
	due := int(now.Sub(t.config.Start).Seconds() * float64(t.config.Rate))
	for ; t.opened < due && !t.stopped; t.opened++ {
		t.open(now)
	}
	segments := make([]zfsegment.Segment, 0, 64)
	kept := t.order[:0]
	for _, f := range t.order {
		if t.flows[f.key] != f {
			continue
		}
		kept = append(kept, f)
		if !now.Before(f.next) {
			if segment, ok := t.step(f, now); ok {
				segments = append(segments, segment)
			}
		}
	}
	t.order = kept
	t.stats.Packets += len(segments)
	return segments
}

// sourceBase is the first address of the callers.
var sourceBase = netip.AddrFrom4([4]byte{10, 0, 0, 1})

const portsEach = 20000

func (t *Table) open(now time.Time) {
	source := sourceBase
	for range t.opened / portsEach {
		source = source.Next()
	}
	service := &t.config.Topology.Services[t.opened%len(t.config.Topology.Services)]
	f := &flow{
		key: zf.Flow{
			Protocol:    zf.ProtocolTCP,
			Source:      netip.AddrPortFrom(source, uint16(10000+t.opened%portsEach)),
			Destination: service.Frontend,
		},
		service:  service,
		pause:    resendFirst,
		next:     now,
		ends:     now.Add(t.config.MeanLifetime/2 + time.Duration(t.config.Random.IntN(int(t.config.MeanLifetime)))),
		interval: dataEvery,
	}
	if t.config.Random.IntN(quietShare) == 0 {
		f.interval = quietEvery
	}
	t.flows[f.key] = f
	t.order = append(t.order, f)
	t.second(now).Opened++
}

// step sends a flow's next segment or repeats the last one.
func (t *Table) step(f *flow, now time.Time) (zfsegment.Segment, bool) {
	switch {
	case f.waiting && now.Sub(f.sent) >= giveUp:
		t.abandon(f, now)
		return zfsegment.Segment{}, false
	case f.waiting:
		t.stats.Resent++
		f.pause = min(2*f.pause, resendMost)
	default:
		f.waiting = true
		f.sent = now
		f.number++
		f.pause = resendFirst
		if f.state == StateOpen && !now.Before(f.ends) {
			f.state = StateClosing
		}
	}
	f.next = now.Add(f.pause)
	return zfsegment.Segment{
		Source:      f.key.Source,
		Destination: f.key.Destination,
		SYN:         f.state == StateOpening,
		ACK:         f.state != StateOpening,
		FIN:         f.state == StateClosing,
		Number:      f.number,
		Payload:     []byte(f.server),
	}, true
}

func (t *Table) abandon(f *flow, now time.Time) {
	delete(t.flows, f.key)
	switch {
	case f.state == StateOpening:
		t.stats.Refused++
	case f.state == StateClosing:
		t.stats.Closed++
	default:
		t.fail(f, BreakSilence, now)
	}
}

// mostExamples bounds the examples of broken flows.
const mostExamples = 20

func (t *Table) fail(f *flow, cause BreakCause, now time.Time) {
	delete(t.flows, f.key)
	if t.config.ExpectLoss(f.server) {
		t.stats.Lost++
		return
	}
	t.stats.Broken[cause]++
	t.second(now).Broken++
	if len(t.stats.Examples) < mostExamples {
		t.stats.Examples = append(t.stats.Examples,
			f.key.Source.String()+" "+f.service.Name+" "+f.server+" "+string(cause)+" at "+now.Sub(t.config.Start).String())
	}
}

// Receive takes an answer of a backend server.
func (t *Table) Receive(in zfsegment.Segment, now time.Time) {
	f, ok := t.flows[zf.Flow{
		Protocol:    zf.ProtocolTCP,
		Source:      in.Destination,
		Destination: in.Source,
	}]
	if !ok {
		return
	}
	server := t.config.Topology.FindServer(string(in.Payload))
	if server != nil && server.Service != f.service.Name {
		t.stats.Wrong++
	}
	switch {
	case in.RST && f.state == StateOpening:
		delete(t.flows, f.key)
		t.stats.Refused++
	case in.RST:
		t.fail(f, BreakReset, now)
	case f.state == StateOpening && in.SYN:
		f.state = StateOpen
		f.server = string(in.Payload)
		t.stats.Opened++
		t.answered(f, now)
		t.second(now).Answered++
	case string(in.Payload) != f.server && f.server != "":
		t.fail(f, BreakMoved, now)
	case f.state == StateClosing && in.FIN:
		delete(t.flows, f.key)
		t.stats.Closed++
	case in.Number == f.number && f.waiting:
		t.answered(f, now)
	}
}

func (t *Table) answered(f *flow, now time.Time) {
	f.waiting = false
	f.next = now.Add(f.interval)
	if f.next.After(f.ends) {
		f.next = f.ends
	}
}
