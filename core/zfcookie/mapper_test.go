package zfcookie_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	frontend = netip.MustParseAddrPort("198.51.100.1:443")
)

// row returns a warm backend server of a service in a data centre.
func row(number uint64, service zf.ServiceName, centre zf.CentreName) zf.ServerView {
	return zf.ServerView{
		ID:      zf.ServerID(number),
		Name:    zf.ServerName(fmt.Sprintf("s%d", number)),
		Service: service,
		Centre:  centre,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 80),
		State:   zf.ServerWarm,
		Weight:  1,
		Allowed: true,
		Born:    start,
		Number:  number,
	}
}

// rows returns the rows of n backend servers of one service and data centre.
func rows(n uint64) []zf.ServerView {
	servers := make([]zf.ServerView, 0, n)
	for number := range n {
		servers = append(servers, row(number+1, "orders", "one"))
	}
	return servers
}

func view(servers ...zf.ServerView) zf.View {
	return zf.View{
		Self:        "e1",
		Centre:      "one",
		RoutesKnown: true,
		Revision:    1,
		Routes: []zf.RouteView{{
			Address: frontend,
			Targets: []zf.RouteTarget{{
				Service: "orders",
				Weight:  1,
			}},
		}},
		Servers: servers,
	}
}

func newMapper(v zf.View) *zfcookie.Mapper {
	mapper := zfcookie.New(zfcookie.Config{
		Seed: 1,
	})
	mapper.Tick(start, v)
	return mapper
}

func flow(port int) zf.Flow {
	return zf.Flow{
		Protocol:    zf.ProtocolTCP,
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(port >> 16), 1}), uint16(port)),
		Destination: frontend,
	}
}

func opening(port, retransmissions int) zf.Packet {
	return zf.Packet{
		Kind:            zf.PacketOpening,
		Flow:            flow(port),
		Retransmissions: retransmissions,
	}
}

func data(port int, cookie zf.Cookie, sequence uint32) zf.Packet {
	return zf.Packet{
		Flow:        flow(port),
		Cookie:      cookie,
		Sequence:    sequence,
		PayloadSize: 100,
	}
}

func assertVerdict(t testing.TB, got zf.Verdict, action zf.Action, reason zf.Reason) {
	t.Helper()
	zfassert.Equal(t, "action", got.Action, action)
	zfassert.Equal(t, "reason", got.Reason, reason)
}

func assertForward(t testing.TB, got zf.Verdict) {
	t.Helper()
	assertVerdict(t, got, zf.ActionForward, zf.ReasonNone)
}

func TestAddresses(t *testing.T) {
	six := netip.MustParseAddrPort("[2001:db8::1]:443")
	v := view(row(1, "orders", "one"))
	v.Routes = append(v.Routes, zf.RouteView{
		Address: six,
		Targets: v.Routes[0].Targets,
	})
	mapper := newMapper(v)
	for _, c := range []struct {
		name        string
		destination netip.AddrPort
		action      zf.Action
	}{
		{
			name:        "an IPv4 route",
			destination: frontend,
			action:      zf.ActionForward,
		},
		{
			name:        "an IPv6 route",
			destination: six,
			action:      zf.ActionForward,
		},
		{
			name:        "another port",
			destination: netip.AddrPortFrom(frontend.Addr(), 444),
			action:      zf.ActionReset,
		},
		{
			name:        "another IPv6 address",
			destination: netip.MustParseAddrPort("[2001:db8::2]:443"),
			action:      zf.ActionReset,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			packet := opening(1, 0)
			packet.Flow.Destination = c.destination
			zfassert.Equal(t, "action", mapper.Route(packet, start).Action, c.action)
		})
	}
}

func TestFlows(t *testing.T) {
	v := view(row(1, "orders", "one"), row(2, "orders", "one"), row(3, "orders", "one"))
	mapper := newMapper(v)
	other := newMapper(v)
	t.Run("every instance finds the backend server of a flow", func(t *testing.T) {
		for port := range 200 {
			opened := mapper.Route(opening(port, 0), start)
			assertForward(t, opened)
			later := other.Route(data(port, opened.Cookie, 1), start)
			assertForward(t, later)
			zfassert.Equal(t, "backend server", later.Number, opened.Number)
			zfassert.Equal(t, "cookie", later.Cookie, opened.Cookie)
		}
	})
	t.Run("flows keep their backend server when others are added", func(t *testing.T) {
		opened := mapper.Route(opening(1, 0), start)
		grown := view(append(v.Servers, row(4, "orders", "one"))...)
		grown.Revision = 2
		mapper.Tick(start, grown)
		zfassert.Equal(t, "backend server", mapper.Route(data(1, opened.Cookie, 1), start).Number, opened.Number)
	})
	t.Run("a retransmitted opening packet goes to another backend server", func(t *testing.T) {
		for port := range 50 {
			first := mapper.Route(opening(port, 0), start)
			second := mapper.Route(opening(port, 1), start)
			zfassert.True(t, "another backend server", first.Number != second.Number)
		}
	})
	t.Run("another incarnation of a backend server has another cookie", func(t *testing.T) {
		zfassert.True(t, "another cookie", zfcookie.CookieOf("s1", start) != zfcookie.CookieOf("s1", start.Add(time.Millisecond)))
	})
}

