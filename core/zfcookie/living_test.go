package zfcookie_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// TestLivingServers guards against resets of flows whose backend servers live, when others of
// their data centre crash.
func TestLivingServers(t *testing.T) {
	// crash has the first crashed backend servers of data centre two leave a request each
	// unanswered, beside requests to data centre one that are answered. It returns the time
	// at which the last of them has been retransmitted once.
	crash := func(mapper *zfcookie.Mapper, crashed int, v zf.View) time.Time {
		now := start
		for at := time.Duration(0); at <= 600*time.Millisecond; at += 10 * time.Millisecond {
			now = start.Add(at)
			answered := data(int(at/time.Millisecond), zfcookie.CookieOf("s1", start), 1)
			mapper.Route(answered, now)
			mapper.Route(acknowledgementOf(answered), now)
			for n := range crashed {
				if sent := time.Duration(n) * 20 * time.Millisecond; at == sent || at == sent+retransmissionDelays[0] {
					requestTo(mapper, v.Servers[centreSize+n].Name, 8000+n, now)
				}
			}
			if at%(100*time.Millisecond) == 0 {
				mapper.Tick(now, v)
			}
		}
		return now
	}
	for _, crashed := range []int{3, centreSize - 1} {
		t.Run(fmt.Sprintf("%d others crash", crashed), func(t *testing.T) {
			v := centreView(false)
			mapper := newMapper(v)
			now := crash(mapper, crashed, v)
			mapper.EndedFlows()
			for n, server := range v.Servers[centreSize+crashed:] {
				assertForward(t, requestTo(mapper, server.Name, 9000+n, now))
			}
			for n, server := range v.Servers[centreSize+crashed:] {
				request := data(9000+n, zfcookie.CookieOf(server.Name, start), 1)
				assertForward(t, mapper.Route(acknowledgementOf(request), now.Add(usual)))
			}
			mapper.Tick(now.Add(100*time.Millisecond), v)
			assertEnded(t, mapper)
		})
	}
	t.Run("one that answers after a retransmission", func(t *testing.T) {
		v := centreView(false)
		mapper := newMapper(v)
		last := v.Servers[2*centreSize-1].Name
		requestTo(mapper, last, 9000, start)
		requestTo(mapper, last, 9000, start.Add(retransmissionDelays[0]))
		now := crash(mapper, 3, v)
		for _, ended := range mapper.EndedFlows() {
			zfassert.True(t, "a flow of a crashed backend server", ended.Last.Flow.Source.Port() != 9000)
		}
		assertForward(t, requestTo(mapper, last, 9001, now))
	})
}

// TestResumedInstance guards against resets of flows that other instances serve, when an
// instance that was suspended reads the requests and retransmissions that waited for it.
func TestResumedInstance(t *testing.T) {
	for _, c := range []struct {
		name string
		// late has them be read after the first tick that follows the suspension.
		late bool
	}{
		{
			name: "read before the first tick",
		},
		{
			name: "read after the first tick",
			late: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := centreView(false)
			mapper := newMapper(v)
			mapper.Tick(start, v)
			now := start.Add(2 * time.Second)
			if c.late {
				mapper.Tick(now, v)
				now = now.Add(time.Millisecond)
			}
			for n := range centreSize {
				for range 3 {
					requestTo(mapper, v.Servers[centreSize+n].Name, 9000+n, now)
				}
			}
			if !c.late {
				mapper.Tick(now, v)
			}
			for end := now.Add(time.Second); now.Before(end); {
				answered := data(int(end.Sub(now)/time.Millisecond), zfcookie.CookieOf("s1", start), 1)
				mapper.Route(answered, now)
				mapper.Route(acknowledgementOf(answered), now)
				now = now.Add(100 * time.Millisecond)
				mapper.Tick(now, v)
				zfassert.Equal(t, "unresponsive", len(mapper.UnresponsiveCentres(now)), 0)
			}
			assertEnded(t, mapper)
			for _, outcome := range mapper.Outcomes() {
				zfassert.Equal(t, "unanswered requests of "+string(outcome.Server), outcome.Unanswered, 0)
			}
		})
	}
}

// TestSlowCentre guards against resets of flows whose backend servers answer late, together
// with all others of their data centre.
func TestSlowCentre(t *testing.T) {
	v := centreView(false)
	mapper := newMapper(v)
	sent := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for at := time.Duration(0); at <= 750*time.Millisecond; at += 10 * time.Millisecond {
		now := start.Add(at)
		answered := data(int(at/time.Millisecond), zfcookie.CookieOf("s1", start), 1)
		mapper.Route(answered, now)
		mapper.Route(acknowledgementOf(answered), now)
		for n := range centreSize {
			for _, delay := range sent {
				if at == delay {
					assertForward(t, requestTo(mapper, v.Servers[centreSize+n].Name, 9000+n, now))
				}
			}
		}
		if at%(100*time.Millisecond) == 0 {
			mapper.Tick(now, v)
			zfassert.Equal(t, "flows that were reset", len(mapper.EndedFlows()), 0)
		}
	}
}
