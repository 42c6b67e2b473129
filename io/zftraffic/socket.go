// Package zftraffic forwards packets. It receives datagrams with one packet each from the
// fabric, the network in front of the instances, and sends them to a backend server or
// relays them to another instance.
// Each goroutine reads, decides and writes independently of the others.
package zftraffic

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfhold"
	"zinniafront/io/zfcounter"
)

const (
	// maxDatagramBytes bounds one datagram.
	maxDatagramBytes = 64 << 10
	// socketBufferBytes is the requested size of the sockets' kernel buffers.
	socketBufferBytes = 4 << 20
)

// Config configures Sockets.
type Config struct {
	// Traffic is the address for packets of the fabric, Relay the one for packets that
	// other instances relay.
	Traffic netip.AddrPort
	Relay   netip.AddrPort
	// Threads is the number of goroutines that read each socket.
	Threads int
	// Framing returns a new framing for one goroutine.
	Framing func() zf.Framing
	Mapper  zf.Mapper
	// Held keeps the packets that the mapper can't route yet until ReleaseHeld is called;
	// without it they are dropped.
	Held     *zfhold.Table
	Clock    zf.Clock
	Counters *zfcounter.Set
	// Admit reports whether a packet may be forwarded although the instance is overloaded;
	// it may be nil.
	Admit func(packet zf.Packet) bool
	// OnDecision is called with every decision; it may be nil.
	OnDecision func(packet zf.Packet, verdict zf.Verdict, now time.Time)
}

// Sockets holds the traffic socket of an instance and its relay socket, if it has one.
type Sockets struct {
	config  Config
	traffic *net.UDPConn
	relay   *net.UDPConn
	readers sync.WaitGroup
}

// Listen opens the sockets. Without a relay address it opens the traffic socket only.
func Listen(config Config) (*Sockets, error) {
	traffic, err := openSocket(config.Traffic)
	if err != nil {
		return nil, err
	}
	if !config.Relay.IsValid() {
		return &Sockets{
			config:  config,
			traffic: traffic,
		}, nil
	}
	relay, err := openSocket(config.Relay)
	if err != nil {
		_ = traffic.Close()
		return nil, err
	}
	return &Sockets{
		config:  config,
		traffic: traffic,
		relay:   relay,
	}, nil
}

func openSocket(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	// The kernel may grant smaller buffers, which costs packets in a burst, not
	// correctness.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Start starts the goroutines that read the sockets.
func (s *Sockets) Start() {
	for range s.config.Threads {
		s.readers.Go(func() { s.read(s.traffic, false) })
		if s.relay != nil {
			s.readers.Go(func() { s.read(s.relay, true) })
		}
	}
}

// Close closes the sockets and waits for their goroutines to end.
func (s *Sockets) Close() {
	_ = s.traffic.Close()
	if s.relay != nil {
		_ = s.relay.Close()
	}
	s.readers.Wait()
}

func (s *Sockets) read(conn *net.UDPConn, relayed bool) {
	framing := s.config.Framing()
	buffer := make([]byte, framing.Headroom()+maxDatagramBytes)
	packets := 0
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[framing.Headroom():])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error caused by an earlier write; the socket remains usable.
		}
		relay := netip.AddrPort{}
		if relayed {
			relay = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		}
		frame := buffer[:framing.Headroom()+n]
		s.config.Counters.PacketReceived.Inc(1)
		s.config.Counters.Link.Received.Inc(linkBytes(n))
		if packets++; packets%zfcounter.ForwardSampleInterval != 0 {
			s.handle(framing, frame, relay)
			continue
		}
		start := s.config.Clock.Now()
		s.handle(framing, frame, relay)
		s.config.Counters.ForwardTime.Update(s.config.Clock.Now().Sub(start))
	}
}

// headerBytes is what a datagram takes on a link besides its payload: the headers of UDP
// and IPv4, and those, the preamble and the gap of Ethernet.
const headerBytes = 8 + 20 + 38

