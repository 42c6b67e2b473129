package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// opening is an opening packet that a host took.
type opening struct {
	host   *host
	from   netip.AddrPort
	sentAt time.Time
	at     time.Time
}

// run is a request that a host ran.
type run struct {
	host *host
	id   string
	dst  netip.AddrPort
	at   time.Time
}

// host is a stand-in of a host: it holds flows, answers requests and sends heartbeats.
type host struct {
	lab     *lab
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	born    time.Time
	socket  *net.UDPConn
	// beatEvery and phase are those of its heartbeats.
	beatEvery time.Duration
	phase     time.Duration
	stopped   chan struct{}

	mutex     sync.Mutex
	state     string
	coldUntil time.Time
	seq       uint64
	receiver  string
	// bears is the number of requests a second that it processes while it is cold, or 0 if
	// that makes no difference. busyUntil is when it will have processed those taken so far.
	bears     float64
	busyUntil time.Time
	flows     map[netip.AddrPort]*hostFlow
	openings  []opening
	runs      []run
}

type hostFlow struct {
	next, received uint32
	open           bool
	// answerAt is when the last request will have been processed.
	answerAt time.Time
	answered bool
}

// addHost starts a host.
func (l *lab) addHost(service, zone string) (*host, error) {
	n := len(l.hosts) + 1
	number := uint64(rand.Uint32() | 1)
	h := &host{
		lab: l, id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone,
		address: netip.AddrPortFrom(l.ip(kindHost, byte(n)), l.ports.traffic), born: time.Now(),
		beatEvery: l.bounds.heartbeat, phase: time.Duration(rand.Int64N(int64(l.bounds.heartbeat))),
		state: "ready", flows: make(map[netip.AddrPort]*hostFlow), stopped: make(chan struct{}),
	}
	var err error
	if h.socket, err = listenUDP(h.address); err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	l.note("host %s of %s in %s at %s", h.id, service, zone, h.address)
	go h.receive()
	go h.beat()
	return h, nil
}

func (h *host) close() {
	select {
	case <-h.stopped:
	default:
		close(h.stopped)
		_ = h.socket.Close()
	}
}

// receive handles packets until the socket is closed.
func (h *host) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		at := time.Now()
		if n < 8+headBytes {
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != h.number {
			continue // Not the intended host: it sends nothing.
		}
		p, genuine := decode(append([]byte{}, buffer[8:n]...))
		if !genuine {
			h.lab.breaks("UNASKED: host %s got a packet that its sender didn't write so", h.id)
			continue
		}
		h.handle(p, at)
	}
}

func (h *host) handle(p packet, at time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	flow := h.flows[p.from]
	switch {
	case p.flags&flagRST != 0:
		delete(h.flows, p.from)
	case p.flags&flagSYN != 0:
		if flow == nil {
			flow = &hostFlow{next: rand.Uint32(), received: p.seq + 1}
			h.flows[p.from] = flow
			h.openings = append(h.openings, opening{host: h, from: p.from, sentAt: h.lab.router.sentAt(p.from), at: at})
			flow.next++
		}
		h.send(p, packet{flags: flagSYN | flagACK, seq: flow.next - 1, ack: p.seq + 1, echo: p.echo})
	case flow == nil || p.ack != 0 && !flow.open && p.ack != flow.next:
		h.send(p, packet{flags: flagRST, seq: p.ack, ack: p.seq})
	case p.flags&flagFIN != 0:
		delete(h.flows, p.from)
		h.send(p, packet{flags: flagFIN | flagACK, seq: flow.next, ack: p.seq + 1, echo: p.echo})
	default:
		flow.open = true
		if len(p.data) == 0 {
			return
		}
		if p.seq == flow.received {
			flow.answered = false
			flow.received += uint32(len(p.data))
			h.runs = append(h.runs, run{host: h, id: string(p.data), dst: p.to, at: at})
			flow.answerAt = h.process(at)
			time.AfterFunc(time.Until(flow.answerAt), func() { h.answer(p, flow) })
			return
		}
		if flow.answered { // A retransmission: the answer was lost.
			answer := h.answerTo(p)
			h.send(p, packet{flags: flagACK, seq: flow.next - uint32(len(answer)), ack: flow.received, echo: p.echo, data: answer})
		}
	}
}

// process returns when a request that arrives now will have been processed.
func (h *host) process(now time.Time) time.Time {
	if h.bears == 0 || now.After(h.coldUntil) {
		return now
	}
	if h.busyUntil.Before(now) {
		h.busyUntil = now
	}
	h.busyUntil = h.busyUntil.Add(time.Duration(float64(time.Second) / h.bears))
	if h.busyUntil.After(h.coldUntil) {
		return h.coldUntil // It is warm then and works the rest off at once.
	}
	return h.busyUntil
}

