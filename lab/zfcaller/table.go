// Package zfcaller is a stand-in for the callers: it opens flows, sends
// requests, and records which flows broke and why.
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
	// minRetransmitDelay and maxRetransmitDelay bound the time between two
	// transmissions of a packet.
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay = 2 * time.Second
	// responseTimeout is how long a flow waits for a response before it counts
	// as broken, as refused if it was opening, or as closed if it was closing.
	responseTimeout = 8 * time.Second
	// packetInterval is the time between two packets of an active flow.
	packetInterval = 250 * time.Millisecond
	// One of flowsPerQuietFlow flows sends a packet only every
	// quietPacketInterval.
	flowsPerQuietFlow   = 4
	quietPacketInterval = 3 * time.Second
)

type flow struct {
	key              zf.Flow
	service          *zftopology.Service
	state            State
	server           string
	number           uint32
	awaitingResponse bool
	sentAt           time.Time
	nextSend         time.Time
	retransmitDelay  time.Duration
	endsAt           time.Time
	packetInterval   time.Duration
}

// BreakCause is why a flow broke.
type BreakCause string

// The causes of broken flows.
const (
	// BreakReset is a reset, BreakMoved a response of another backend server,
	// BreakSilence no response for responseTimeout.
	BreakReset   BreakCause = "reset"
	BreakMoved   BreakCause = "moved"
	BreakSilence BreakCause = "silence"
)

// FlowStats holds the numbers of flows by outcome.
type FlowStats struct {
	Opened  int `json:"opened"`
	Refused int `json:"refused"`
	Closed  int `json:"closed"`
	Held    int `json:"held"`
	// Broken counts established flows by cause. Lost counts those whose backend
	// server was killed or whose data centre was taken out, which are not
	// broken by the system.
	Broken map[BreakCause]int `json:"broken"`
	Lost   int                `json:"lost"`
	// Wrong counts responses of backend servers of another service.
	Wrong   int `json:"wrong"`
	Resent  int `json:"resent"`
	Packets int `json:"packets"`
	// Seconds holds the counts of each second of the run.
	Seconds []SecondStats `json:"seconds"`
	// Examples describes the first broken flows.
	Examples []string `json:"examples"`
}

// SecondStats holds the flows that were opened, answered and broken in one
// second.
type SecondStats struct {
	Opened   int `json:"opened"`
	Answered int `json:"answered"`
	Broken   int `json:"broken"`
}

// TableConfig holds the parameters of a table.
type TableConfig struct {
	Topology *zftopology.Topology
	Random   zf.Random
	// Rate is the number of flows opened each second.
	Rate int
	// MeanLifetime is the mean lifetime of a flow.
	MeanLifetime time.Duration
	// ExpectLoss reports whether the loss of a backend server's flows is
	// expected.
	ExpectLoss func(server string) bool
	Start      time.Time
}

// Table holds the flows. It belongs to the control goroutine.
type Table struct {
	config    TableConfig
	flows     map[zf.Flow]*flow
	byOpening []*flow
	opened    int
	stopped   bool
	stats     FlowStats
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

// Stop stops the opening of new flows.
func (t *Table) Stop() { t.stopped = true }

// Stats returns the numbers of flows by outcome.
func (t *Table) Stats() FlowStats {
	stats := t.stats
	stats.Held = len(t.flows)
	return stats
}

// statsAt returns the counts of the current second.
func (t *Table) statsAt(now time.Time) *SecondStats {
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
		t.openFlow(now)
	}
	segments := make([]zfsegment.Segment, 0, 64)
	kept := t.byOpening[:0]
	for _, f := range t.byOpening {
		if t.flows[f.key] != f {
			continue
		}
		kept = append(kept, f)
		if !now.Before(f.nextSend) {
			if segment, ok := t.nextSegment(f, now); ok {
				segments = append(segments, segment)
			}
		}
	}
	t.byOpening = kept
	t.stats.Packets += len(segments)
	return segments
}

