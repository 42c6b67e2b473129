package zfcookie_test

import (
	"math"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// departingView returns a view in which a share of the new flows for orders leaves for
// data centre two.
func departingView(share float64, servers ...zf.ServerView) zf.View {
	v := view(servers...)
	v.Revision++
	v.Departures = []zf.Departure{{
		Service: "orders",
		To: []zf.CentreShare{{
			Centre: "two",
			Share:  share,
		}},
	}}
	return v
}

func assertShare(t testing.TB, mapper *zfcookie.Mapper, number uint64, low, high float64) {
	t.Helper()
	const flows = 2000
	share := float64(openFlows(mapper, flows, start)[number]) / flows
	zfassert.True(t, "share is in its bounds", share >= low && share <= high)
}

func TestDeparture(t *testing.T) {
	home, away, other := row(1, "orders", "one"), row(2, "orders", "two"), row(3, "orders", "three")
	t.Run("a share of new flows leaves a pressed data centre", func(t *testing.T) {
		mapper := newMapper(departingView(0.3, home, away, other))
		assertShare(t, mapper, 2, 0.26, 0.34)
		assertShare(t, mapper, 3, 0, 0)
	})
	t.Run("without departures nobody leaves", func(t *testing.T) {
		assertShare(t, newMapper(view(home, away, other)), 1, 1, 1)
	})
	t.Run("all instances agree, also on copies of an opening packet", func(t *testing.T) {
		var servers []zf.ServerView
		for n := range uint64(4) {
			servers = append(servers, row(n, "orders", "one"), row(10+n, "orders", "two"))
		}
		one, another := newMapper(departingView(0.5, servers...)), newMapper(departingView(0.5, servers...))
		for port := range 100 {
			leaves := one.Route(opening(port, 0), start).Number >= 10
			zfassert.Equal(t, "leaves", another.Route(opening(port, 1), start).Number >= 10, leaves)
		}
	})
	t.Run("a copy stays if its first target did not answer", func(t *testing.T) {
		mapper := newMapper(departingView(1, home, away))
		zfassert.Equal(t, "first", mapper.Route(opening(1, 0), start).Number, uint64(2))
		zfassert.Equal(t, "copy", mapper.Route(opening(1, 1), start).Number, uint64(1))
	})
	t.Run("a copy stays also where few backend servers are at home", func(t *testing.T) {
		servers := []zf.ServerView{row(1, "orders", "one"), row(2, "orders", "one")}
		for n := range uint64(8) {
			servers = append(servers, row(10+n, "orders", "two"))
		}
		for port := range 20 {
			mapper := newMapper(departingView(1, servers...))
			zfassert.True(t, "first leaves", mapper.Route(opening(port, 0), start).Number >= 10)
			zfassert.True(t, "copy stays", mapper.Route(opening(port, 1), start).Number < 10)
		}
	})
	t.Run("flows stay if no backend server there takes new flows", func(t *testing.T) {
		out, suspect, draining := row(2, "orders", "two"), row(4, "orders", "two"), row(5, "orders", "two")
		out.Allowed, suspect.Suspect = false, true
		draining.State, draining.Weight = zf.ServerDraining, 0
		assertShare(t, newMapper(departingView(1, home, out, suspect, draining, other)), 1, 1, 1)
	})
	t.Run("nobody leaves for a cold backend server", func(t *testing.T) {
		cold := row(2, "orders", "two")
		cold.State, cold.OpeningRate = zf.ServerCold, 1
		assertShare(t, newMapper(departingView(1, home, cold)), 2, 0, 0)
	})
	t.Run("the entry instances of pressed data centres don't exceed the limit of a cold one", func(t *testing.T) {
		const instances, coldRate = 60, 2.0
		servers := []zf.ServerView{home, row(2, "orders", "two")}
		for n := range uint64(8) {
			servers = append(servers, row(3+n, "orders", "two"))
		}
		servers[1].State, servers[1].OpeningRate = zf.ServerCold, coldRate/instances
		sum := 0
		for range instances {
			sum += openFlows(newMapper(departingView(0.3, servers...)), 20, start)[2]
		}
		zfassert.AtMost(t, "new flows at once", float64(sum), coldRate)
	})
	t.Run("shares that are no numbers count as none", func(t *testing.T) {
		for _, share := range []float64{math.NaN(), math.Inf(-1), -1} {
			assertShare(t, newMapper(departingView(share, home, away)), 1, 1, 1)
			v := departingView(share, home, away, other)
			v.Departures[0].To = append(v.Departures[0].To, zf.CentreShare{
				Centre: "three",
				Share:  0.3,
			})
			assertShare(t, newMapper(v), 3, 0.26, 0.34)
		}
	})
	t.Run("open flows never move", func(t *testing.T) {
		mapper := newMapper(view(home, away))
		verdict := mapper.Route(opening(1, 0), start)
		mapper.Tick(start, departingView(1, home, away))
		zfassert.Equal(t, "backend server", mapper.Route(data(1, verdict.Cookie, 1), start).Number, uint64(1))
	})
	t.Run("no allocation", func(t *testing.T) {
		mapper := newMapper(departingView(0.5, home, away))
		packet := opening(1, 0)
		zfassert.Equal(t, "allocations", testing.AllocsPerRun(100, func() { mapper.Route(packet, start) }), 0.0)
	})
}

// departingLoad replays the new flows of an instance, 20 a second, all of which leave for
// the 30 backend servers of data centre two. These answer until died, and from back on.
type departingLoad struct {
	died, back time.Duration
}

// run returns how many opening packets of new flows went to data centre two in each second.
func (l departingLoad) run(d time.Duration) []int {
	var servers []zf.ServerView
	for n := range uint64(30) {
		servers = append(servers, row(1+n, "orders", "one"), row(101+n, "orders", "two"))
	}
	v := departingView(1, servers...)
	mapper := newMapper(v)
	const pause = 50 * time.Millisecond
	later := make(map[time.Duration][]zf.Packet)
	left := make([]int, d/time.Second)
	for at := time.Duration(0); at < d; at += pause {
		now := start.Add(at)
		mapper.Tick(now, v)
		for _, packet := range append(later[at], opening(int(at/pause), 0)) {
			verdict := mapper.Route(packet, now)
			if packet.Kind != zf.PacketOpening {
				continue
			}
			if away := verdict.Number > 100; away && at >= l.died && at < l.back {
				later[at+200*time.Millisecond] = append(later[at+200*time.Millisecond], opening(int(packet.Flow.Source.Port()), packet.Retransmissions+1))
			} else {
				later[at+pause] = append(later[at+pause], data(int(packet.Flow.Source.Port()), verdict.Cookie, 1))
			}
			if verdict.Number > 100 && packet.Retransmissions == 0 {
				left[at/time.Second]++
			}
		}
	}
	return left
}

func TestDepartureToSilentCentre(t *testing.T) {
	load := departingLoad{
		died: 2 * time.Second,
		back: 8 * time.Second,
	}
	left := load.run(12 * time.Second)
	t.Run("all leave while it answers", func(t *testing.T) { zfassert.Equal(t, "new flows", left[1], 20) })
	t.Run("those of 0.4 s leave once it is silent", func(t *testing.T) { zfassert.AtMost(t, "new flows", float64(left[2]), 8) })
	t.Run("then one a second", func(t *testing.T) {
		for _, n := range left[3:8] {
			zfassert.AtMost(t, "new flows", float64(n), 1)
		}
	})
	t.Run("all leave again within 2 s after it is back", func(t *testing.T) { zfassert.Equal(t, "new flows", left[10], 20) })
}
