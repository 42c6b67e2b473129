package zfcookie_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// openFlows opens flows and returns the number of them by backend server.
func openFlows(mapper *zfcookie.Mapper, flows int, now time.Time) map[uint64]int {
	got := make(map[uint64]int)
	for port := range flows {
		got[mapper.Route(opening(port, 0), now).Number]++
	}
	return got
}

func TestPlacement(t *testing.T) {
	out := row(3, "orders", "one")
	out.Allowed = false
	draining := row(4, "orders", "one")
	draining.State = zf.ServerDraining
	draining.Weight = 0
	silent := row(5, "orders", "one")
	silent.State = zf.ServerSilent
	silent.Weight = 0
	remote := row(6, "orders", "two")
	suspect := row(8, "orders", "one")
	suspect.Suspect = true
	for _, c := range []struct {
		name    string
		servers []zf.ServerView
		want    []uint64
	}{
		{
			name:    "backend servers of the same data centre are preferred",
			servers: []zf.ServerView{row(1, "orders", "one"), row(2, "orders", "one"), remote},
			want:    []uint64{1, 2},
		},
		{
			name:    "taken out, draining or silent ones get no new flows",
			servers: []zf.ServerView{row(1, "orders", "one"), out, draining, silent},
			want:    []uint64{1},
		},
		{
			name:    "another data centre is used if there is no other backend server",
			servers: []zf.ServerView{out, draining, silent, remote},
			want:    []uint64{6},
		},
		{
			name:    "a silent one is used if there is no other",
			servers: []zf.ServerView{out, draining, silent},
			want:    []uint64{5},
		},
		{
			name:    "another data centre is preferred to a suspect one",
			servers: []zf.ServerView{suspect, remote},
			want:    []uint64{6},
		},
		{
			name:    "a suspect one is preferred to a silent one",
			servers: []zf.ServerView{suspect, silent},
			want:    []uint64{8},
		},
		{
			name:    "a backend server of another service gets no flows",
			servers: []zf.ServerView{row(1, "orders", "one"), row(7, "proofs", "one")},
			want:    []uint64{1},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := openFlows(newMapper(view(c.servers...)), 300, start)
			zfassert.Equal(t, "backend servers", len(got), len(c.want))
			for _, number := range c.want {
				zfassert.True(t, fmt.Sprintf("server %d gets flows", number), got[number] > 0)
			}
		})
	}
	t.Run("flows are balanced", func(t *testing.T) {
		servers := make([]zf.ServerView, 0, 14)
		for n := range uint64(14) {
			servers = append(servers, row(n+1, "orders", "one"))
		}
		busiest := 0
		for _, n := range openFlows(newMapper(view(servers...)), 14*50, start) {
			busiest = max(busiest, n)
		}
		zfassert.AtMost(t, "busiest over mean", float64(busiest)/50, 1.25)
	})
	t.Run("a cold backend server gets fewer flows", func(t *testing.T) {
		cold := row(2, "orders", "one")
		cold.State = zf.ServerCold
		cold.Weight = 0.5
		got := openFlows(newMapper(view(row(1, "orders", "one"), cold)), 300, start)
		zfassert.AtMost(t, "share of the cold one", float64(got[2])/300, 0.4)
	})
}

// routeConcurrently routes each packet in its own goroutine and returns the verdicts.
func routeConcurrently(mapper *zfcookie.Mapper, packets []zf.Packet, now time.Time) []zf.Verdict {
	verdicts := make([]zf.Verdict, len(packets))
	begin := make(chan struct{})
	var routed sync.WaitGroup
	for i, packet := range packets {
		routed.Go(func() {
			<-begin
			verdicts[i] = mapper.Route(packet, now)
		})
	}
	close(begin)
	routed.Wait()
	return verdicts
}

func TestColdRate(t *testing.T) {
	cold := row(2, "orders", "one")
	cold.State = zf.ServerCold
	cold.Weight = 0.5
	cold.OpeningRate = 2
	openManyFlows := func(mapper *zfcookie.Mapper) (opened, refused int) {
		for port := range 1000 {
			now := start.Add(time.Duration(port) * 10 * time.Millisecond)
			switch verdict := mapper.Route(opening(port, port%3), now); {
			case verdict.Number == 2:
				opened++
			case verdict.Action == zf.ActionReset:
				refused++
			}
		}
		return opened, refused
	}
	t.Run("a cold backend server gets its rate at most over ten seconds", func(t *testing.T) {
		opened, refused := openManyFlows(newMapper(view(row(1, "orders", "one"), cold)))
		zfassert.AtMost(t, "new flows", float64(opened), 21)
		zfassert.Equal(t, "refused", refused, 0)
	})
	t.Run("flows that open at once are placed on all that may get one", func(t *testing.T) {
		const servers = 6
		rows := make([]zf.ServerView, 0, servers)
		packets := make([]zf.Packet, 0, servers)
		for n := range servers {
			server := row(uint64(n+1), "orders", "one")
			server.State, server.Weight, server.OpeningRate = cold.State, cold.Weight, 1
			rows = append(rows, server)
			packets = append(packets, opening(n, 0))
		}
		mapper := newMapper(view(rows...))
		for round := range 2000 {
			now := start.Add(time.Duration(round) * time.Second)
			for _, verdict := range routeConcurrently(mapper, packets, now) {
				zfassert.Equal(t, fmt.Sprintf("action in round %d", round), verdict.Action, zf.ActionForward)
			}
		}
	})
	t.Run("flows over the rate are refused if there is no other", func(t *testing.T) {
		opened, refused := openManyFlows(newMapper(view(cold)))
		zfassert.AtMost(t, "new flows", float64(opened), 21)
		zfassert.Equal(t, "all others are refused", opened+refused, 1000)
	})
	t.Run("the rate does not limit open flows", func(t *testing.T) {
		mapper := newMapper(view(cold))
		cookie := mapper.Route(opening(1, 0), start).Cookie
		for n := range 100 {
			assertForward(t, mapper.Route(data(1, cookie, uint32(n)), start))
		}
	})
}

