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

// harness runs the mapper of a lone instance on a fake clock.
type harness struct {
	mapper *zfslot.Mapper
	view   zf.View
	now    time.Time
}

func newHarness(servers int) *harness {
	h := &harness{
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
		h.view.Servers = append(h.view.Servers, zf.ServerView{
			ID:      zf.ServerID(i),
			Name:    zf.ServerName(fmt.Sprintf("s%d", i)),
			Service: "orders",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 1),
			State:   zf.ServerWarm,
			Weight:  2000,
			Allowed: true,
		})
	}
	h.advance(3 * time.Second)
	return h
}

func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		h.mapper.Tick(h.now, h.view)
	}
}

func (h *harness) drain(server int) {
	h.view.Servers[server].State = zf.ServerDraining
	h.view.Servers[server].Weight = 0
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

func (h *harness) route(n int, kind zf.PacketKind) zf.Verdict {
	return h.mapper.Route(packet(n, kind), h.now)
}

func assertForwarded(t testing.TB, verdict zf.Verdict) {
	t.Helper()
	if verdict.Action != zf.ActionForward {
		t.Fatalf("packet not forwarded: %s", verdict.Reason)
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
		assertDropped(t, newHarness(4).mapper.Route(p, start), zf.ReasonUnknownService)
	})
	t.Run("a service without backend servers", func(t *testing.T) {
		assertDropped(t, newHarness(0).route(1, zf.PacketOpening), zf.ReasonNoServer)
	})
	t.Run("flows stay on a draining server, new ones go to other servers", func(t *testing.T) {
		h := newHarness(4)
		before := make(map[int]zf.ServerID)
		for n := range 2000 {
			verdict := h.route(n, zf.PacketOpening)
			assertForwarded(t, verdict)
			before[n] = verdict.Server
		}
		h.drain(0)
		h.advance(time.Second)
		for n := range 2000 {
			verdict := h.route(n, zf.PacketMidFlow)
			assertForwarded(t, verdict)
			zfassert.Equal(t, "server", verdict.Server, before[n])
			verdict = h.route(10000+n, zf.PacketOpening)
			assertForwarded(t, verdict)
			zfassert.True(t, "not the draining server", verdict.Server != 0)
		}
	})
	t.Run("an unknown idle flow stays on a draining server", func(t *testing.T) {
		h := newHarness(4)
		before := h.route(1, zf.PacketMidFlow).Server
		h.drain(int(before))
		h.advance(time.Second)
		zfassert.Equal(t, "server", h.route(1, zf.PacketMidFlow).Server, before)
	})
	t.Run("a data centre taken out gets no packets", func(t *testing.T) {
		h := newHarness(2)
		server := h.route(1, zf.PacketOpening).Server
		h.view.Servers[server].Allowed = false
		h.advance(time.Second)
		assertDropped(t, h.route(1, zf.PacketMidFlow), zf.ReasonCentreOut)
		verdict := h.route(2, zf.PacketOpening)
		assertForwarded(t, verdict)
		zfassert.True(t, "other server", verdict.Server != server)
	})
	t.Run("slots are spread by weight", func(t *testing.T) {
		h := newHarness(14)
		counts := make(map[zf.ServerID]int)
		for n := range 28000 {
			counts[h.route(n, zf.PacketOpening).Server]++
		}
		maxCount := 0
		for _, count := range counts {
			maxCount = max(maxCount, count)
		}
		zfassert.AtMost(t, "max over mean", float64(maxCount)/2000, 1.10)
	})
	t.Run("routing a known flow does not allocate", func(t *testing.T) {
		h := newHarness(4)
		h.route(1, zf.PacketOpening)
		p := packet(1, zf.PacketMidFlow)
		zfassert.Equal(t, "allocations", testing.AllocsPerRun(1000, func() { h.mapper.Route(p, h.now) }), 0.0)
	})
}

// BenchmarkRoute measures the decision on one packet of 100,000 known flows,
// in settled slots and in slots that a drain has left unsettled.
func BenchmarkRoute(b *testing.B) {
	const flows = 100000
	for _, name := range []string{"settled", "unsettled"} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(14)
			packets := make([]zf.Packet, flows)
			for n := range packets {
				h.route(n, zf.PacketOpening)
				packets[n] = packet(n, zf.PacketMidFlow)
			}
			if name == "unsettled" {
				for server := range 13 {
					h.drain(server)
				}
				h.advance(time.Second)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				verdict := h.mapper.Route(packets[i], h.now)
				if verdict.Action != zf.ActionForward {
					b.Fatal(verdict.Reason)
				}
				i = (i + 1) % flows
			}
		})
	}
}
