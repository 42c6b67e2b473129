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
	// MeanLifetime is the mean lifetime, PacketInterval the time between two packets.
	MeanLifetime   time.Duration
	PacketInterval time.Duration
	// QuietShare is the share of flows that send a packet every QuietPacketInterval only.
	QuietShare          float64
	QuietPacketInterval time.Duration
	// UnclosedShare is the share of flows that end without a FIN.
	UnclosedShare float64
	// ResetShare is the share of flows that end with a RST.
	ResetShare float64
	// SourcePorts bounds the source ports, so that five-tuples are used again.
	SourcePorts int
}

// Result counts what became of flows.
type Result struct {
	Opened  int
	Refused int
	Closed  int
	// Broken counts established flows that were reset by another backend
	// server, Unanswered those that got no answer for silentLimit.
	Broken     int
	Unanswered int
	// Lost counts those whose backend server died or whose data centre was out.
	Lost int
	// Causes tells of the first broken flows.
	Causes []string
	// MaxResponseTime is the longest time that an open flow waited for an answer.
	MaxResponseTime time.Duration
}

type flowState uint8

const (
	flowOpening flowState = iota
	flowOpen
	flowEnding
)

type flow struct {
	key     zf.Flow
	service *zfbundle.Service
	state   flowState
	server  *Server
	every   time.Duration
	ends    time.Time
	next    time.Time
	waiting time.Time
	pause   time.Duration
	number  int
	answers int
	// released tells that the flow's data centre was taken out.
	released bool
}

// Flows is the table of the callers' flows.
type Flows struct {
	region *Region
	load   Load
	queue  flowQueue
	open   map[zf.Flow]*flow
	due    float64
	number int
	result Result
}

func newFlows(region *Region) *Flows {
	return &Flows{
		region: region,
		open:   make(map[zf.Flow]*flow),
	}
}

// flowQueue holds flows by their next packet.
type flowQueue []*flow

func (q flowQueue) Len() int { return len(q) }

func (q flowQueue) Less(i, j int) bool {
	if q[i].next.Equal(q[j].next) {
		return q[i].number < q[j].number
	}
	return q[i].next.Before(q[j].next)
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
	f.due = 0
}

// Result returns what became of the flows.
func (f *Flows) Result() Result { return f.result }

// OpenCount returns the number of flows that are not over.
func (f *Flows) OpenCount() int { return len(f.open) }

const (
	// resendFirst and resendMost bound the time between two tries of a packet.
	resendFirst = 250 * time.Millisecond
	resendMost  = 2 * time.Second
	// openingFirst is the time until an opening packet is sent again.
	openingFirst = time.Second
	// silentLimit is how long an established flow waits for an answer.
	silentLimit = 15 * time.Second
	// A new flow sends its first packets in quick succession.
	handshake      = 3
	handshakePause = 20 * time.Millisecond
	// mostCauses bounds the causes that are kept.
	mostCauses = 10
)

func (f *Flows) tick() {
	r := f.region
	f.due += f.load.FlowRate * (r.config.TickInterval / slicesPerStep).Seconds()
	for ; f.due >= 1; f.due-- {
		f.start()
	}
	for len(f.queue) > 0 && !f.queue[0].next.After(r.now) {
		next := heap.Pop(&f.queue).(*flow)
		if f.open[next.key] != next {
			continue
		}
		f.send(next)
		if f.open[next.key] == next {
			heap.Push(&f.queue, next)
		}
	}
}

func (f *Flows) start() {
	r := f.region
	f.number++
	ports := f.load.SourcePorts
	if ports == 0 {
		ports = 1 << 30
	}
	n := f.number % ports
	services := r.state.Bundle.Services
	service := &services[f.number%len(services)]
	key := zf.Flow{
		Protocol: service.Protocol,
		Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128 | byte(n>>24), byte(n >> 16), byte(n >> 8)}),
			uint16(1024+n&255)),
		Destination: service.Frontends()[0],
	}
	if f.open[key] != nil {
		return
	}
	next := &flow{
		key:     key,
		service: service,
		every:   f.load.PacketInterval,
		next:    r.now,
		ends:    r.now.Add(time.Duration(r.random.ExpFloat64() * float64(f.load.MeanLifetime))),
		number:  f.number,
	}
	if r.random.Float64() < f.load.QuietShare {
		next.every = f.load.QuietPacketInterval
	}
	f.open[key] = next
	heap.Push(&f.queue, next)
}

