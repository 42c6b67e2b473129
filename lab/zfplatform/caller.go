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

// The times of callers, as the platform's page gives them.
const (
	firstCopy    = 200 * time.Millisecond
	secondCopy   = 600 * time.Millisecond
	openTimeout  = 1400 * time.Millisecond
	repeatEvery  = 200 * time.Millisecond
	callDeadline = 1500 * time.Millisecond
)

// FlowOutcome tells how a flow ended for its caller.
type FlowOutcome uint8

// The ends of a flow.
const (
	// FlowDone tells that every request was answered.
	FlowDone FlowOutcome = iota
	// FlowUnopened tells that no backend server answered the opening packets.
	FlowUnopened
	// FlowRefused tells that the system reset the flow before it was open.
	FlowRefused
	// FlowReset tells that the system reset an open flow.
	FlowReset
	// FlowServerReset tells that the backend server reset the flow.
	FlowServerReset
	// FlowTimedOut tells that an open flow got no answer any more.
	FlowTimedOut
	// FlowWrongAnswer tells that an answer was not the caller's, or not genuine.
	FlowWrongAnswer
)

// FlowResult is what became of one flow.
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

// CallersConfig holds what callers are built from.
type CallersConfig struct {
	// Address is the address of all callers; its port takes their packets.
	Address netip.AddrPort
	// Entries returns the entry instances that get packets now.
	Entries func() []netip.AddrPort
}

// Callers open flows through the system. Each packet goes to any entry instance.
type Callers struct {
	config CallersConfig
	conn   *net.UDPConn
	next   atomic.Uint32
	mutex  sync.Mutex
	inbox  map[netip.AddrPort]chan Packet
}

// StartCallers opens the callers' socket.
func StartCallers(config CallersConfig) (*Callers, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen as callers")
	}
	c := &Callers{
		config: config,
		conn:   conn,
		inbox:  make(map[netip.AddrPort]chan Packet),
	}
	go c.read()
	return c, nil
}

// Close closes the socket.
func (c *Callers) Close() error { return errors.Wrap(c.conn.Close(), "close callers") }

func (c *Callers) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet, err := Decode(buffer[:n])
		if err != nil {
			continue // Nobody's packet: its flow goes without it.
		}
		c.mutex.Lock()
		inbox := c.inbox[packet.Destination]
		c.mutex.Unlock()
		select {
		case inbox <- packet:
		default: // The flow is over, or has more packets than it can look at.
		}
	}
}

// call is one flow as its caller holds it.
type call struct {
	callers  *Callers
	flow     FlowResult
	inbox    chan Packet
	sequence uint32
	peer     uint32
	echo     uint32
}

// RunFlow opens a flow to a route, sends requests with pauses between them, and
// returns what became of it.
func (c *Callers) RunFlow(route netip.AddrPort, requests int, pause time.Duration) FlowResult {
	port := uint16(1024 + c.next.Add(1)%60000)
	k := &call{
		callers: c,
		flow: FlowResult{
			Route:  route,
			Caller: netip.AddrPortFrom(c.config.Address.Addr(), port),
		},
		inbox:    make(chan Packet, 64),
		sequence: rand.Uint32(),
	}
	c.mutex.Lock()
	c.inbox[k.flow.Caller] = k.inbox
	c.mutex.Unlock()
	k.run(requests, pause)
	c.mutex.Lock()
	delete(c.inbox, k.flow.Caller)
	c.mutex.Unlock()
	k.flow.Ended = time.Now()
	return k.flow
}

func (k *call) run(requests int, pause time.Duration) {
	if !k.open() {
		return
	}
	for n := range requests {
		if !k.request(fmt.Sprintf("%s-%d", k.flow.Caller, n)) {
			return
		}
		time.Sleep(pause)
	}
	k.send(Packet{
		Flags:        FlagClose | FlagAcknowledge,
		Sequence:     k.sequence,
		Acknowledged: k.peer,
	})
	k.flow.Outcome = FlowDone
}

// send sends a packet to some entry instance.
func (k *call) send(p Packet) {
	entries := k.callers.config.Entries()
	if len(entries) == 0 {
		return
	}
	p.Source = k.flow.Caller
	p.Destination = k.flow.Route
	p.Echo = k.echo
	to := entries[rand.IntN(len(entries))]
	// What gets lost is sent again.
	_, _ = k.callers.conn.WriteToUDPAddrPort(p.WithChecksum().Encode(), to)
}

// wait waits for a packet until a moment.
func (k *call) wait(until time.Time) (Packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p := <-k.inbox:
		return p, true
	case <-timer.C:
		return Packet{}, false
	}
}

// end notes the end of the flow and returns false.
func (k *call) end(end FlowOutcome, note string) bool {
	k.flow.Outcome = end
	k.flow.Detail = note
	return false
}

// ended notes the end of the flow if a packet tells it.
func (k *call) ended(p Packet, open bool) bool {
	switch {
	case p.Checksum == 0 && p.Has(FlagReset) && len(p.Data) == 0:
		k.flow.Outcome = FlowRefused
		if open {
			k.flow.Outcome = FlowReset
		}
	case !p.ChecksumValid():
		k.end(FlowWrongAnswer, "a packet that its sender didn't write so")
	case p.Has(FlagReset):
		k.end(FlowServerReset, "")
	default:
		return false
	}
	return true
}

func (k *call) open() bool {
	start := time.Now()
	copies := []time.Duration{0, firstCopy, secondCopy, openTimeout}
	for n := range copies[:3] {
		k.send(Packet{
			Flags:        FlagOpen,
			Sequence:     k.sequence,
			Acknowledged: uint32(n),
		})
		for {
			p, ok := k.wait(start.Add(copies[n+1]))
			if !ok {
				break
			}
			if k.ended(p, false) {
				return false
			}
			if p.Has(FlagOpen) {
				k.sequence++
				k.peer = p.Sequence + 1
				k.echo = p.Echo
				k.flow.Opened = time.Now()
				return true
			}
		}
	}
	return k.end(FlowUnopened, "")
}

// request sends a request and waits for its answer, which has to be whole, and
// from the backend server that the flow is with.
func (k *call) request(id string) bool {
	deadline := time.Now().Add(callDeadline)
	for time.Now().Before(deadline) {
		k.send(Packet{
			Flags:        FlagAcknowledge,
			Sequence:     k.sequence,
			Acknowledged: k.peer,
			Data:         []byte(id),
		})
		next := time.Now().Add(repeatEvery)
		for {
			p, ok := k.wait(next)
			if !ok {
				break
			}
			if k.ended(p, true) {
				return false
			}
			if len(p.Data) > 0 && bytes.HasSuffix(p.Data, []byte(id)) {
				return k.answered(p, id)
			}
		}
	}
	return k.end(FlowTimedOut, "")
}

func (k *call) answered(p Packet, id string) bool {
	words := strings.Fields(string(p.Data))
	if len(words) != 3 || words[2] != id {
		return k.end(FlowWrongAnswer, "an answer that is not whole: "+string(p.Data))
	}
	if k.flow.Server != "" && k.flow.Server != words[0] {
		return k.end(FlowWrongAnswer, "answers of "+k.flow.Server+" and "+words[0])
	}
	k.flow.Server = words[0]
	k.flow.Service = words[1]
	k.flow.Answered++
	k.sequence += uint32(len(id))
	k.peer += uint32(len(p.Data))
	k.echo = p.Echo
	return true
}
