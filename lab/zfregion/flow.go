package zfregion

import (
	"container/heap"
	"fmt"
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
)

// Load describes the flows that callers open.
type Load struct {
	// FlowRate is the number of flows opened each second.
	FlowRate float64
	// MeanLifetime is the mean lifetime of a flow, PacketInterval the time
	// between two of its packets.
	MeanLifetime   time.Duration
	PacketInterval time.Duration
	// QuietShare is the share of flows that send a packet only every
	// QuietPacketInterval.
	QuietShare          float64
	QuietPacketInterval time.Duration
	// UnclosedShare is the share of flows that end without a FIN.
	UnclosedShare float64
	// ResetShare is the share of flows that end with a RST.
	ResetShare float64
	// SourcePorts bounds the number of source addresses and ports, so that
	// five-tuples are reused; 0 means no bound.
	SourcePorts int
}

// Result holds the numbers of flows by outcome.
type Result struct {
	Opened  int
	Refused int
	Closed  int
	// Broken counts established flows that were reset by a backend server other
	// than their own, Unanswered those without a response for responseTimeout.
	Broken     int
	Unanswered int
	// Lost counts those whose backend server crashed or whose data centre was
	// taken out.
	Lost int
	// Causes describes the first flows that were broken, unanswered or opened
	// late on a draining backend server.
	Causes []string
	// MaxResponseTime is the longest time that an established flow waited for a
	// response.
	MaxResponseTime time.Duration
}

type flowState uint8

const (
	flowOpening flowState = iota
	flowOpen
	flowEnding
)

type flow struct {
	key             zf.Flow
	service         *zfbundle.Service
	state           flowState
	server          *Server
	packetInterval  time.Duration
	endsAt          time.Time
	nextPacket      time.Time
	waitingSince    time.Time
	retransmitDelay time.Duration
	number          int
	responses       int
	// centreOut is set if the data centre of the backend server was taken out.
	centreOut bool
}

// Flows is the table of the callers' flows.
type Flows struct {
	region     *Region
	load       Load
	queue      flowQueue
	active     map[zf.Flow]*flow
	flowsDue   float64
	lastNumber int
	result     Result
}

func newFlows(region *Region) *Flows {
	return &Flows{
		region: region,
		active: make(map[zf.Flow]*flow),
	}
}

// flowQueue is a heap of flows, ordered by the time of their next packet.
type flowQueue []*flow

func (q flowQueue) Len() int { return len(q) }

func (q flowQueue) Less(i, j int) bool {
	if q[i].nextPacket.Equal(q[j].nextPacket) {
		return q[i].number < q[j].number
	}
	return q[i].nextPacket.Before(q[j].nextPacket)
}

func (q flowQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *flowQueue) Push(x any) { *q = append(*q, x.(*flow)) }

// Pop implements heap.Interface.
func (q *flowQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// SetLoad replaces the load.
func (f *Flows) SetLoad(load Load) {
	f.load = load
	f.flowsDue = 0
}

// Result returns the numbers of flows by outcome.
func (f *Flows) Result() Result { return f.result }

// OpenCount returns the number of flows that have not ended.
func (f *Flows) OpenCount() int { return len(f.active) }

const (
	// minRetransmitDelay and maxRetransmitDelay bound the time between two
	// transmissions of a packet.
	minRetransmitDelay = 250 * time.Millisecond
	maxRetransmitDelay = 2 * time.Second
	// openingRetransmitDelay is the time until the first retransmission of an
	// opening packet.
	openingRetransmitDelay = time.Second
	// responseTimeout is how long a flow waits for a response.
	responseTimeout = 15 * time.Second
	// After each of its first handshakePackets responses, a flow sends its next
	// packet after handshakeInterval.
	handshakePackets  = 3
	handshakeInterval = 20 * time.Millisecond
	// maxCauses bounds the length of Result.Causes.
	maxCauses = 10
)

func (f *Flows) tick() {
	r := f.region
	f.flowsDue += f.load.FlowRate * (r.config.TickInterval / stepsPerTick).Seconds()
	for ; f.flowsDue >= 1; f.flowsDue-- {
		f.openFlow()
	}
	for len(f.queue) > 0 && !f.queue[0].nextPacket.After(r.now) {
		current := heap.Pop(&f.queue).(*flow)
		if f.active[current.key] != current {
			continue
		}
		f.sendPacket(current)
		if f.active[current.key] == current {
			heap.Push(&f.queue, current)
		}
	}
}

func (f *Flows) openFlow() {
	r := f.region
	f.lastNumber++
	ports := f.load.SourcePorts
	if ports == 0 {
		ports = 1 << 30
	}
	n := f.lastNumber % ports
	services := r.state.Bundle.Services
	service := &services[f.lastNumber%len(services)]
	key := zf.Flow{
		Protocol: service.Protocol,
		Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128 | byte(n>>24), byte(n >> 16), byte(n >> 8)}),
			uint16(1024+n&255)),
		Destination: service.Frontends()[0],
	}
	if f.active[key] != nil {
		return
	}
	opened := &flow{
		key:            key,
		service:        service,
		packetInterval: f.load.PacketInterval,
		nextPacket:     r.now,
		endsAt:         r.now.Add(time.Duration(r.random.ExpFloat64() * float64(f.load.MeanLifetime))),
		number:         f.lastNumber,
	}
	if r.random.Float64() < f.load.QuietShare {
		opened.packetInterval = f.load.QuietPacketInterval
	}
	f.active[key] = opened
	heap.Push(&f.queue, opened)
}

