package zfcookie_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

const (
	// learning is the time before an outage, in which the instance learns the round trip.
	learning = time.Second
	// refusalBound is the number of openings that show that a data centre refuses: three
	// backend servers, of which each may get those of two callers.
	refusalBound = 3 * 2
	// openingTimeout is the minimum time after which an opening counts as unopened.
	openingTimeout = 20 * time.Millisecond
	// probesPerSecond are those of a data centre that refuses.
	probesPerSecond = 1
)

func TestDeadCentre(t *testing.T) {
	const pause = 10 * time.Millisecond
	for _, outage := range []time.Duration{time.Second, 3 * time.Second} {
		closed := closedCentre("one", learning, outage)
		bound := refusalBound + int(openingTimeout/pause) + 1 + probesPerSecond*int(outage/time.Second)
		t.Run("it answers with resets for "+outage.String()+", and retries arrive here", func(t *testing.T) {
			result := openingLoad{
				view:   centreView(false),
				pause:  pause,
				closed: closed,
			}.run(learning + outage + 4*time.Second)
			zfassert.AtMost(t, "openings that met a closed port", float64(sum(result.refused)), float64(bound))
			zfassert.Equal(t, "callers whose three tries failed", result.failed, 0)
			last, first := len(result.sent)-1, int((learning+outage)/(100*time.Millisecond))
			zfassert.Equal(t, "openings at home after the return", result.sent[last], result.all[last])
			zfassert.True(t, "the return begins with a part", result.sent[first]+result.sent[first+1] <= (result.all[first]+result.all[first+1])/2)
		})
		t.Run("it answers with resets for "+outage.String()+", and retries arrive elsewhere", func(t *testing.T) {
			result := openingLoad{
				view:             centreView(false),
				pause:            pause,
				closed:           closed,
				retriesElsewhere: true,
			}.run(learning + outage)
			zfassert.AtMost(t, "openings that met a closed port", float64(sum(result.refused)), float64(bound))
		})
		t.Run("it is silent for "+outage.String(), func(t *testing.T) {
			result := openingLoad{
				view:   centreView(false),
				pause:  pause,
				silent: closed,
			}.run(learning + outage)
			home := 0
			for _, n := range result.sent[learning/(100*time.Millisecond):] {
				home += n
			}
			zfassert.AtMost(t, "openings sent there", float64(home), float64(bound))
		})
	}
	t.Run("all data centres are dead", func(t *testing.T) {
		dead := func(_ zf.ServerView, at time.Duration) bool { return between(at, learning, 3*time.Second) }
		result := openingLoad{
			view:   centreView(false),
			pause:  pause,
			closed: dead,
		}.run(learning + 8*time.Second)
		zfassert.Equal(t, "openings answered with a reset", result.reset, 0)
		busiest := 0
		for _, n := range result.refused {
			busiest = max(busiest, n)
		}
		zfassert.AtMost(t, "busiest over mean", float64(busiest*len(result.refused))/float64(sum(result.refused)), 1.5)
		last := len(result.sent) - 1
		zfassert.Equal(t, "openings at home after the return", result.sent[last], result.all[last])
	})
}

// TestColdServers checks that no evidence sends cold backend servers more new flows than
// they sustain.
func TestColdServers(t *testing.T) {
	const (
		rate   = 2
		length = 5 * time.Second
	)
	always := func(zf.ServerView, time.Duration) bool { return true }
	for name, load := range map[string]openingLoad{
		"sound": {},
		"a data centre refuses": {
			closed: closedCentre("one", learning, length),
		},
		"a data centre is silent": {
			silent: closedCentre("one", learning, length),
		},
		"it refuses for a second": {
			closed: closedCentre("one", learning, time.Second),
		},
		"all data centres refuse": {
			closed: always,
		},
		"all data centres are silent": {
			silent: always,
		},
		"callers behind one address": {
			address: func(int) int { return 1 },
			closed:  closedCentre("one", learning, length),
		},
		"an instance that is suspended": {
			suspended: func(at time.Duration) bool { return between(at, learning, time.Second) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			load.view, load.pause = centreView(false), 5*time.Millisecond
			for i := range load.view.Servers {
				load.view.Servers[i].OpeningRate = rate
			}
			result := load.run(length)
			for _, server := range load.view.Servers {
				sent := result.opened[server.Number] + result.refused[server.Number] + result.ignored[server.Number]
				zfassert.AtMost(t, "new flows of "+string(server.Name), float64(sent), rate*length.Seconds()+1)
			}
		})
	}
}

