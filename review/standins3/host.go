package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"zinniafront/lab/zfplatform"
)

// workTime is how long a host works on a request.
const workTime = 15 * time.Millisecond

// flowKey identifies a flow.
type flowKey struct{ client, route netip.AddrPort }

// opening is the first opening packet of a flow that a host took.
type opening struct {
	sentAt    time.Time
	arrivedAt time.Time
	cold      bool
}

// host is a stand-in for a host of the platform, one incarnation of it.
type host struct {
	run     *run
	id      string
	number  uint64
	zone    int
	address netip.AddrPort
	born    int64
	nodes   []*process
	client  *http.Client
	conn    *net.UDPConn
	ended   chan struct{}

	mutex     sync.Mutex
	coldUntil time.Time
	sequence  uint64
	preferred string
	flows     map[flowKey]uint32
	openings  []opening
}

// startHost starts a host whose heartbeats go to nodes. It is cold for as long as coldFor.
func startHost(r *run, zone, machine int, nodes []*process, coldFor time.Duration) (*host, error) {
	h := &host{
		run:     r,
		number:  rand.Uint64()>>32 | 1,
		zone:    zone,
		address: netip.AddrPortFrom(r.address(zone+1, machine), r.ports.host),
		born:    time.Now().UnixMilli(),
		nodes:   nodes,
		client:  newCaller(),
		ended:   make(chan struct{}),
		flows:   make(map[flowKey]uint32),
	}
	h.id = fmt.Sprintf("i-%08x", h.number)
	if coldFor > 0 {
		h.coldUntil = time.Now().Add(coldFor)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.address))
	if err != nil {
		return nil, errors.Wrap(err, "open socket of host")
	}
	h.conn = conn
	go h.receive()
	go h.sendHeartbeats()
	return h, nil
}

// close ends the host.
func (h *host) close() {
	close(h.ended)
	_ = h.conn.Close() // The socket was open; an error has no consequence.
}

// becomeCold makes the host cold, as those of an evacuated zone may be.
func (h *host) becomeCold(coldFor time.Duration) {
	h.mutex.Lock()
	h.coldUntil = time.Now().Add(coldFor)
	h.mutex.Unlock()
	h.run.log("host %s in %s is cold for %s", h.id, zones[h.zone], coldFor)
}

func (h *host) heartbeat() []byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.sequence++
	// A map of plain values can be encoded.
	text, _ := json.Marshal(map[string]any{
		"Service":         serviceName,
		"Address":         h.address,
		"Zone":            zones[h.zone],
		"Version":         "v1",
		"Slots":           2,
		"State":           "ready",
		"ColdRemainingMs": max(time.Until(h.coldUntil).Milliseconds(), 0),
		"Seq":             h.sequence,
		"born":            h.born,
	})
	return text
}

// sendHeartbeats sends heartbeats. One that isn't acknowledged goes to the next node, with
// increasing pauses after each round of nodes.
func (h *host) sendHeartbeats() {
	for {
		began := time.Now()
		pause := 50 * time.Millisecond
		for !h.callNodes() {
			if !h.sleep(pause) {
				return
			}
			pause = min(2*pause, heartbeatInterval)
		}
		if !h.sleep(heartbeatInterval - time.Since(began)) {
			return
		}
	}
}

func (h *host) sleep(d time.Duration) bool {
	select {
	case <-h.ended:
		return false
	case <-time.After(d):
		return true
	}
}

// callNodes sends a heartbeat to the node that was named last, then to the others.
func (h *host) callNodes() bool {
	h.mutex.Lock()
	preferred := h.preferred
	h.preferred = ""
	h.mutex.Unlock()
	if preferred != "" && h.call(preferred) {
		return true
	}
	for _, i := range rand.Perm(len(h.nodes)) {
		if h.call(h.nodes[i].at(h.run.ports.control).String()) {
			return true
		}
	}
	return false
}

func (h *host) call(node string) bool {
	response, err := h.client.Post("http://"+node+"/instances/"+h.id+"/heartbeat", "application/json", bytes.NewReader(h.heartbeat()))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var answer struct{ HeartbeatAddress string }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return false
	}
	h.mutex.Lock()
	h.preferred = answer.HeartbeatAddress
	h.mutex.Unlock()
	return true
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 || binary.BigEndian.Uint64(buffer) != 0 && binary.BigEndian.Uint64(buffer) != h.number {
			continue // For another host.
		}
		packet, err := zfplatform.Decode(buffer[8:n])
		if err != nil || !packet.ChecksumValid() {
			h.run.log("host %s got a packet that its sender didn't write so", h.id)
			continue
		}
		h.handle(packet, time.Now())
	}
}

func (h *host) handle(p zfplatform.Packet, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	key := flowKey{p.Source, p.Destination}
	sequence, known := h.flows[key]
	switch {
	case p.Has(zfplatform.FlagReset):
		delete(h.flows, key)
	case p.Has(zfplatform.FlagOpen):
		if !known {
			sequence = rand.Uint32()
			h.flows[key] = sequence
			h.openings = append(h.openings, opening{
				sentAt:    sentAt(p),
				arrivedAt: now,
				cold:      now.Before(h.coldUntil),
			})
		}
		h.answer(p, zfplatform.Packet{
			Flags:        zfplatform.FlagOpen | zfplatform.FlagAcknowledge,
			Sequence:     sequence,
			Acknowledged: p.Sequence + 1,
		})
	case !known:
		h.answer(p, zfplatform.Packet{
			Flags:    zfplatform.FlagReset,
			Sequence: p.Acknowledged,
		})
	case p.Has(zfplatform.FlagClose):
		delete(h.flows, key)
	case len(p.Data) > 0:
		time.AfterFunc(workTime, func() {
			h.answer(p, zfplatform.Packet{
				Flags:        zfplatform.FlagAcknowledge,
				Sequence:     p.Acknowledged,
				Acknowledged: p.Sequence + uint32(len(p.Data)),
				Data:         []byte(h.id + " " + string(p.Data)),
			})
		})
	}
}

// answer sends a packet directly to the client.
func (h *host) answer(p, answer zfplatform.Packet) {
	answer.Source = p.Destination
	answer.Destination = p.Source
	answer.Echo = p.Echo
	to := netip.AddrPortFrom(p.Source.Addr(), h.run.ports.traffic)
	// The client repeats a packet that isn't answered.
	_, _ = h.conn.WriteToUDPAddrPort(answer.WithChecksum().Encode(), to)
}

// mostColdOpenings returns the largest number of flows that were opened at the cold host
// inside one second, counted from when clients sent the opening packets to when they
// arrived, and when that second began.
func (h *host) mostColdOpenings() (most int, from time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var cold []opening
	for _, o := range h.openings {
		if o.cold {
			cold = append(cold, o)
		}
	}
	slices.SortFunc(cold, func(a, b opening) int { return a.sentAt.Compare(b.sentAt) })
	for i, first := range cold {
		count := 0
		for _, o := range cold[i:] {
			if !o.arrivedAt.After(first.sentAt.Add(time.Second)) {
				count++
			}
		}
		if count > most {
			most, from = count, first.sentAt
		}
	}
	return most, from
}