func TestRefusals(t *testing.T) {
	gone := row(9, "orders", "one")
	gone.State = zf.ServerGone
	gone.Weight = 0
	proven := gone
	proven.Name = "s10"
	proven.Proven = true
	mapper := newMapper(view(row(1, "orders", "one"), gone, proven))
	for _, c := range []struct {
		name   string
		mapper *zfcookie.Mapper
		packet zf.Packet
		after  time.Duration
		action zf.Action
		reason zf.Reason
	}{
		{
			name: "packets are dropped before the routes are known",
			mapper: newMapper(zf.View{
				Revision: 1,
			}),
			packet: opening(1, 0),
			action: zf.ActionDrop,
			reason: zf.ReasonNotReady,
		},
		{
			name:   "a flow to an unknown address is reset",
			mapper: mapper,
			packet: zf.Packet{
				Kind: zf.PacketOpening,
				Flow: zf.Flow{
					Destination: netip.MustParseAddrPort("198.51.100.9:443"),
				},
			},
			action: zf.ActionReset,
			reason: zf.ReasonUnknownRoute,
		},
		{
			name:   "a flow to a route without backend servers is reset",
			mapper: newMapper(view()),
			packet: opening(1, 0),
			action: zf.ActionReset,
			reason: zf.ReasonNoServer,
		},
		{
			name:   "a packet with an unknown cookie is dropped without a reset",
			mapper: mapper,
			packet: data(1, 12345, 1),
			action: zf.ActionDrop,
			reason: zf.ReasonUnknownCookie,
		},
		{
			name:   "a flow of a backend server that may be alive is forwarded",
			mapper: mapper,
			packet: data(1, zfcookie.CookieOf("s9", start), 1),
			action: zf.ActionForward,
		},
		{
			name:   "a flow of a backend server that has certainly ended is reset",
			mapper: mapper,
			packet: data(1, zfcookie.CookieOf("s10", start), 1),
			after:  3 * time.Second,
			action: zf.ActionReset,
			reason: zf.ReasonServerDead,
		},
		{
			name:   "a reset is never answered",
			mapper: mapper,
			packet: zf.Packet{
				Kind: zf.PacketReset,
				Flow: flow(1),
			},
			action: zf.ActionDrop,
			reason: zf.ReasonUnknownCookie,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertVerdict(t, c.mapper.Route(c.packet, start.Add(c.after)), c.action, c.reason)
		})
	}
}

func TestAllocations(t *testing.T) {
	mapper := newMapper(view(row(1, "orders", "one"), row(2, "orders", "one")))
	packet := data(1, zfcookie.CookieOf("s1", start), 1)
	zfassert.Equal(t, "allocations per packet", testing.AllocsPerRun(100, func() { mapper.Route(packet, start) }), 0.0)
	zfassert.Equal(t, "allocations per new flow", testing.AllocsPerRun(100, func() { mapper.Route(opening(1, 0), start) }), 0.0)
}

func BenchmarkRoute(b *testing.B) {
	servers := rows(150)
	packets := make([]zf.Packet, 0, 4096)
	for n := range 4096 {
		packets = append(packets, data(n, zfcookie.CookieOf(servers[n%150].Name, start), uint32(n)))
	}
	openings := make([]zf.Packet, 0, 4096)
	for n := range 4096 {
		openings = append(openings, opening(n, 0))
	}
	b.Run("data", func(b *testing.B) {
		mapper := newMapper(view(servers...))
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			packet := &packets[i%len(packets)]
			packet.Sequence++
			mapper.Route(*packet, start)
		}
	})
	b.Run("acknowledgement", func(b *testing.B) {
		mapper := newMapper(view(servers...))
		acknowledgement := packets[0]
		acknowledgement.PayloadSize = 0
		b.ReportAllocs()
		for b.Loop() {
			mapper.Route(acknowledgement, start)
		}
	})
	b.Run("opening", func(b *testing.B) {
		mapper := newMapper(view(servers...))
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			mapper.Route(openings[i%len(openings)], start)
		}
	})
}