func (h *host) answerTo(p packet) []byte {
	return []byte("answer of " + h.service + " " + h.id + " to " + string(p.data))
}

// answer sends the answer to a request.
func (h *host) answer(p packet, flow *hostFlow) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	answer := h.answerTo(p)
	h.send(p, packet{flags: flagACK, seq: flow.next, ack: flow.received, echo: p.echo, data: answer})
	flow.next += uint32(len(answer))
	flow.answered = true
}

// send sends a packet to the client of p.
func (h *host) send(p, reply packet) {
	reply.from, reply.to = p.to, p.from
	_, _ = h.socket.WriteToUDPAddrPort(reply.encode(), netip.AddrPortFrom(p.from.Addr(), h.lab.ports.traffic))
}

// beat sends heartbeats until the host ends.
func (h *host) beat() {
	for {
		if h.sendHeartbeat() == nil {
			time.Sleep(h.phase)
			break
		}
		time.Sleep(200 * time.Millisecond) // The system is still starting.
	}
	for {
		began := time.Now()
		_ = h.sendHeartbeat()
		select {
		case <-h.stopped:
			return
		case <-time.After(max(h.beatEvery-time.Since(began), 10*time.Millisecond)):
		}
	}
}

// body returns the next heartbeat.
func (h *host) body() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.seq++
	cold := max(time.Until(h.coldUntil).Milliseconds(), 0)
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":2,"State":%q,"ColdRemainingMs":%d,"Seq":%d,"born":%d}`,
		h.service, h.address, h.zone, h.state, cold, h.seq, h.born.UnixMilli())
}

// sendHeartbeat sends one heartbeat to the address that the last answer named, or to the
// control instances in turn, until one acknowledges it.
func (h *host) sendHeartbeat() error {
	body := h.body()
	h.mutex.Lock()
	addresses := []string{h.receiver}
	h.mutex.Unlock()
	for _, p := range h.lab.keepers {
		if p.zone == h.zone {
			addresses = append(addresses, netip.AddrPortFrom(p.ip, h.lab.ports.calls).String())
		}
	}
	for _, p := range h.lab.keepers {
		addresses = append(addresses, netip.AddrPortFrom(p.ip, h.lab.ports.calls).String())
	}
	for _, address := range addresses {
		if address == "" {
			continue
		}
		status, answer, err := call("POST", "http://"+address+"/instances/"+h.id+"/heartbeat", []byte(body))
		if err != nil || status/100 != 2 {
			continue
		}
		var reply struct{ HeartbeatAddress string }
		_ = json.Unmarshal(answer, &reply)
		h.mutex.Lock()
		h.receiver = reply.HeartbeatAddress
		h.mutex.Unlock()
		return nil
	}
	return fmt.Errorf("no heartbeat of %s acknowledged", h.id)
}

// drainNow announces that the host drains and returns when that was acknowledged.
func (h *host) drainNow() (time.Time, error) {
	h.mutex.Lock()
	h.state = "draining"
	h.mutex.Unlock()
	err := h.sendHeartbeat()
	at := time.Now()
	h.lab.note("host %s: draining acknowledged: %v", h.id, err == nil)
	return at, err
}

// coldFor makes the host cold for a time.
func (h *host) coldFor(d time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.coldUntil = time.Now().Add(d)
}

// taken returns the openings and runs so far.
func (h *host) taken() ([]opening, []run) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]opening{}, h.openings...), append([]run{}, h.runs...)
}

// routeOf returns the address of a route of this run.
func (l *lab) routeOf(n byte) netip.AddrPort { return netip.AddrPortFrom(l.ip(kindRoute, n), 8443) }

func pathPrefix(port uint16) string { return "/" + strconv.Itoa(int(port)) + "/" }

// configurationOf returns a configuration with one route for each service, in order.
func (l *lab) configurationOf(version int, coldPerS float64, services ...string) string {
	var routes, entries []string
	for i, service := range services {
		if service == "" {
			continue
		}
		route := l.routeOf(byte(i + 1))
		routes = append(routes, fmt.Sprintf(`{"Name":"r-%d","Host":%q,"PathPrefix":%q,"Kind":"idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":2,"Service":%q,"MaxAttempts":2}`,
			i+1, route.Addr(), pathPrefix(route.Port()), service))
		entries = append(entries, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":2000,"Protocol":"h1","Tls":false,"ColdStartS":2.0,"ColdPerS":%g}`, service, coldPerS))
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(entries, ","))
}