func TestDeadServers(t *testing.T) {
	thirty := rows(30)
	t.Run("one dead backend server among thirty", func(t *testing.T) {
		dead := func(server zf.ServerView, at time.Duration) bool { return server.Number == 7 && at >= learning }
		result := openingLoad{
			view:   view(thirty...),
			pause:  4 * time.Millisecond,
			closed: dead,
		}.run(learning + 3*time.Second)
		// Openings of two callers, one more while they are pending, and a probe each 2 s.
		zfassert.AtMost(t, "openings that met a closed port", float64(sum(result.refused)), 2+1+2)
		zfassert.Equal(t, "callers whose three tries failed", result.failed, 0)
	})
	t.Run("flapping ones get flows only while they are up", func(t *testing.T) {
		const flap = 1400 * time.Millisecond
		down := func(server zf.ServerView, at time.Duration) bool {
			return server.Number <= 3 && at >= learning && (at-learning)/flap%2 == 0
		}
		result := openingLoad{
			view:   view(thirty[:10]...),
			pause:  10 * time.Millisecond,
			closed: down,
		}.run(learning + 6*flap)
		for number := uint64(1); number <= 3; number++ {
			// As above, in each of the three times that it is down.
			zfassert.AtMost(t, "openings that met a closed port", float64(result.refused[number]), 3*(2+1+1))
			zfassert.True(t, "flows while it is up", result.opened[number] > result.opened[10]/4)
		}
		zfassert.Equal(t, "callers whose three tries failed", result.failed, 0)
	})
}

func TestNoEvidence(t *testing.T) {
	for name, load := range map[string]openingLoad{
		"one lost packet": {silent: func(_ zf.ServerView, at time.Duration) bool { return at == learning }},
		"one caller goes away with ten flows": {
			address:          func(n int) int { return n - max(0, min(n, 109)-100) },
			closed:           func(_ zf.ServerView, at time.Duration) bool { return between(at, learning, 100*time.Millisecond) },
			retriesElsewhere: true,
		},
		"many callers behind one address, of whom each tenth goes away": {
			address:          func(int) int { return 1 },
			closed:           func(_ zf.ServerView, at time.Duration) bool { return at%(100*time.Millisecond) == 0 },
			retriesElsewhere: true,
		},
		"an instance that is cut off":                {closed: func(_ zf.ServerView, at time.Duration) bool { return at >= learning }},
		"a suspended instance":                       {suspended: func(at time.Duration) bool { return between(at, learning, 2*time.Second) }},
		"answers take 0.9 s, but handshakes succeed": {answer: 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			load.view, load.pause = centreView(false), 10*time.Millisecond
			result := load.run(learning + 4*time.Second)
			zfassert.Equal(t, "verdicts", len(result.verdicts), 0)
		})
	}
}

// TestRestElsewhere checks that an instance that opens flows whose next packets often go to
// other instances, as when the fabric spreads packets anew, keeps using a sound data centre.
func TestRestElsewhere(t *testing.T) {
	for _, percentage := range []int{10, 20, 30, 40, 45, 55} {
		t.Run(fmt.Sprintf("%d %% of flows", percentage), func(t *testing.T) {
			result := openingLoad{
				view:          centreView(false),
				pause:         50 * time.Millisecond,
				restElsewhere: percentage,
			}.run(30 * time.Second)
			for i := range result.all {
				zfassert.Equal(t, "openings at home", result.sent[i], result.all[i])
			}
		})
	}
}

// followed opens flows of different callers that send a request after the round trip.
func followed(mapper *zfcookie.Mapper, flows int) {
	for n := range flows {
		packet := openingOf(n, n)
		mapper.Route(requestOf(packet, mapper.Route(packet, start).Cookie), start.Add(openingRoundTrip))
	}
}

func TestOpeningReports(t *testing.T) {
	v := view(row(1, "orders", "one"))
	mapper := newOpeningMapper(v)
	followed(mapper, 20)
	mapper.Route(openingOf(99, 99), start.Add(openingRoundTrip))
	mapper.Tick(start.Add(400*time.Millisecond), v)
	zfassert.Equal(t, "loads", mapper.Loads(), []zf.ServerLoad{{
		Cookie:   zfcookie.CookieOf("s1", start),
		Requests: 20,
		Opened:   20,
		Unopened: 1,
	}})
}

