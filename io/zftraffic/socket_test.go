package zftraffic_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfslot"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfpacket"
	"zinniafront/io/zftraffic"
	"zinniafront/lab/zfassert"
	"zinniafront/lab/zfsegment"
)

var frontend = netip.MustParseAddrPort("198.51.100.1:443")

func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	zfassert.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadBuffer(8 << 20)
	return conn
}

func addressOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	conn := listen(t)
	defer conn.Close()
	return addressOf(conn)
}

// newMapper returns the mapper of a single instance with one backend server.
func newMapper(server netip.AddrPort) zf.Mapper {
	start := time.Now()
	mapper := zfslot.New(zfslot.DefaultConfig(1, start))
	view := zf.View{
		Self:    "a",
		Members: []zf.MemberView{{Name: "a", Leased: true, Recent: true, Ready: true}},
		Servers: []zf.ServerView{{Name: "s", Service: "orders", Address: server, State: zf.ServerWarm, Weight: 1, Allowed: true}},
		Services: []zf.ServiceView{{
			Name:      "orders",
			Protocol:  zf.ProtocolTCP,
			Addresses: []netip.AddrPort{frontend},
			Idle:      time.Hour,
			Slots:     64,
		}},
	}
	for i := range 60 {
		mapper.Tick(start.Add(time.Duration(i)*50*time.Millisecond), view)
	}
	return mapper
}

func newSockets(t testing.TB, server netip.AddrPort) (netip.AddrPort, *zfcounter.Set) {
	t.Helper()
	address, counters := freeAddress(t), zfcounter.New()
	sockets, err := zftraffic.Listen(zftraffic.Config{
		Traffic:  address,
		Relay:    freeAddress(t),
		Threads:  1,
		Framing:  func() zf.Framing { return zfpacket.NewDecoder() },
		Mapper:   newMapper(server),
		Clock:    zfclock.System{},
		Counters: counters,
	})
	zfassert.NoError(t, err)
	sockets.Start()
	t.Cleanup(sockets.Close)
	return address, counters
}

// resetFraming is a framing that supports resets: the datagram holds the caller's
// address.
type resetFraming struct {
	zf.Framing
	to netip.AddrPort
}

// Reset implements zinniafront.Framing.
func (r resetFraming) Reset(packet zf.Packet) ([]byte, netip.AddrPort, bool) {
	return []byte(packet.Flow.Source.String()), r.to, true
}

func TestSendResets(t *testing.T) {
	caller, counters := listen(t), zfcounter.New()
	sockets, err := zftraffic.Listen(zftraffic.Config{
		Traffic: freeAddress(t),
		Framing: func() zf.Framing {
			return resetFraming{
				to: addressOf(caller),
			}
		},
		Clock:    zfclock.System{},
		Counters: counters,
	})
	zfassert.NoError(t, err)
	defer sockets.Close()
	source := netip.MustParseAddrPort("192.0.2.1:1000")
	sockets.SendResets([]zf.EndedFlow{{
		Last: zf.Packet{
			Flow: zf.Flow{
				Source:      source,
				Destination: frontend,
			},
		},
		Reason: zf.ReasonServerDead,
	}})
	buffer := make([]byte, 100)
	n, err := caller.Read(buffer)
	zfassert.NoError(t, err)
	zfassert.Equal(t, "reset of", string(buffer[:n]), source.String())
}

func packet(t testing.TB, flow int) []byte {
	t.Helper()
	segment := zfsegment.Segment{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(flow)}), 1000),
		Destination: frontend,
		ACK:         true,
		Payload:     make([]byte, 64),
	}
	data, err := segment.Encode()
	zfassert.NoError(t, err)
	return append([]byte(nil), data...)
}

func TestSockets(t *testing.T) {
	sink, source := listen(t), listen(t)
	address, counters := newSockets(t, addressOf(sink))
	t.Run("a packet is forwarded unchanged", func(t *testing.T) {
		data := packet(t, 1)
		_, err := source.WriteToUDPAddrPort(data, address)
		zfassert.NoError(t, err)
		buffer := make([]byte, 2048)
		n, _, err := sink.ReadFromUDPAddrPort(buffer)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "packet", buffer[:n], data)
	})
	t.Run("a malformed packet is counted", func(t *testing.T) {
		_, err := source.WriteToUDPAddrPort([]byte("x"), address)
		zfassert.NoError(t, err)
		counter := counters.Registry.Get("packet.dropped.malformed").(interface{ Count() int64 })
		for counter.Count() == 0 {
			time.Sleep(time.Millisecond)
		}
	})
}

