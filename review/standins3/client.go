package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"zinniafront/lab/zfplatform"
)

// epoch is what the sequence numbers of opening packets count microseconds from.
var epoch = time.Now()

// sentAt returns when a client sent an opening packet.
func sentAt(p zfplatform.Packet) time.Time {
	return epoch.Add(time.Duration(p.Sequence) * time.Microsecond)
}

// router stands in for the platform's routers. It checks which entry nodes are ready.
type router struct {
	entries []*process
	misses  []atomic.Int32
	stop    chan struct{}
}

func startRouter(r *run, entries []*process) *router {
	rt := &router{
		entries: entries,
		misses:  make([]atomic.Int32, len(entries)),
		stop:    make(chan struct{}),
	}
	client := &http.Client{
		Timeout: 400 * time.Millisecond,
	}
	for i, entry := range entries {
		go func() {
			for {
				response, err := client.Get("http://" + entry.at(r.ports.ready).String() + "/readiness")
				if err == nil {
					_ = response.Body.Close() // It has no body.
				}
				if err == nil && response.StatusCode == http.StatusOK {
					rt.misses[i].Store(0)
				} else {
					rt.misses[i].Add(1)
				}
				select {
				case <-rt.stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
			}
		}()
	}
	return rt
}

// ready returns the number of entry nodes in rotation.
func (rt *router) ready() int {
	count := 0
	for i := range rt.misses {
		if rt.misses[i].Load() == 0 {
			count++
		}
	}
	return count
}

// entryOf returns the entry node that gets a flow's packets: one of the zone's nodes in
// rotation, or of all of the zone's if fewer than half are.
func (rt *router) entryOf(zone int, client netip.AddrPort) *process {
	var all, ready []*process
	for i, entry := range rt.entries {
		if entry.zone != zone {
			continue
		}
		all = append(all, entry)
		if rt.misses[i].Load() < 2 {
			ready = append(ready, entry)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(client.String())) // It never fails.
	return ready[int(hash.Sum32())%len(ready)]
}

// clients are the clients of one zone.
type clients struct {
	run     *run
	router  *router
	zone    int
	address netip.Addr
	conn    *net.UDPConn
	stop    chan struct{}
	port    atomic.Uint32
	mutex   sync.Mutex
	inboxes map[netip.AddrPort]chan zfplatform.Packet
	// The counts of flows.
	served, refused, failed, wrong atomic.Int64
}

// startClients opens perSecond flows a second, with a request each.
func startClients(r *run, rt *router, zone, perSecond int) (*clients, error) {
	c := &clients{
		run:     r,
		router:  rt,
		zone:    zone,
		address: r.address(zone+1, 200),
		stop:    make(chan struct{}),
		inboxes: make(map[netip.AddrPort]chan zfplatform.Packet),
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.address, r.ports.traffic)))
	if err != nil {
		return nil, errors.Wrap(err, "open socket of clients")
	}
	c.conn = conn
	go c.receive()
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
				go c.request()
			}
		}
	}()
	return c, nil
}

func (c *clients) close() {
	close(c.stop)
	c.run.log("clients in %s: %d served, %d refused, %d failed, %d wrong", zones[c.zone], c.served.Load(), c.refused.Load(), c.failed.Load(), c.wrong.Load())
}

func (c *clients) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet, err := zfplatform.Decode(buffer[:n])
		if err != nil {
			continue
		}
		c.mutex.Lock()
		inbox := c.inboxes[packet.Destination]
		c.mutex.Unlock()
		select {
		case inbox <- packet:
		default: // The flow has ended.
		}
	}
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	clients        *clients
	client, route  netip.AddrPort
	inbox          chan zfplatform.Packet
	sequence, peer uint32
	echo           uint32
}

// request plays a request of a client with up to two retries, each on a new flow.
func (c *clients) request() {
	for try := range 3 {
		if c.attempt() || try == 2 {
			return
		}
		time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	}
}

// attempt opens a flow, sends a request and closes the flow.
func (c *clients) attempt() bool {
	f := &clientFlow{
		clients: c,
		client:  netip.AddrPortFrom(c.address, uint16(1024+c.port.Add(1)%60000)),
		route:   netip.AddrPortFrom(netip.MustParseAddr(routeHost), routePort),
		inbox:   make(chan zfplatform.Packet, 16),
	}
	c.mutex.Lock()
	c.inboxes[f.client] = f.inbox
	c.mutex.Unlock()
	defer func() {
		c.mutex.Lock()
		delete(c.inboxes, f.client)
		c.mutex.Unlock()
	}()
	if !f.open() {
		return false
	}
	return f.exchange(fmt.Sprintf("request %s", f.client))
}

func (f *clientFlow) send(p zfplatform.Packet) {
	p.Source = f.client
	p.Destination = f.route
	p.Echo = f.echo
	entry := f.clients.router.entryOf(f.clients.zone, f.client)
	// A packet that isn't answered is sent again.
	_, _ = f.clients.conn.WriteToUDPAddrPort(p.WithChecksum().Encode(), entry.at(f.clients.run.ports.traffic))
}

// receive returns the next packet before a time; ok is false without one, or if the packet
// ends the flow.
func (f *clientFlow) receive(before time.Time) (p zfplatform.Packet, ended, ok bool) {
	timer := time.NewTimer(time.Until(before))
	defer timer.Stop()
	select {
	case p = <-f.inbox:
	case <-timer.C:
		return p, false, false
	}
	if p.Has(zfplatform.FlagReset) {
		return p, true, false
	}
	if !p.ChecksumValid() {
		f.clients.wrong.Add(1)
		return p, true, false
	}
	return p, false, true
}

func (f *clientFlow) open() bool {
	began := time.Now()
	due := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for n := range 3 {
		f.sequence = uint32(time.Since(epoch).Microseconds())
		f.send(zfplatform.Packet{
			Flags:        zfplatform.FlagOpen,
			Sequence:     f.sequence,
			Acknowledged: uint32(n),
		})
		for {
			p, ended, ok := f.receive(began.Add(due[n+1]))
			if ended {
				f.clients.refused.Add(1)
				return false
			}
			if !ok {
				break
			}
			if p.Has(zfplatform.FlagOpen) {
				f.sequence++
				f.peer = p.Sequence + 1
				f.echo = p.Echo
				return true
			}
		}
	}
	f.clients.failed.Add(1)
	return false
}

func (f *clientFlow) exchange(id string) bool {
	deadline := time.Now().Add(time.Second)
	for pause := 200 * time.Millisecond; time.Now().Before(deadline); pause *= 2 {
		f.send(zfplatform.Packet{
			Flags:        zfplatform.FlagAcknowledge,
			Sequence:     f.sequence,
			Acknowledged: f.peer,
			Data:         []byte(id),
		})
		again := time.Now().Add(pause)
		for {
			p, ended, ok := f.receive(again)
			if ended {
				f.clients.failed.Add(1)
				return false
			}
			if !ok {
				break
			}
			if len(p.Data) == 0 {
				continue
			}
			f.clients.served.Add(1)
			f.send(zfplatform.Packet{
				Flags:        zfplatform.FlagClose | zfplatform.FlagAcknowledge,
				Sequence:     f.sequence + uint32(len(id)),
				Acknowledged: f.peer + uint32(len(p.Data)),
			})
			return true
		}
	}
	f.clients.failed.Add(1)
	return false
}
