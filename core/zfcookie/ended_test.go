package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// sendRequest routes a request of a flow to a backend server.
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
			found = found || packet.Last.Flow == flow(port)
		}
		zfassert.True(t, "flow that ended", found)
	}
}

func TestSuspendedInstance(t *testing.T) {
	late := row(1, "orders", "one")
	late.Late = true
	v := view(late, row(2, "orders", "one"))
	// resume has an instance go on after a suspension: it runs its tick, then reads the
	// retransmissions that waited for it.
	resume := func(mapper *zfcookie.Mapper) time.Time {
		for port := range 4 {
			sendRequest(mapper, port, "s1", start)
		}
		now := start.Add(3 * time.Second)
		mapper.Tick(now, v)
		for port := range 4 {
			sendRequest(mapper, port, "s1", now.Add(time.Millisecond))
		}
		return now
	}
	t.Run("retransmissions that waited end no flow", func(t *testing.T) {
		mapper := newMapper(v)
		now := resume(mapper)
		tickUntil(mapper, v, now, now.Add(2*time.Second))
		assertEnded(t, mapper)
	})
	t.Run("those that follow do", func(t *testing.T) {
		mapper := newMapper(v)
		now := tickUntil(mapper, v, resume(mapper), start.Add(3500*time.Millisecond))
		for range 4 {
			sendRequest(mapper, 1, "s1", now)
			now = tickUntil(mapper, v, now, now.Add(200*time.Millisecond))
		}
		zfassert.True(t, "flows are ended", len(mapper.EndedFlows()) > 0)
	})
}

func TestEnded(t *testing.T) {
	late := row(1, "orders", "one")
	late.Late = true
	v := view(late, row(2, "orders", "one"))
	// declareDead makes a mapper find the first backend server dead, by unanswered
	// requests of flow 99. It returns the time at which it does.
	declareDead := func(mapper *zfcookie.Mapper, now time.Time) time.Time {
		for range 4 {
			sendRequest(mapper, 99, "s1", now)
			now = now.Add(200 * time.Millisecond)
			mapper.Tick(now, v)
		}
		return now
	}
	t.Run("flows of a dead backend server are ended once", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		sendRequest(mapper, 2, "s2", start)
		assertEnded(t, mapper)
		now := declareDead(mapper, start)
		assertEnded(t, mapper, 1, 99)
		mapper.Tick(now.Add(100*time.Millisecond), v)
		assertEnded(t, mapper)
	})
	t.Run("a flow that was opened at this instance is ended", func(t *testing.T) {
		mapper := newMapper(view(late))
		opened := mapper.Route(opening(1, 0), start)
		mapper.Route(data(1, opened.Cookie, 1), start)
		declareDead(mapper, start)
		assertEnded(t, mapper, 1, 99)
	})
	t.Run("a flow whose opening packet was not answered is not ended", func(t *testing.T) {
		mapper := newMapper(view(late))
		mapper.Route(opening(1, 0), start)
		declareDead(mapper, start)
		assertEnded(t, mapper, 99)
	})
	t.Run("the last packet has the last acknowledgement number", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		mapper.Route(acknowledgement(zfcookie.CookieOf("s1", start), 50), start)
		declareDead(mapper, start)
		acknowledged := make(map[zf.Flow]uint32)
		for _, packet := range mapper.EndedFlows() {
			acknowledged[packet.Last.Flow] = packet.Last.Acknowledged
		}
		zfassert.Equal(t, "acknowledged", acknowledged[flow(1)], uint32(50))
	})
	t.Run("a flow that its caller closed is not ended", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		mapper.Route(endOfFlow(zf.PacketClosing, zfcookie.CookieOf("s1", start)), start)
		declareDead(mapper, start)
		assertEnded(t, mapper, 99)
	})
	t.Run("an idle flow is not ended", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		now := start.Add(20 * time.Second)
		mapper.Tick(now, v)
		declareDead(mapper, now)
		assertEnded(t, mapper, 99)
	})
	t.Run("flows of a backend server that left are ended after a grace period", func(t *testing.T) {
		mapper := newMapper(v)
		sendRequest(mapper, 1, "s1", start)
		gone := late
		gone.State = zf.ServerGone
		gone.Proven = true
		left := view(gone, row(2, "orders", "one"))
		left.Revision = 2
		mapper.Tick(start.Add(100*time.Millisecond), left)
		mapper.Tick(start.Add(2900*time.Millisecond), left)
		assertEnded(t, mapper)
		mapper.Tick(start.Add(3100*time.Millisecond), left)
		assertEnded(t, mapper, 1)
	})
}
