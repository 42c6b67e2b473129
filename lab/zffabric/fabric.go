// Package zffabric is a stand-in for the platform's network fabric. It forwards
// each packet to a random instance that is ready, and each announcement to a
// random instance that is running.
package zffabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/lab/zftopology"
)

const (
	checkInterval      = 200 * time.Millisecond
	checkTimeout       = 150 * time.Millisecond
	maxDatagramBytes   = 64 << 10
	receiveBufferBytes = 8 << 20
)

// Stats counts the datagrams that a fabric forwarded.
type Stats struct {
	Packets       uint64 `json:"packets"`
	Announcements uint64 `json:"announcements"`
	// Unplaced counts those that were dropped because there was no instance to
	// forward them to.
	Unplaced uint64 `json:"unplaced"`
}

// Fabric forwards datagrams to random instances.
type Fabric struct {
	topology     *zftopology.Topology
	clock        zf.Clock
	random       *rand.Rand
	packetConn   *net.UDPConn
	announceConn *net.UDPConn
	ready        atomic.Pointer[[]netip.AddrPort]
	running      atomic.Pointer[[]netip.AddrPort]
	stats        Stats
	unplaced     atomic.Uint64
}

// Listen opens the sockets of a fabric.
func Listen(topology *zftopology.Topology, clock zf.Clock) (*Fabric, error) {
	packetConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(topology.Fabric))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	announceConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(topology.Announce))
	if err != nil {
		return nil, errors.Wrap(err, "listen for announcements")
	}
	_ = packetConn.SetReadBuffer(receiveBufferBytes) // The system may grant less.
	f := &Fabric{
		topology:     topology,
		clock:        clock,
		random:       rand.New(rand.NewPCG(topology.Seed, 1)),
		packetConn:   packetConn,
		announceConn: announceConn,
	}
	f.ready.Store(&[]netip.AddrPort{})
	f.running.Store(&[]netip.AddrPort{})
	return f, nil
}

// Run forwards datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) Stats {
	stop := context.AfterFunc(ctx, func() {
		_ = f.packetConn.Close()
		_ = f.announceConn.Close()
	})
	defer stop()
	go f.checkInstances(ctx)
	announced := make(chan uint64, 1)
	go func() { announced <- f.spray(f.announceConn, &f.running, rand.New(rand.NewPCG(f.topology.Seed, 2))) }()
	f.stats.Packets = f.spray(f.packetConn, &f.ready, f.random)
	f.stats.Announcements = <-announced
	f.stats.Unplaced = f.unplaced.Load()
	return f.stats
}

// spray forwards each datagram of conn to a random target until conn is closed.
// It returns the number of datagrams forwarded.
func (f *Fabric) spray(conn *net.UDPConn, targets *atomic.Pointer[[]netip.AddrPort], random *rand.Rand) uint64 {
	buffer := make([]byte, maxDatagramBytes)
	count := uint64(0)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return count
		}
		if err != nil {
			continue // An ICMP error of an earlier write; the socket still works.
		}
		addresses := *targets.Load()
		if len(addresses) == 0 {
			f.unplaced.Add(1)
			continue
		}
		// The caller retransmits a lost packet.
		_, _ = conn.WriteToUDPAddrPort(buffer[:n], addresses[random.IntN(len(addresses))])
		count++
	}
}

// checkInstances keeps the addresses of the running and of the ready instances
// up to date.
func (f *Fabric) checkInstances(ctx context.Context) {
	client := &http.Client{
		Timeout: checkTimeout,
	}
	for ctx.Err() == nil {
		ready := make([]netip.AddrPort, 0, len(f.topology.Instances))
		running := make([]netip.AddrPort, 0, len(f.topology.Instances))
		for _, instance := range f.topology.Instances {
			status := readyStatus(client, instance.Admin)
			if status != 0 {
				running = append(running, instance.Announce)
			}
			if status == http.StatusOK {
				ready = append(ready, instance.Traffic)
			}
		}
		f.ready.Store(&ready)
		f.running.Store(&running)
		tick, release := f.clock.After(checkInterval)
		select {
		case <-tick:
		case <-ctx.Done():
		}
		release()
	}
}

// readyStatus returns the HTTP status of an instance's readiness check, or 0 if
// there is no response.
func readyStatus(client *http.Client, admin netip.AddrPort) int {
	response, err := client.Get("http://" + admin.String() + "/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