func TestConcurrentOpenings(t *testing.T) {
	packets := make([]zf.Packet, 0, 300)
	for n := range 300 {
		packets = append(packets, openingOf(200+n, 200+n))
	}
	mapper := newOpeningMapper(centreView(false))
	followed(mapper, 20)
	now := tickUntil(mapper, centreView(false), start, start.Add(100*time.Millisecond))
	routeConcurrently(mapper, packets[:100], now)
	now = tickUntil(mapper, centreView(false), now, now.Add(200*time.Millisecond))
	for _, packet := range packets[100:120] {
		if verdict := mapper.Route(packet, now); verdict.Number > centreSize {
			mapper.Route(requestOf(packet, verdict.Cookie), now)
		}
	}
	now = tickUntil(mapper, centreView(false), now, now.Add(time.Second))
	probes := 0
	for _, verdict := range routeConcurrently(mapper, packets[120:], now) {
		assertForward(t, verdict)
		if verdict.Number <= centreSize {
			probes++
		}
	}
	zfassert.Equal(t, "probes of the data centre that refuses", probes, 1)
}

// TestOpenFlows checks that evidence from openings changes no verdict on open flows.
func TestOpenFlows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		late := rapid.Bool().Draw(rt, "late")
		v := centreView(late)
		with, without := newOpeningMapper(v), newMapper(v)
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "packets") {
			port := rapid.IntRange(1, 12).Draw(rt, "port")
			server := v.Servers[rapid.IntRange(0, len(v.Servers)-1).Draw(rt, "server")]
			packet := data(port, zfcookie.CookieOf(server.Name, start), uint32(rapid.IntRange(1, 3).Draw(rt, "sequence")))
			switch rapid.IntRange(0, 5).Draw(rt, "kind") {
			case 0:
				// Copies of opening packets show what their backend servers, which may
				// differ, left unanswered; that ends flows only where heartbeats are late.
				copies := 0
				if !late {
					copies = rapid.IntRange(0, 2).Draw(rt, "copies")
				}
				with.Route(opening(port, copies), now)
				without.Route(opening(port, copies), now)
				continue
			case 1:
				packet.Kind = rapid.SampledFrom([]zf.PacketKind{zf.PacketClosing, zf.PacketReset}).Draw(rt, "end")
			case 2:
				packet = acknowledgementOf(packet)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(rt, "milliseconds")) * time.Millisecond)
				with.Tick(now, v)
				without.Tick(now, v)
				zfassert.Equal(t, "ended flows", len(with.EndedFlows()), len(without.EndedFlows()))
			}
			zfassert.Equal(t, "verdict", with.Route(packet, now), without.Route(packet, now))
		}
	})
}

func TestOpeningAllocations(t *testing.T) {
	mapper := newOpeningMapper(centreView(false))
	packet := data(1, zfcookie.CookieOf("s1", start), 1)
	zfassert.Equal(t, "allocations per packet", testing.AllocsPerRun(100, func() { mapper.Route(packet, start) }), 0.0)
	zfassert.Equal(t, "allocations per new flow", testing.AllocsPerRun(100, func() { mapper.Route(opening(1, 0), start) }), 0.0)
	cold := row(1, "orders", "one")
	cold.State, cold.OpeningRate = zf.ServerCold, 1e6
	mapper, now := newOpeningMapper(view(cold)), start
	zfassert.Equal(t, "allocations per new flow of a cold backend server", testing.AllocsPerRun(100, func() {
		now = now.Add(time.Millisecond)
		mapper.Route(opening(1, 0), now)
	}), 0.0)
}

func BenchmarkOpening(b *testing.B) {
	servers := rows(150)
	packets := make([]zf.Packet, 0, 4096)
	for n := range 4096 {
		packets = append(packets, openingOf(n, n))
	}
	for name, mapper := range map[string]*zfcookie.Mapper{
		"without evidence": newMapper(view(servers...)),
		"with evidence":    newOpeningMapper(view(servers...)),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				mapper.Route(packets[i%len(packets)], start)
			}
		})
	}
}
