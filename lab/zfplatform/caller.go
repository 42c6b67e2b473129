package zfplatform

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Retransmission times and timeouts of callers, as the platform's page defines them.
const (
	firstRetransmission  = 200 * time.Millisecond
	secondRetransmission = 600 * time.Millisecond
	openTimeout          = 1400 * time.Millisecond
	requestRetryInterval = 200 * time.Millisecond
	requestTimeout       = 1500 * time.Millisecond
)

// FlowOutcome is how a flow ended for its caller.
type FlowOutcome uint8

// The outcomes of a flow.
const (
	// FlowDone means every request was answered.
	FlowDone FlowOutcome = iota
	// FlowUnopened means no backend server answered the opening packets.
	FlowUnopened
	// FlowRefused means the system reset the flow before it was open.
	FlowRefused
	// FlowReset means the system reset an open flow.
	FlowReset
	// FlowServerReset means the backend server reset the flow.
	FlowServerReset
	// FlowTimedOut means a request of an open flow was not answered in time.
	FlowTimedOut
	// FlowWrongAnswer means an answer was for another request or backend server,
	// or its checksum was invalid.
	FlowWrongAnswer
)

// FlowResult is the outcome of one flow, with its backend server and times.
type FlowResult struct {
	Route   netip.AddrPort
	Caller  netip.AddrPort
	Outcome FlowOutcome
	Server  string
	Service string
	Opened  time.Time
	Ended   time.Time
	// Answered counts the requests that were answered.
	Answered int
	Detail   string
}

// CallersConfig configures the callers.
type CallersConfig struct {
	// Address is the IP address of all callers and the port that receives their
	// packets.
	Address netip.AddrPort
	// Entries returns the entry instances that currently receive packets.
	Entries func() []netip.AddrPort
}

// Callers opens flows through the system and sends each packet to a random entry
// instance.
type Callers struct {
	config      CallersConfig
	conn        *net.UDPConn
	portCounter atomic.Uint32
	mutex       sync.Mutex
	inboxes     map[netip.AddrPort]chan Packet
}

// StartCallers opens the callers' socket.
func StartCallers(config CallersConfig) (*Callers, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "open UDP socket of callers")
	}
	c := &Callers{
		config:  config,
		conn:    conn,
		inboxes: make(map[netip.AddrPort]chan Packet),
	}
	go c.receivePackets()
	return c, nil
}

// Close closes the socket.
func (c *Callers) Close() error { return errors.Wrap(c.conn.Close(), "close callers") }

func (c *Callers) receivePackets() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet, err := Decode(buffer[:n])
		if err != nil {
			continue // A malformed packet is dropped, as if it were lost.
		}
		c.mutex.Lock()
		inbox := c.inboxes[packet.Destination]
		c.mutex.Unlock()
		select {
		case inbox <- packet:
		default: // The flow has ended, or its inbox is full.
		}
	}
}

// callerFlow is the caller's state of one flow.
type callerFlow struct {
	callers      *Callers
	result       FlowResult
	inbox        chan Packet
	sequence     uint32
	peerSequence uint32
	echo         uint32
}

// RunFlow opens a flow to a route, sends requests with pauses between them, and
// returns its result.
func (c *Callers) RunFlow(route netip.AddrPort, requests int, pause time.Duration) FlowResult {
	port := uint16(1024 + c.portCounter.Add(1)%60000)
	flow := &callerFlow{
		callers: c,
		result: FlowResult{
			Route:  route,
			Caller: netip.AddrPortFrom(c.config.Address.Addr(), port),
		},
		inbox:    make(chan Packet, 64),
		sequence: rand.Uint32(),
	}
	c.mutex.Lock()
	c.inboxes[flow.result.Caller] = flow.inbox
	c.mutex.Unlock()
	flow.run(requests, pause)
	c.mutex.Lock()
	delete(c.inboxes, flow.result.Caller)
	c.mutex.Unlock()
	flow.result.Ended = time.Now()
	return flow.result
}

