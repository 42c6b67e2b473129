package zfslot_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfslot"
	"zinniafront/lab/zfassert"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	frontend = netip.MustParseAddrPort("198.51.100.1:443")
)

// lone is one instance without others.
type lone struct {
	mapper *zfslot.Mapper
	view   zf.View
	now    time.Time
}

func newLone(servers int) *lone {
	l := &lone{
		mapper: zfslot.New(zfslot.DefaultConfig(1, start)),
		now:    start,
		view: zf.View{
			Self: "a",
			Members: []zf.MemberView{{
				Name:   "a",
				Leased: true,
				Recent: true,
				Ready:  true,
			}},
			Services: []zf.ServiceView{{
				Name:      "orders",
				Protocol:  zf.ProtocolTCP,
				Addresses: []netip.AddrPort{frontend},
				Idle:      time.Hour,
				Slots:     1024,
			}},
		},
	}
	for i := range servers {
		l.view.Servers = append(l.view.Servers, zf.ServerView{
			ID:      zf.ServerID(i),
			Name:    zf.ServerName(fmt.Sprintf("s%d", i)),
			Service: "orders",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 1),
			State:   zf.ServerWarm,
			Weight:  2000,
			Allowed: true,
		})
	}
	l.pass(3 * time.Second)
	return l
}

func (l *lone) pass(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(50 * time.Millisecond)
		l.mapper.Tick(l.now, l.view)
	}
}

func (l *lone) drain(server int) {
	l.view.Servers[server].State = zf.ServerDraining
	l.view.Servers[server].Weight = 0
}

func packet(n int, kind zf.PacketKind) zf.Packet {
	return zf.Packet{
		Kind: kind,
		Flow: zf.Flow{
			Protocol:    zf.ProtocolTCP,
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 16), byte(n >> 8)}), uint16(1024+n&255)),
			Destination: frontend,
		},
	}
}

func (l *lone) route(n int, kind zf.PacketKind) zf.Verdict {
	return l.mapper.Route(packet(n, kind), l.now)
}

func assertForwarded(t testing.TB, verdict zf.Verdict) {
	t.Helper()
	if verdict.Action != zf.ActionForward {
		t.Fatalf("dropped for %s", verdict.Reason)
	}
}

func assertDropped(t testing.TB, verdict zf.Verdict, reason zf.Reason) {
	t.Helper()
	zfassert.Equal(t, "action", verdict.Action, zf.ActionDrop)
	zfassert.Equal(t, "reason", verdict.Reason.String(), reason.String())
}

func TestRoute(t *testing.T) {
	t.Run("before the first tick", func(t *testing.T) {
		mapper := zfslot.New(zfslot.DefaultConfig(1, start))
		assertDropped(t, mapper.Route(packet(1, zf.PacketOpening), start), zf.ReasonNotReady)
	})
	t.Run("an address of no service", func(t *testing.T) {
		p := packet(1, zf.PacketOpening)
		p.Flow.Destination = netip.MustParseAddrPort("198.51.100.2:443")
		assertDropped(t, newLone(4).mapper.Route(p, start), zf.ReasonUnknownService)
	})
	t.Run("a service without backend servers", func(t *testing.T) {
		assertDropped(t, newLone(0).route(1, zf.PacketOpening), zf.ReasonNoServer)
	})
	t.Run("flows stay through a drain, new ones go elsewhere", func(t *testing.T) {
		l := newLone(4)
		before := make(map[int]zf.ServerID)
		for n := range 2000 {
			verdict := l.route(n, zf.PacketOpening)
			assertForwarded(t, verdict)
			before[n] = verdict.Server
		}
		l.drain(0)
		l.pass(time.Second)
		for n := range 2000 {
			verdict := l.route(n, zf.PacketMidFlow)
			assertForwarded(t, verdict)
			zfassert.Equal(t, "server", verdict.Server, before[n])
			verdict = l.route(10000+n, zf.PacketOpening)
			assertForwarded(t, verdict)
			zfassert.True(t, "not the leaving one", verdict.Server != 0)
		}
	})
	t.Run("a quiet flow that nobody knows stays through a drain", func(t *testing.T) {
		l := newLone(4)
		before := l.route(1, zf.PacketMidFlow).Server
		l.drain(int(before))
		l.pass(time.Second)
		zfassert.Equal(t, "server", l.route(1, zf.PacketMidFlow).Server, before)
	})
	t.Run("a data centre taken out gets nothing", func(t *testing.T) {
		l := newLone(2)
		server := l.route(1, zf.PacketOpening).Server
		l.view.Servers[server].Allowed = false
		l.pass(time.Second)
		assertDropped(t, l.route(1, zf.PacketMidFlow), zf.ReasonCentreOut)
		verdict := l.route(2, zf.PacketOpening)
		assertForwarded(t, verdict)
		zfassert.True(t, "other server", verdict.Server != server)
	})
	t.Run("slots are spread by weight", func(t *testing.T) {
		l := newLone(14)
		counts := make(map[zf.ServerID]int)
		for n := range 28000 {
			counts[l.route(n, zf.PacketOpening).Server]++
		}
		most := 0
		for _, count := range counts {
			most = max(most, count)
		}
		zfassert.AtMost(t, "max over mean", float64(most)/2000, 1.10)
	})
	t.Run("a known flow costs no allocation", func(t *testing.T) {
		l := newLone(4)
		l.route(1, zf.PacketOpening)
		p := packet(1, zf.PacketMidFlow)
		zfassert.Equal(t, "allocations", testing.AllocsPerRun(1000, func() { l.mapper.Route(p, l.now) }), 0.0)
	})
}

// BenchmarkRoute measures the decision on one packet of 100,000 known flows,
// in settled slots and in slots that a drain has left unsettled.
func BenchmarkRoute(b *testing.B) {
	const flows = 100000
	for _, name := range []string{"settled", "unsettled"} {
		b.Run(name, func(b *testing.B) {
			l := newLone(14)
			packets := make([]zf.Packet, flows)
			for n := range packets {
				l.route(n, zf.PacketOpening)
				packets[n] = packet(n, zf.PacketMidFlow)
			}
			if name == "unsettled" {
				for server := range 13 {
					l.drain(server)
				}
				l.pass(time.Second)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				verdict := l.mapper.Route(packets[i], l.now)
				if verdict.Action != zf.ActionForward {
					b.Fatal(verdict.Reason)
				}
				i = (i + 1) % flows
			}
		})
	}
}