// sendPacket sends the next packet of a flow, or retransmits the one without a
// response.
func (f *Flows) sendPacket(current *flow) {
	r := f.region
	if current.waitingSince.IsZero() {
		current.waitingSince = r.now
		current.retransmitDelay = minRetransmitDelay
		if current.state == flowOpening {
			current.retransmitDelay = openingRetransmitDelay
		}
	}
	if current.state == flowOpen && !r.now.Before(current.endsAt) {
		current.state = flowEnding
		if r.random.Float64() < f.load.UnclosedShare {
			f.closeFlow(current)
			if current.server != nil {
				delete(current.server.conns, current.key)
			}
			return
		}
	}
	if waited := r.now.Sub(current.waitingSince); waited >= responseTimeout {
		f.timeOut(current)
		return
	}
	current.nextPacket = r.now.Add(current.retransmitDelay)
	current.retransmitDelay = min(2*current.retransmitDelay, max(maxRetransmitDelay, current.retransmitDelay))
	f.handleResponse(current, f.exchange(current))
}

func (f *Flows) packetKind(current *flow) zf.PacketKind {
	switch {
	case current.state == flowOpening:
		return zf.PacketOpening
	case current.state == flowOpen:
		return zf.PacketMidFlow
	case f.region.random.Float64() < f.load.ResetShare:
		return zf.PacketReset
	default:
		return zf.PacketClosing
	}
}

// exchange sends one packet and returns the response of the backend server.
func (f *Flows) exchange(current *flow) serverResponse {
	r := f.region
	packet := zf.Packet{
		Flow: current.key,
		Kind: f.packetKind(current),
	}
	verdict := r.routePacket(packet)
	if verdict.Action != zf.ActionForward {
		return serverResponse{}
	}
	server := r.servers.byAddress[verdict.To]
	if r.config.Links.LossRate > 0 && r.random.Float64() < r.config.Links.LossRate {
		return serverResponse{}
	}
	return serverResponse{
		server:   server,
		response: server.handlePacket(packet, current.service.Name, r.now),
	}
}

type serverResponse struct {
	server   *Server
	response response
}

func (f *Flows) handleResponse(current *flow, from serverResponse) {
	r := f.region
	switch {
	case from.response == responseNone:
		return
	case current.state == flowEnding:
		f.closeFlow(current)
	case current.state == flowOpening && from.response == responseOpen:
		current.state = flowOpen
		current.server = from.server
		current.centreOut = r.isOut(from.server.Centre)
		if from.server.OpenedWhileDraining > 0 && len(f.result.Causes) < maxCauses && from.server.State == zf.ServerDraining {
			f.result.Causes = append(f.result.Causes, fmt.Sprintf("at %s: flow %d from %s opened late on draining backend server %s", r.Elapsed(), current.number, current.key.Source, from.server.Name))
		}
		f.result.Opened++
		f.recordResponse(current)
	case from.response == responseReset && current.state == flowOpen:
		f.breakFlow(current, fmt.Sprintf("at %s: flow %d from %s of service %s on backend server %s was reset by backend server %s", r.Elapsed(), current.number, current.key.Source,
			current.service.Name, current.server.Name, from.server.Name))
	case from.response == responseReset:
		f.result.Refused++
		delete(f.active, current.key)
	default:
		f.recordResponse(current)
	}
}

func (f *Flows) recordResponse(current *flow) {
	r := f.region
	if current.state == flowOpen {
		f.result.MaxResponseTime = max(f.result.MaxResponseTime, r.now.Sub(current.waitingSince))
	}
	current.waitingSince = time.Time{}
	current.responses++
	interval := current.packetInterval
	if current.responses <= handshakePackets {
		interval = handshakeInterval
	}
	current.nextPacket = r.now.Add(interval)
	if current.nextPacket.After(current.endsAt) {
		current.nextPacket = current.endsAt
	}
}

func (f *Flows) closeFlow(current *flow) {
	f.result.Closed++
	delete(f.active, current.key)
}

// markCentreOut marks the flows of a data centre that is taken out, so that
// their loss is expected.
func (f *Flows) markCentreOut(centre zf.CentreName) {
	for _, current := range f.active {
		if current.server != nil && current.server.Centre == centre {
			current.centreOut = true
		}
	}
}

// isLossExpected reports whether a flow may end without a fault of the system:
// its data centre was taken out, or its backend server crashed or has closed
// the connection.
func (f *Flows) isLossExpected(current *flow) bool {
	return current.centreOut || !current.server.Running || !current.server.conns[current.key]
}

func (f *Flows) breakFlow(current *flow, cause string) {
	delete(f.active, current.key)
	if f.isLossExpected(current) {
		f.result.Lost++
		return
	}
	delete(current.server.conns, current.key)
	f.result.Broken++
	if len(f.result.Causes) < maxCauses {
		f.result.Causes = append(f.result.Causes, cause)
	}
}

func (f *Flows) timeOut(current *flow) {
	switch {
	case current.state == flowOpening:
		f.result.Refused++
	case current.state == flowEnding:
		f.result.Closed++
	case f.isLossExpected(current):
		f.result.Lost++
	default:
		f.result.Unanswered++
		if len(f.result.Causes) < maxCauses {
			f.result.Causes = append(f.result.Causes,
				fmt.Sprintf("at %s: flow %d on backend server %s received no response", f.region.Elapsed(), current.number, current.server.Name))
		}
	}
	if current.server != nil {
		delete(current.server.conns, current.key)
	}
	delete(f.active, current.key)
}