func (f *callerFlow) run(requests int, pause time.Duration) {
	if !f.open() {
		return
	}
	for n := range requests {
		if !f.request(fmt.Sprintf("%s-%d", f.result.Caller, n)) {
			return
		}
		time.Sleep(pause)
	}
	f.send(Packet{
		Flags:        FlagClose | FlagAcknowledge,
		Sequence:     f.sequence,
		Acknowledged: f.peerSequence,
	})
	f.result.Outcome = FlowDone
}

// send sends a packet to a random entry instance.
func (f *callerFlow) send(p Packet) {
	entries := f.callers.config.Entries()
	if len(entries) == 0 {
		return
	}
	p.Source = f.result.Caller
	p.Destination = f.result.Route
	p.Echo = f.echo
	to := entries[rand.IntN(len(entries))]
	// Errors are ignored: an unanswered packet is sent again.
	_, _ = f.callers.conn.WriteToUDPAddrPort(p.WithChecksum().Encode(), to)
}

// receive waits for a packet until the deadline.
func (f *callerFlow) receive(deadline time.Time) (Packet, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case p := <-f.inbox:
		return p, true
	case <-timer.C:
		return Packet{}, false
	}
}

// fail records the outcome of a failed flow and returns false.
func (f *callerFlow) fail(outcome FlowOutcome, detail string) bool {
	f.result.Outcome = outcome
	f.result.Detail = detail
	return false
}

// endedBy reports whether a packet ends the flow, and records the outcome if so.
func (f *callerFlow) endedBy(p Packet, open bool) bool {
	switch {
	case p.Checksum == 0 && p.Has(FlagReset) && len(p.Data) == 0:
		f.result.Outcome = FlowRefused
		if open {
			f.result.Outcome = FlowReset
		}
	case !p.ChecksumValid():
		f.fail(FlowWrongAnswer, "a packet with an invalid checksum")
	case p.Has(FlagReset):
		f.fail(FlowServerReset, "")
	default:
		return false
	}
	return true
}

func (f *callerFlow) open() bool {
	start := time.Now()
	sendTimes := []time.Duration{0, firstRetransmission, secondRetransmission, openTimeout}
	for n := range sendTimes[:3] {
		f.send(Packet{
			Flags:        FlagOpen,
			Sequence:     f.sequence,
			Acknowledged: uint32(n),
		})
		for {
			p, ok := f.receive(start.Add(sendTimes[n+1]))
			if !ok {
				break
			}
			if f.endedBy(p, false) {
				return false
			}
			if p.Has(FlagOpen) {
				f.sequence++
				f.peerSequence = p.Sequence + 1
				f.echo = p.Echo
				f.result.Opened = time.Now()
				return true
			}
		}
	}
	return f.fail(FlowUnopened, "")
}

// request sends a request and waits for its answer, which must be complete and
// come from the backend server of the flow.
func (f *callerFlow) request(id string) bool {
	deadline := time.Now().Add(requestTimeout)
	for time.Now().Before(deadline) {
		f.send(Packet{
			Flags:        FlagAcknowledge,
			Sequence:     f.sequence,
			Acknowledged: f.peerSequence,
			Data:         []byte(id),
		})
		retryAt := time.Now().Add(requestRetryInterval)
		for {
			p, ok := f.receive(retryAt)
			if !ok {
				break
			}
			if f.endedBy(p, true) {
				return false
			}
			if len(p.Data) > 0 && bytes.HasSuffix(p.Data, []byte(id)) {
				return f.acceptAnswer(p, id)
			}
		}
	}
	return f.fail(FlowTimedOut, "")
}

func (f *callerFlow) acceptAnswer(p Packet, id string) bool {
	fields := strings.Fields(string(p.Data))
	if len(fields) != 3 || fields[2] != id {
		return f.fail(FlowWrongAnswer, "an incomplete answer: "+string(p.Data))
	}
	if f.result.Server != "" && f.result.Server != fields[0] {
		return f.fail(FlowWrongAnswer, "answers from "+f.result.Server+" and "+fields[0])
	}
	f.result.Server = fields[0]
	f.result.Service = fields[1]
	f.result.Answered++
	f.sequence += uint32(len(id))
	f.peerSequence += uint32(len(p.Data))
	f.echo = p.Echo
	return true
}
