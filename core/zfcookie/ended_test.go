package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// sendRequest sends a request of a flow to a backend server at a time.
func sendRequest(mapper *zfcookie.Mapper, port int, server zf.ServerName, now time.Time) {
	mapper.Route(data(port, zfcookie.CookieOf(server, start), 7), now)
}

func assertEnded(t testing.TB, mapper *zfcookie.Mapper, ports ...int) {
	t.Helper()
	ended := mapper.EndedFlows()
	zfassert.Equal(t, "flows that ended", len(ended), len(ports))
	for _, port := range ports {
		found := false
		for _, packet := range ended {
			found = found || packet.Flow == flow(port)
		}
		zfassert.True(t, "flow that ended", found)
	}
}

func TestEnded(t *testing.T) {
	late := row(1, "orders", "one")
	late.Late = true
	v := view(late, row(2, "orders", "one"))
	// declareDead has a mapper find the first backend server dead, by a flow of its own, at
	// the time that it returns.
	declareDead := func(mapper *zfcookie.Mapper, now time.Time) time.Time {
		for range 4 {
			sendRequest(mapper, 99, "s1", now)
			now = now.Add(200 * time.Millisecond)
			mapper.Tick(now, v)
		}
		return now
	}
	t.Run("callers of a dead backend server hear that their flows ended", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		sendRequest(mapper, 2, "s2", start)
		assertEnded(t, mapper)
		now := declareDead(mapper, start)
		assertEnded(t, mapper, 1, 99)
		mapper.Tick(now.Add(100*time.Millisecond), v)
		assertEnded(t, mapper)
	})
	t.Run("also of one that opened here", func(t *testing.T) {
		mapper := newMapper(view(late))
		opened := mapper.Route(opening(1, 0), start)
		mapper.Route(data(1, opened.Cookie, 1), start)
		declareDead(mapper, start)
		assertEnded(t, mapper, 1, 99)
	})
	t.Run("not of one that never opened", func(t *testing.T) {
		mapper := newMapper(view(late))
		mapper.Route(opening(1, 0), start)
		declareDead(mapper, start)
		assertEnded(t, mapper, 99)
	})
	t.Run("they know the end by what they acknowledged last", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		mapper.Route(acknowledgement(zfcookie.CookieOf("s1", start), 50), start)
		declareDead(mapper, start)
		for _, packet := range mapper.EndedFlows() {
			if packet.Flow == flow(1) {
				zfassert.Equal(t, "acknowledged", packet.Acknowledged, uint32(50))
			}
		}
	})
	t.Run("not those that closed their flows", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		mapper.Route(endOfFlow(zf.PacketClosing, zfcookie.CookieOf("s1", start)), start)
		declareDead(mapper, start)
		assertEnded(t, mapper, 99)
	})
	t.Run("nor those that have not used them for long", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		now := start.Add(20 * time.Second)
		mapper.Tick(now, v)
		declareDead(mapper, now)
		assertEnded(t, mapper, 99)
	})
	t.Run("one that has left ends a moment after it said so", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		gone := late
		gone.State = zf.ServerGone
		gone.Proven = true
		left := view(gone, row(2, "orders", "one"))
		left.Revision = 2
		mapper.Tick(start.Add(100*time.Millisecond), left)
		mapper.Tick(start.Add(900*time.Millisecond), left)
		assertEnded(t, mapper)
		mapper.Tick(start.Add(1100*time.Millisecond), left)
		assertEnded(t, mapper, 1)
	})
}