// linkBytes returns the number of bytes that a datagram takes on a link.
func linkBytes(payload int) int64 { return int64(payload + headerBytes) }

// handle decides on one packet and carries out the decision.
func (s *Sockets) handle(framing zf.Framing, frame []byte, relay netip.AddrPort) {
	counters := s.config.Counters
	packet, err := framing.Decode(frame[framing.Headroom():])
	if err != nil {
		counters.PacketDropped.Add(reasonOf(err))
		return
	}
	packet.Relay = relay
	now := s.config.Clock.Now()
	verdict := s.route(packet, now)
	if verdict.Reason == zf.ReasonNotReady && s.config.Held != nil {
		if s.config.Held.Add(&packet, frame, now) {
			counters.PacketHeld.Inc(1)
			return
		}
		verdict = s.route(packet, now) // The packets may have just been released.
	}
	switch verdict.Action {
	case zf.ActionForward:
		datagram := framing.Forward(frame, verdict)
		counters.Link.Sent.Inc(linkBytes(len(datagram)))
		_, err = s.traffic.WriteToUDPAddrPort(datagram, verdict.To)
		counters.PacketForwarded.Inc(1)
	case zf.ActionRelay:
		_, err = s.relay.WriteToUDPAddrPort(frame[framing.Headroom():], verdict.To)
		counters.PacketRelayed.Add(verdict.Reason)
	case zf.ActionReset:
		err = s.sendReset(framing, packet)
		counters.FlowReset.Add(verdict.Reason)
	default:
		counters.PacketDropped.Add(verdict.Reason)
	}
	if err != nil {
		counters.PacketDropped.Add(zf.ReasonSendFailed)
	}
	if s.config.OnDecision != nil {
		s.config.OnDecision(packet, verdict, now)
	}
}

// ReleaseHeld routes the packets that arrived before the mapper could, and returns their
// number. Call it once the mapper can.
func (s *Sockets) ReleaseHeld() int {
	if s.config.Held == nil {
		return 0
	}
	framing := s.config.Framing()
	frames := s.config.Held.Release(s.config.Clock.Now())
	for _, frame := range frames {
		s.handle(framing, frame, netip.AddrPort{})
	}
	return len(frames)
}

// route decides on one packet.
func (s *Sockets) route(packet zf.Packet, now time.Time) zf.Verdict {
	if s.config.Admit != nil && !s.config.Admit(packet) {
		return zf.Verdict{
			Action: zf.ActionDrop,
			Server: zf.NoServer,
			Reason: zf.ReasonOverloaded,
		}
	}
	return s.config.Mapper.Route(packet, now)
}

// SendResets sends a reset to the caller of each ended flow.
func (s *Sockets) SendResets(ended []zf.EndedFlow) {
	framing := s.config.Framing()
	counters := s.config.Counters
	now := s.config.Clock.Now()
	for _, flow := range ended {
		if s.sendReset(framing, flow.Last) != nil {
			counters.PacketDropped.Add(zf.ReasonSendFailed)
			continue
		}
		counters.FlowReset.Add(flow.Reason)
		if s.config.OnDecision != nil {
			s.config.OnDecision(flow.Last, zf.Verdict{
				Action: zf.ActionReset,
				Server: zf.NoServer,
				Number: flow.Number,
				Reason: flow.Reason,
			}, now)
		}
	}
}

// sendReset sends a reset for the flow of a packet to its caller, if the framing supports
// resets.
func (s *Sockets) sendReset(framing zf.Framing, packet zf.Packet) error {
	datagram, to, ok := framing.Reset(packet)
	if !ok {
		return nil
	}
	s.config.Counters.Link.Sent.Inc(linkBytes(len(datagram)))
	_, err := s.traffic.WriteToUDPAddrPort(datagram, to)
	return errors.Wrap(err, "send reset")
}

func reasonOf(err error) zf.Reason {
	var wire *zf.WireError
	if errors.As(err, &wire) {
		return wire.Reason
	}
	return zf.ReasonMalformed
}
