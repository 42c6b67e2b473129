package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// router forwards the packets of clients to the entry instances in rotation.
type router struct {
	lab *lab
	// loss is the share of datagrams that are lost on their way to an entry instance.
	loss float64
	// deadline is how long clients wait for an answer.
	deadline time.Duration
	// zone is that of the clients, or empty: their packets go to its entry instances only.
	zone string

	mutex    sync.Mutex
	out      *net.UDPConn
	clients  map[netip.Addr]*net.UDPConn
	flows    map[netip.AddrPort]*clientFlow
	nextPort uint16
	rotation []*process
	opened   map[netip.AddrPort]time.Time
	stop     chan struct{}
}

func newRouter(l *lab) *router {
	return &router{
		lab: l, clients: make(map[netip.Addr]*net.UDPConn), flows: make(map[netip.AddrPort]*clientFlow),
		opened: make(map[netip.AddrPort]time.Time), nextPort: 1024, deadline: time.Second, stop: make(chan struct{}),
	}
}

// clientCount is the number of clients' addresses.
const clientCount = 24

// begin opens the sockets of the clients and begins the readiness checks.
func (r *router) begin() error {
	var err error
	if r.out, err = listenUDP(netip.AddrPortFrom(r.lab.ip(kindClient, 250), 0)); err != nil {
		return err
	}
	for i := range clientCount {
		ip := r.lab.ip(kindClient, byte(i+1))
		socket, err := listenUDP(netip.AddrPortFrom(ip, r.lab.ports.traffic))
		if err != nil {
			return err
		}
		r.clients[ip] = socket
		go r.receive(socket)
	}
	r.check(make(map[*process]int))
	go func() {
		misses := make(map[*process]int)
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(500 * time.Millisecond):
				r.check(misses)
			}
		}
	}()
	return nil
}

// check plays one round of readiness checks.
func (r *router) check(misses map[*process]int) {
	var rotation []*process
	r.mutex.Lock()
	zone := r.zone
	r.mutex.Unlock()
	for _, p := range r.lab.currentEntries() {
		if zone != "" && p.zone != zone {
			continue
		}
		if r.lab.ready(p) {
			misses[p] = 0
		} else if misses[p]++; misses[p] == 1 && !r.in(p) {
			misses[p] = 2
		}
		if misses[p] < 2 {
			rotation = append(rotation, p)
		}
	}
	r.mutex.Lock()
	r.rotation = rotation
	r.mutex.Unlock()
}

// setZone sets the zone of the clients.
func (r *router) setZone(zone string) {
	r.mutex.Lock()
	r.zone = zone
	r.mutex.Unlock()
}

func (r *router) in(p *process) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, other := range r.rotation {
		if other == p {
			return true
		}
	}
	return false
}

func (r *router) close() {
	close(r.stop)
	for _, socket := range r.clients {
		_ = socket.Close()
	}
	if r.out != nil {
		_ = r.out.Close()
	}
}

// sentAt returns when the first opening packet of a flow was sent.
func (r *router) sentAt(from netip.AddrPort) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.opened[from]
}

// forward sends a client's packet to the entry instance that the hash selects.
func (r *router) forward(p packet) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p.flags&flagSYN != 0 && p.ack == 0 {
		r.opened[p.from] = time.Now()
	}
	var best *process
	var highest uint32
	for _, e := range r.rotation {
		h := fnv.New32a()
		fmt.Fprint(h, e.name, p.from, p.to)
		sum := h.Sum32() * 0x9e3779b1
		if best == nil || sum > highest {
			best, highest = e, sum
		}
	}
	if best == nil || rand.Float64() < r.loss {
		return
	}
	_, _ = r.out.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(best.ip, r.lab.ports.traffic))
}

// clientFlow is one flow of a client.
type clientFlow struct {
	router    *router
	from, to  netip.AddrPort
	packets   chan packet
	seq, ack  uint32
	echo      uint32
	hostReset bool
	// systemReset is when the system reset the flow while it was open.
	systemReset time.Time
}

// receive passes the packets that clients get to their flows.
func (r *router) receive(socket *net.UDPConn) {
	buffer := make([]byte, 4096)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, genuine := decode(append([]byte{}, buffer[:n]...))
		if !genuine && p.flags != flagRST {
			r.lab.breaks("MIXED: a client got a packet that its sender didn't write so")
			continue
		}
		r.mutex.Lock()
		flow := r.flows[p.to]
		r.mutex.Unlock()
		if flow == nil || flow.to != p.from {
			continue
		}
		select {
		case flow.packets <- p:
		default:
		}
	}
}

