// Package zftraffic carries packets: a datagram of the fabric holds one IP
// packet, and leaves in the same form for a backend server or for another
// instance. Each goroutine reads, decides and writes on its own.
package zftraffic

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfpacket"
)

const (
	// mostBytes bounds one datagram.
	mostBytes = 64 << 10
	// bufferBytes is the size asked for the sockets' buffers.
	bufferBytes = 4 << 20
)

// Config holds what traffic sockets are built from.
type Config struct {
	// Traffic takes packets of the fabric, Relay those of other instances.
	Traffic netip.AddrPort
	Relay   netip.AddrPort
	// Threads is the number of goroutines that read each socket.
	Threads  int
	Mapper   zf.Mapper
	Clock    zf.Clock
	Counters *zfcounter.Set
}

// Sockets are the two sockets of an instance's traffic.
type Sockets struct {
	config  Config
	traffic *net.UDPConn
	relay   *net.UDPConn
	running sync.WaitGroup
}

// Listen opens the sockets.
func Listen(config Config) (*Sockets, error) {
	traffic, err := open(config.Traffic)
	if err != nil {
		return nil, err
	}
	relay, err := open(config.Relay)
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

func open(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	// The system may grant less; that costs packets in a burst, not correctness.
	_ = conn.SetReadBuffer(bufferBytes)
	_ = conn.SetWriteBuffer(bufferBytes)
	return conn, nil
}

// Start begins to read.
func (s *Sockets) Start() {
	for range s.config.Threads {
		s.running.Go(func() { s.read(s.traffic, false) })
		s.running.Go(func() { s.read(s.relay, true) })
	}
}

// Close closes the sockets and waits for the goroutines.
func (s *Sockets) Close() {
	_ = s.traffic.Close()
	_ = s.relay.Close()
	s.running.Wait()
}

func (s *Sockets) read(conn *net.UDPConn, relayed bool) {
	decoder := zfpacket.NewDecoder()
	buffer := make([]byte, mostBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error of an earlier write; the socket still works.
		}
		relay := netip.AddrPort{}
		if relayed {
			relay = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		}
		s.handle(decoder, buffer[:n], relay)
	}
}

// handle decides one packet and sends it on.
func (s *Sockets) handle(decoder *zfpacket.Decoder, data []byte, relay netip.AddrPort) {
	counters := s.config.Counters
	counters.PacketReceived.Inc(1)
	packet, err := decoder.Decode(data)
	if err != nil {
		counters.PacketDropped.Add(reasonOf(err))
		return
	}
	packet.Relay = relay
	verdict := s.config.Mapper.Route(packet, s.config.Clock.Now())
	switch verdict.Action {
	case zf.ActionForward:
		_, err = s.traffic.WriteToUDPAddrPort(data, verdict.To)
		counters.PacketForwarded.Inc(1)
	case zf.ActionRelay:
		_, err = s.relay.WriteToUDPAddrPort(data, verdict.To)
		counters.PacketRelayed.Add(verdict.Reason)
	default:
		counters.PacketDropped.Add(verdict.Reason)
	}
	if err != nil {
		counters.PacketDropped.Add(zf.ReasonSendFailed)
	}
}

func reasonOf(err error) zf.Reason {
	var wire *zf.WireError
	if errors.As(err, &wire) {
		return wire.Reason
	}
	return zf.ReasonMalformed
}
