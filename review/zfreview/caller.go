package zfreview

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"zinniafront/lab/zfplatform"
)

const (
	routeHost      = "198.18.0.1"
	firstRoutePort = 8001
	maxInterval    = 1600 * time.Millisecond
	retransmission = 200 * time.Millisecond
)

// RouteAddress returns the address of the route to service i of NewConfiguration.
func RouteAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(routeHost), uint16(firstRoutePort+i))
}

// Callers is the socket of all callers. The router sends all packets of a flow to one
// entry instance, as it does while the rotation does not change.
type Callers struct {
	deployment *Deployment
	ip         netip.Addr
	conn       *net.UDPConn
	mutex      sync.Mutex
	flows      map[netip.AddrPort]chan zfplatform.Packet
	nextPort   uint16
}

// StartCallers opens the callers' socket.
func (d *Deployment) StartCallers() (*Callers, error) {
	c := &Callers{
		deployment: d,
		ip:         d.ip(callerHost),
		flows:      make(map[netip.AddrPort]chan zfplatform.Packet),
		nextPort:   30000,
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.address(c.ip, offsetTraffic)))
	if err != nil {
		return nil, errors.Wrap(err, "open socket of callers")
	}
	c.conn = conn
	go c.receive()
	return c, nil
}

// Close closes the socket.
func (c *Callers) Close() { _ = c.conn.Close() }

func (c *Callers) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := zfplatform.Decode(buffer[:n])
		if err != nil {
			continue
		}
		c.mutex.Lock()
		inbox := c.flows[p.Destination]
		c.mutex.Unlock()
		select {
		case inbox <- p:
		default: // No such flow, or its inbox is full.
		}
	}
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes.
const (
	Answered    Outcome = "answered"
	SystemReset Outcome = "reset by the system"
	ServerReset Outcome = "reset by the server"
	TimedOut    Outcome = "timed out"
	Unopened    Outcome = "not opened"
	WrongAnswer Outcome = "wrong answer"
)

// Flow is a flow of a caller.
type Flow struct {
	callers *Callers
	entry   *Process
	local   netip.AddrPort
	route   netip.AddrPort
	inbox   chan zfplatform.Packet
	// sequence is the caller's next sequence number, expected that of the server.
	sequence uint32
	expected uint32
	echo     uint32
	count    int
	// OpenedAt is when the first opening packet was sent.
	OpenedAt time.Time
}

// Open opens a flow to a route through an entry instance.
func (c *Callers) Open(entry *Process, route netip.AddrPort) (*Flow, Outcome) {
	f := &Flow{
		callers:  c,
		entry:    entry,
		route:    route,
		inbox:    make(chan zfplatform.Packet, 64),
		sequence: rand.Uint32(),
		OpenedAt: time.Now(),
	}
	c.mutex.Lock()
	c.nextPort++
	f.local = netip.AddrPortFrom(c.ip, c.nextPort)
	c.flows[f.local] = f.inbox
	c.mutex.Unlock()
	times := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for n := range 3 {
		f.send(zfplatform.Packet{
			Flags:        zfplatform.FlagOpen,
			Sequence:     f.sequence,
			Acknowledged: uint32(n),
		})
		for {
			p, ok := f.receive(f.OpenedAt.Add(times[n+1]))
			if !ok {
				break
			}
			if outcome, ended := endedBy(p); ended {
				f.forget()
				return nil, outcome
			}
			if p.Has(zfplatform.FlagOpen) {
				f.sequence++
				f.expected = p.Sequence + 1
				f.echo = p.Echo
				f.send(zfplatform.Packet{
					Flags:        zfplatform.FlagAcknowledge,
					Sequence:     f.sequence,
					Acknowledged: f.expected,
				})
				return f, Answered
			}
		}
	}
	f.forget()
	return nil, Unopened
}

func (f *Flow) forget() {
	f.callers.mutex.Lock()
	delete(f.callers.flows, f.local)
	f.callers.mutex.Unlock()
}