// send sends a flow's next packet, or repeats the one without an answer.
func (f *Flows) send(next *flow) {
	r := f.region
	if next.waiting.IsZero() {
		next.waiting = r.now
		next.pause = resendFirst
		if next.state == flowOpening {
			next.pause = openingFirst
		}
	}
	if next.state == flowOpen && !r.now.Before(next.ends) {
		next.state = flowEnding
		if r.random.Float64() < f.load.UnclosedShare {
			f.end(next)
			if next.server != nil {
				delete(next.server.conns, next.key)
			}
			return
		}
	}
	if waited := r.now.Sub(next.waiting); waited >= silentLimit {
		f.giveUp(next)
		return
	}
	next.next = r.now.Add(next.pause)
	next.pause = min(2*next.pause, max(resendMost, next.pause))
	f.judge(next, f.travel(next))
}

func (f *Flows) kind(next *flow) zf.PacketKind {
	switch {
	case next.state == flowOpening:
		return zf.PacketOpening
	case next.state == flowOpen:
		return zf.PacketMidFlow
	case f.region.random.Float64() < f.load.ResetShare:
		return zf.PacketReset
	default:
		return zf.PacketClosing
	}
}

// travel sends one packet and returns what the backend server answers.
func (f *Flows) travel(next *flow) answerOf {
	r := f.region
	packet := zf.Packet{
		Flow: next.key,
		Kind: f.kind(next),
	}
	verdict := r.packet(packet)
	if verdict.Action != zf.ActionForward {
		return answerOf{}
	}
	server := r.servers.index[verdict.To]
	if r.config.Links.LossRate > 0 && r.random.Float64() < r.config.Links.LossRate {
		return answerOf{}
	}
	return answerOf{
		server: server,
		answer: server.take(packet, next.service.Name, r.now),
	}
}

type answerOf struct {
	server *Server
	answer answer
}

func (f *Flows) judge(next *flow, got answerOf) {
	r := f.region
	switch {
	case got.answer == answerNone:
		return
	case next.state == flowEnding:
		f.end(next)
	case next.state == flowOpening && got.answer == answerOpen:
		next.state = flowOpen
		next.server = got.server
		next.released = r.isOut(got.server.Centre)
		if got.server.OpenedWhileDraining > 0 && len(f.result.Causes) < mostCauses && got.server.State == zf.ServerDraining {
			f.result.Causes = append(f.result.Causes, fmt.Sprintf("at %s flow %d %s late at %s", r.Elapsed(), next.number, next.key.Source, got.server.Name))
		}
		f.result.Opened++
		f.answered(next)
	case got.answer == answerReset && next.state == flowOpen:
		f.fail(next, fmt.Sprintf("at %s flow %d %s of %s with %s reset by %s", r.Elapsed(), next.number, next.key.Source,
			next.service.Name, next.server.Name, got.server.Name))
	case got.answer == answerReset:
		f.result.Refused++
		delete(f.open, next.key)
	default:
		f.answered(next)
	}
}

func (f *Flows) answered(next *flow) {
	r := f.region
	if next.state == flowOpen {
		f.result.MaxResponseTime = max(f.result.MaxResponseTime, r.now.Sub(next.waiting))
	}
	next.waiting = time.Time{}
	next.answers++
	pause := next.every
	if next.answers <= handshake {
		pause = handshakePause
	}
	next.next = r.now.Add(pause)
	if next.next.After(next.ends) {
		next.next = next.ends
	}
}

func (f *Flows) end(next *flow) {
	f.result.Closed++
	delete(f.open, next.key)
}

// release gives up the flows of a data centre that is taken out.
func (f *Flows) release(centre zf.CentreName) {
	for _, next := range f.open {
		if next.server != nil && next.server.Centre == centre {
			next.released = true
		}
	}
}

// excused reports whether a flow may end by no fault of the system.
func (f *Flows) excused(next *flow) bool {
	return next.released || !next.server.Running || !next.server.conns[next.key]
}

func (f *Flows) fail(next *flow, cause string) {
	delete(f.open, next.key)
	if f.excused(next) {
		f.result.Lost++
		return
	}
	delete(next.server.conns, next.key)
	f.result.Broken++
	if len(f.result.Causes) < mostCauses {
		f.result.Causes = append(f.result.Causes, cause)
	}
}

func (f *Flows) giveUp(next *flow) {
	switch {
	case next.state == flowOpening:
		f.result.Refused++
	case next.state == flowEnding:
		f.result.Closed++
	case f.excused(next):
		f.result.Lost++
	default:
		f.result.Unanswered++
		if len(f.result.Causes) < mostCauses {
			f.result.Causes = append(f.result.Causes,
				fmt.Sprintf("at %s flow %d with %s got no answer", f.region.Elapsed(), next.number, next.server.Name))
		}
	}
	if next.server != nil {
		delete(next.server.conns, next.key)
	}
	delete(f.open, next.key)
}