// headerBytes are those of a datagram with UDP, IPv4 and Ethernet.
const headerBytes = 66

func TestOverload(t *testing.T) {
	sink, source := listen(t), listen(t)
	address, counters := freeAddress(t), zfcounter.New()
	sockets, err := zftraffic.Listen(zftraffic.Config{
		Traffic:  address,
		Threads:  1,
		Framing:  func() zf.Framing { return zfpacket.NewDecoder() },
		Mapper:   newMapper(addressOf(sink)),
		Clock:    zfclock.System{},
		Counters: counters,
		Admit:    func(packet zf.Packet) bool { return packet.Kind != zf.PacketOpening },
	})
	zfassert.NoError(t, err)
	sockets.Start()
	t.Cleanup(sockets.Close)
	opening, err := zfsegment.Segment{
		Source:      netip.MustParseAddrPort("10.0.0.1:1000"),
		Destination: frontend,
		SYN:         true,
	}.Encode()
	zfassert.NoError(t, err)
	data := packet(t, 1)
	for _, datagram := range [][]byte{opening, data} {
		_, err = source.WriteToUDPAddrPort(datagram, address)
		zfassert.NoError(t, err)
	}
	buffer := make([]byte, 2048)
	n, _, err := sink.ReadFromUDPAddrPort(buffer)
	zfassert.NoError(t, err)
	zfassert.Equal(t, "packet of an open flow", buffer[:n], data)
	dropped := counters.Registry.Get("packet.dropped.overloaded").(interface{ Count() int64 })
	zfassert.Equal(t, "dropped opening packets", dropped.Count(), int64(1))
	zfassert.Equal(t, "bytes received", counters.Link.Received.Count(), int64(len(opening)+len(data)+2*headerBytes))
	zfassert.Equal(t, "bytes sent", counters.Link.Sent.Count(), int64(len(data)+headerBytes))
}

// bareRelay forwards every datagram without decoding it.
func bareRelay(t testing.TB, to netip.AddrPort) netip.AddrPort {
	t.Helper()
	conn := listen(t)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort(buffer[:n], to)
		}
	}()
	return addressOf(conn)
}

// measureRate returns the packets a second that arrive at sink through path, which is
// given one window of packets at a time.
func measureRate(b *testing.B, path netip.AddrPort, sink *net.UDPConn, packets [][]byte) float64 {
	b.Helper()
	const window, rounds = 128, 400
	source := listen(b)
	buffer := make([]byte, 2048)
	start := time.Now()
	for round := range rounds {
		for i := range window {
			_, _ = source.WriteToUDPAddrPort(packets[(round*window+i)%len(packets)], path)
		}
		for range window {
			_ = sink.SetReadDeadline(time.Now().Add(time.Second))
			if _, _, err := sink.ReadFromUDPAddrPort(buffer); err != nil {
				b.Fatal(err)
			}
		}
	}
	return window * rounds / time.Since(start).Seconds()
}

// BenchmarkPath compares the rate of the whole path of a packet with that of a bare
// relay.
func BenchmarkPath(b *testing.B) {
	sink := listen(b)
	path, _ := newSockets(b, addressOf(sink))
	bare := bareRelay(b, addressOf(sink))
	packets := make([][]byte, 200)
	for i := range packets {
		packets[i] = packet(b, i)
	}
	whole, relay := 0.0, 0.0
	runs := 0
	for b.Loop() {
		whole += measureRate(b, path, sink, packets)
		relay += measureRate(b, bare, sink, packets)
		runs++
	}
	b.ReportMetric(whole/float64(runs), "packets/s")
	b.ReportMetric(relay/float64(runs), "bare/s")
	b.ReportMetric(whole/relay, "ratio")
}