// firstSourceAddress is the first source address of flows.
var firstSourceAddress = netip.AddrFrom4([4]byte{10, 0, 0, 1})

// portsPerAddress is the number of flows opened from a source address before
// the next one is used.
const portsPerAddress = 20000

func (t *Table) openFlow(now time.Time) {
	source := firstSourceAddress
	for range t.opened / portsPerAddress {
		source = source.Next()
	}
	service := &t.config.Topology.Services[t.opened%len(t.config.Topology.Services)]
	f := &flow{
		key: zf.Flow{
			Protocol:    zf.ProtocolTCP,
			Source:      netip.AddrPortFrom(source, uint16(10000+t.opened%portsPerAddress)),
			Destination: service.Frontend,
		},
		service:         service,
		retransmitDelay: minRetransmitDelay,
		nextSend:        now,
		endsAt:          now.Add(t.config.MeanLifetime/2 + time.Duration(t.config.Random.IntN(int(t.config.MeanLifetime)))),
		packetInterval:  packetInterval,
	}
	if t.config.Random.IntN(flowsPerQuietFlow) == 0 {
		f.packetInterval = quietPacketInterval
	}
	t.flows[f.key] = f
	t.byOpening = append(t.byOpening, f)
	t.statsAt(now).Opened++
}

// nextSegment returns the next segment of a flow, or retransmits the one
// without a response. It reports false if the flow timed out.
func (t *Table) nextSegment(f *flow, now time.Time) (zfsegment.Segment, bool) {
	switch {
	case f.awaitingResponse && now.Sub(f.sentAt) >= responseTimeout:
		t.timeOut(f, now)
		return zfsegment.Segment{}, false
	case f.awaitingResponse:
		t.stats.Resent++
		f.retransmitDelay = min(2*f.retransmitDelay, maxRetransmitDelay)
	default:
		f.awaitingResponse = true
		f.sentAt = now
		f.number++
		f.retransmitDelay = minRetransmitDelay
		if f.state == StateOpen && !now.Before(f.endsAt) {
			f.state = StateClosing
		}
	}
	f.nextSend = now.Add(f.retransmitDelay)
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

func (t *Table) timeOut(f *flow, now time.Time) {
	delete(t.flows, f.key)
	switch {
	case f.state == StateOpening:
		t.stats.Refused++
	case f.state == StateClosing:
		t.stats.Closed++
	default:
		t.breakFlow(f, BreakSilence, now)
	}
}

// maxExamples bounds the length of FlowStats.Examples.
const maxExamples = 20

func (t *Table) breakFlow(f *flow, cause BreakCause, now time.Time) {
	delete(t.flows, f.key)
	if t.config.ExpectLoss(f.server) {
		t.stats.Lost++
		return
	}
	t.stats.Broken[cause]++
	t.statsAt(now).Broken++
	if len(t.stats.Examples) < maxExamples {
		t.stats.Examples = append(t.stats.Examples,
			f.key.Source.String()+" "+f.service.Name+" "+f.server+" "+string(cause)+" at "+now.Sub(t.config.Start).String())
	}
}

// Receive handles a response of a backend server.
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
		t.breakFlow(f, BreakReset, now)
	case f.state == StateOpening && in.SYN:
		f.state = StateOpen
		f.server = string(in.Payload)
		t.stats.Opened++
		t.recordResponse(f, now)
		t.statsAt(now).Answered++
	case string(in.Payload) != f.server && f.server != "":
		t.breakFlow(f, BreakMoved, now)
	case f.state == StateClosing && in.FIN:
		delete(t.flows, f.key)
		t.stats.Closed++
	case in.Number == f.number && f.awaitingResponse:
		t.recordResponse(f, now)
	}
}

func (t *Table) recordResponse(f *flow, now time.Time) {
	f.awaitingResponse = false
	f.nextSend = now.Add(f.packetInterval)
	if f.nextSend.After(f.endsAt) {
		f.nextSend = f.endsAt
	}
}