func (f *Flow) send(p zfplatform.Packet) {
	p.Source = f.local
	p.Destination = f.route
	p.Echo = f.echo
	to := f.callers.deployment.address(f.entry.ip, offsetTraffic)
	_, _ = f.callers.conn.WriteToUDPAddrPort(p.WithChecksum().Encode(), to) // A lost packet is retransmitted.
}

func (f *Flow) receive(deadline time.Time) (zfplatform.Packet, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case p := <-f.inbox:
		return p, true
	case <-timer.C:
		return zfplatform.Packet{}, false
	}
}

// endedBy reports whether a packet ends a flow. A reset of the system has the checksum 0.
func endedBy(p zfplatform.Packet) (Outcome, bool) {
	switch {
	case p.Checksum == 0 && p.Has(zfplatform.FlagReset) && len(p.Data) == 0:
		return SystemReset, true
	case !p.ChecksumValid():
		return WrongAnswer, true
	case p.Has(zfplatform.FlagReset):
		return ServerReset, true
	default:
		return "", false
	}
}

// Caller returns the flow's caller.
func (f *Flow) Caller() netip.AddrPort { return f.local }

// Request sends a request and waits for its answer until the deadline. It returns the
// stamp of the server that answered.
func (f *Flow) Request(timeout time.Duration) (Outcome, string) {
	f.count++
	id := fmt.Sprintf("q-%d-%d", f.local.Port(), f.count)
	data := []byte(fmt.Sprintf("POST /orders HTTP/1.1\r\nX-Zinniafront-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	record := f.callers.deployment.config.Record
	record.Printf("caller sends %s through %s", id, f.entry.name)
	outcome, stamp := f.exchange(data, id, time.Now().Add(timeout))
	record.Printf("caller: %s %s %s", id, outcome, stamp)
	if outcome != Answered {
		f.forget()
	}
	return outcome, stamp
}

func (f *Flow) exchange(data []byte, id string, deadline time.Time) (Outcome, string) {
	interval := retransmission
	acknowledged := false
	retryAt := time.Now()
	for time.Now().Before(deadline) {
		if !acknowledged && !time.Now().Before(retryAt) {
			f.send(zfplatform.Packet{
				Flags:        zfplatform.FlagAcknowledge,
				Sequence:     f.sequence,
				Acknowledged: f.expected,
				Data:         data,
			})
			retryAt = time.Now().Add(interval)
			interval = min(2*interval, maxInterval)
		}
		wait := retryAt
		if acknowledged || deadline.Before(wait) {
			wait = deadline
		}
		p, ok := f.receive(wait)
		if !ok {
			continue
		}
		if outcome, ended := endedBy(p); ended {
			return outcome, ""
		}
		if p.Has(zfplatform.FlagOpen) {
			continue // A retransmission of the server's half of the handshake.
		}
		acknowledged = acknowledged || p.Acknowledged == f.sequence+uint32(len(data))
		if len(p.Data) == 0 || p.Sequence != f.expected {
			continue
		}
		return f.accept(p, data, id)
	}
	return TimedOut, ""
}

// accept checks an answer and acknowledges it.
func (f *Flow) accept(p zfplatform.Packet, data []byte, id string) (Outcome, string) {
	f.sequence += uint32(len(data))
	f.expected += uint32(len(p.Data))
	f.echo = p.Echo
	f.send(zfplatform.Packet{
		Flags:        zfplatform.FlagAcknowledge,
		Sequence:     f.sequence,
		Acknowledged: f.expected,
	})
	_, stamp, _ := strings.Cut(string(p.Data), "X-Zinniafront-Server-Stamp: ")
	stamp, _, _ = strings.Cut(stamp, "\r\n")
	if string(p.Data) != response(stamp, id) {
		return WrongAnswer, stamp
	}
	return Answered, stamp
}

// Close ends the flow.
func (f *Flow) Close() {
	f.send(zfplatform.Packet{
		Flags:        zfplatform.FlagClose | zfplatform.FlagAcknowledge,
		Sequence:     f.sequence,
		Acknowledged: f.expected,
	})
	f.forget()
}