// The outcomes of opening a flow.
const (
	outcomeOpen    = "open"
	outcomeReset   = "reset"
	outcomeTimeout = "timeout"
)

// newFlow returns a flow from a new port of a client.
func (r *router) newFlow(client int, to netip.AddrPort) *clientFlow {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.nextPort++
	f := &clientFlow{
		router: r, from: netip.AddrPortFrom(r.lab.ip(kindClient, byte(client%clientCount+1)), r.nextPort), to: to,
		packets: make(chan packet, 64), seq: rand.Uint32(),
	}
	r.flows[f.from] = f
	return f
}

func (f *clientFlow) send(p packet) {
	p.from, p.to, p.echo = f.from, f.to, f.echo
	f.router.forward(p)
}

// open opens the flow with up to three copies of its opening packet.
func (f *clientFlow) open() string {
	began := time.Now()
	for i, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(i)})
		timeout := time.After(until - time.Since(began))
		for waiting := true; waiting; {
			select {
			case <-timeout:
				waiting = false
			case p := <-f.packets:
				switch {
				case p.flags&flagRST != 0:
					return outcomeReset
				case p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == f.seq+1:
					f.seq++
					f.ack = p.seq + 1
					f.echo = p.echo
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
					return outcomeOpen
				}
			}
		}
	}
	return outcomeTimeout
}

// request sends a request on the open flow and returns its answer, or the way in which it
// ended without one.
func (f *clientFlow) request(id string) string {
	pause := 200 * time.Millisecond
	for deadline := time.Now().Add(f.router.deadline); time.Now().Before(deadline); pause *= 2 {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: []byte(id)})
		timeout := time.After(pause)
		for waiting := true; waiting; {
			select {
			case <-timeout:
				waiting = false
			case p := <-f.packets:
				switch {
				case p.flags&flagRST != 0:
					f.recordReset(p)
					return outcomeReset
				case p.flags&flagSYN == 0 && len(p.data) > 0 && p.seq == f.ack:
					f.seq += uint32(len(id))
					f.ack += uint32(len(p.data))
					f.echo = p.echo
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
					if !strings.HasSuffix(string(p.data), id) {
						f.router.lab.breaks("MIXED: the answer to %s is %q", id, p.data)
					}
					return string(p.data)
				}
			}
		}
	}
	return outcomeTimeout
}

// recordReset records who reset the open flow: a reset of the system's own has the sum 0.
func (f *clientFlow) recordReset(p packet) {
	if p.sum == 0 {
		f.systemReset = time.Now()
		return
	}
	f.hostReset = true
}

// watch returns true if the system resets the open flow within a time without traffic.
func (f *clientFlow) watch(d time.Duration) bool {
	timeout := time.After(d)
	for {
		select {
		case <-timeout:
			return false
		case p := <-f.packets:
			if p.flags&flagRST != 0 {
				f.recordReset(p)
				return p.sum == 0
			}
		}
	}
}

// end closes the flow.
func (f *clientFlow) end() {
	f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	time.AfterFunc(2*time.Second, func() {
		f.router.mutex.Lock()
		delete(f.router.flows, f.from)
		f.router.mutex.Unlock()
	})
}

// traffic counts the outcomes of a load of short flows.
type traffic struct {
	mutex    sync.Mutex
	outcomes map[string]int
}

// load opens a number of flows a second to a route, each with one request, for a time.
func (r *router) load(to netip.AddrPort, perS float64, d time.Duration) *traffic {
	t := &traffic{outcomes: make(map[string]int)}
	var flows sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer ticker.Stop()
	n := 0
	for until := time.Now().Add(d); time.Now().Before(until); n++ {
		<-ticker.C
		f := r.newFlow(n, to)
		flows.Add(1)
		go func() {
			defer flows.Done()
			outcome := f.open()
			if outcome == outcomeOpen {
				if answer := f.request(fmt.Sprintf("q-%s-%d", f.from, n)); strings.HasPrefix(answer, "answer") {
					outcome = "answered"
				} else {
					outcome = "request " + answer
				}
				f.end()
			}
			t.mutex.Lock()
			t.outcomes[outcome]++
			t.mutex.Unlock()
		}()
	}
	flows.Wait()
	r.lab.note("flows to %s: %v", to, t.outcomes)
	return t
}