func TestUnansweredOpenings(t *testing.T) {
	servers := []zf.ServerView{row(1, "orders", "one"), row(2, "orders", "one"), row(3, "orders", "one")}
	t.Run("a server that leaves an opening packet unanswered gets no new flows", func(t *testing.T) {
		mapper := newMapper(view(servers...))
		unanswered := mapper.Route(opening(1, 0), start).Number
		mapper.Route(opening(1, 1), start.Add(200*time.Millisecond))
		zfassert.Equal(t, "new flows", openFlows(mapper, 200, start.Add(300*time.Millisecond))[unanswered], 0)
	})
	t.Run("it is probed with one new flow after a while", func(t *testing.T) {
		mapper := newMapper(view(servers...))
		unanswered := mapper.Route(opening(1, 0), start).Number
		mapper.Route(opening(1, 1), start.Add(200*time.Millisecond))
		zfassert.Equal(t, "new flows", openFlows(mapper, 200, start.Add(2*time.Second))[unanswered], 1)
	})
	t.Run("a probe is used up only by the server that gets the packet", func(t *testing.T) {
		mapper := newMapper(view(servers[:2]...))
		unanswered := mapper.Route(opening(1, 0), start)
		answering := mapper.Route(opening(1, 1), start.Add(200*time.Millisecond))
		setBusy := func(busy zf.Cookie, now time.Time) {
			mapper.SetTotalLoads([]zf.ServerLoad{{
				Cookie:   busy,
				Requests: 100,
			}}, now)
		}
		due := start.Add(2 * time.Second)
		setBusy(unanswered.Cookie, due)
		zfassert.Equal(t, "less loaded", mapper.Route(opening(2, 0), due).Number, answering.Number)
		setBusy(answering.Cookie, due)
		zfassert.Equal(t, "probed", mapper.Route(opening(3, 0), due).Number, unanswered.Number)
	})
	t.Run("an answer ends the probing", func(t *testing.T) {
		mapper := newMapper(view(servers...))
		opened := mapper.Route(opening(1, 0), start)
		mapper.Route(opening(1, 1), start.Add(200*time.Millisecond))
		mapper.Route(zf.Packet{
			Flow:   flow(2),
			Cookie: opened.Cookie,
		}, start.Add(250*time.Millisecond))
		zfassert.True(t, "gets flows", openFlows(mapper, 200, start.Add(300*time.Millisecond))[opened.Number] > 10)
	})
	t.Run("flows are forwarded even if all backend servers are only probed", func(t *testing.T) {
		mapper := newMapper(view(servers[:1]...))
		mapper.Route(opening(1, 0), start)
		mapper.Route(opening(1, 1), start.Add(200*time.Millisecond))
		assertForward(t, mapper.Route(opening(2, 0), start.Add(210*time.Millisecond)))
	})
}

// tickUntil runs a mapper's ticks between two times, as the control goroutine does, and
// returns the latter.
func tickUntil(mapper *zfcookie.Mapper, v zf.View, from, until time.Time) time.Time {
	const interval = 100 * time.Millisecond
	for now := from.Add(interval); now.Before(until); now = now.Add(interval) {
		mapper.Tick(now, v)
	}
	return until
}

func TestTotalLoads(t *testing.T) {
	v := view(row(1, "orders", "one"), row(2, "orders", "one"))
	busy := []zf.ServerLoad{{
		Cookie:   zfcookie.CookieOf("s1", start),
		Requests: 100,
	}}
	t.Run("a backend server loaded by other instances gets fewer flows", func(t *testing.T) {
		mapper := newMapper(v)
		mapper.SetTotalLoads(busy, start)
		got := openFlows(mapper, 60, start)
		zfassert.Equal(t, "flows of the busy one", got[1], 5) // 50 flows of two requests each equal its load of 100.
	})
	t.Run("outdated total loads are ignored", func(t *testing.T) {
		mapper := newMapper(v)
		mapper.SetTotalLoads(busy, start)
		later := start.Add(6 * time.Second)
		mapper.Tick(later, v)
		got := openFlows(mapper, 60, later)
		zfassert.True(t, "flows of the busy one", got[1] >= 25)
	})
	t.Run("requests are reported once", func(t *testing.T) {
		mapper := newMapper(v)
		cookie := mapper.Route(opening(1, 0), start).Cookie
		mapper.Route(data(1, cookie, 1), start)
		zfassert.Equal(t, "loads", mapper.Loads(), []zf.ServerLoad{{
			Cookie:   cookie,
			Requests: 1,
		}})
		zfassert.Equal(t, "loads of the next report", len(mapper.Loads()), 0)
	})
}
