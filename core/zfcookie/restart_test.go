package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// restartedView returns the view after the first backend server has started again: its
// earlier incarnation has certainly ended, the later one started a second after it.
func restartedView(modify func(later *zf.ServerView)) zf.View {
	gone := row(1, "orders", "one")
	gone.State, gone.Weight, gone.Proven = zf.ServerGone, 0, true
	later := row(1, "orders", "one")
	later.ID = 3
	later.Born = start.Add(time.Second)
	if modify != nil {
		modify(&later)
	}
	v := view(gone, later, row(2, "orders", "one"))
	v.Revision = 2
	return v
}

func TestRestartedServer(t *testing.T) {
	earlier, later := zfcookie.CookieOf("s1", start), zfcookie.CookieOf("s1", start.Add(time.Second))
	// The flow opened before the later incarnation announced itself, perhaps at it.
	opened := func(modify func(later *zf.ServerView)) *zfcookie.Mapper {
		mapper := newMapper(view(row(1, "orders", "one")))
		zfassert.Equal(t, "cookie", mapper.Route(opening(1, 0), start).Cookie, earlier)
		mapper.Tick(start.Add(100*time.Millisecond), restartedView(modify))
		return mapper
	}
	t.Run("decides itself whether it has the flow", func(t *testing.T) {
		verdict := opened(nil).Route(data(1, earlier, 1), start.Add(200*time.Millisecond))
		assertForward(t, verdict)
		zfassert.Equal(t, "cookie", verdict.Cookie, later)
		zfassert.Equal(t, "number", verdict.Number, uint64(1))
	})
	for _, c := range []struct {
		name   string
		modify func(later *zf.ServerView)
	}{
		{
			name:   "with another number has no flow of the earlier one",
			modify: func(later *zf.ServerView) { later.Number = 9 },
		},
		{
			name:   "at another address has no flow of the earlier one",
			modify: func(later *zf.ServerView) { later.Address = row(9, "orders", "one").Address },
		},
		{
			name:   "of another service has no flow of the earlier one",
			modify: func(later *zf.ServerView) { later.Service = "proofs" },
		},
		{
			name: "that has ended as well has no flow",
			modify: func(later *zf.ServerView) {
				later.State, later.Weight, later.Proven = zf.ServerGone, 0, true
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			verdict := opened(c.modify).Route(data(1, earlier, 1), start.Add(200*time.Millisecond))
			assertVerdict(t, verdict, zf.ActionReset, zf.ReasonServerDead)
		})
	}
	t.Run("idle flows from before its start are ended, later ones are not", func(t *testing.T) {
		mapper := newMapper(view(row(1, "orders", "one")))
		sendRequest(mapper, 1, "s1", start)
		now := tickUntil(mapper, view(row(1, "orders", "one")), start, start.Add(5*time.Second))
		sendRequest(mapper, 2, "s1", now)
		tickUntil(mapper, restartedView(nil), now, now.Add(1500*time.Millisecond))
		assertEnded(t, mapper, 1)
	})
	t.Run("gets each new flow once", func(t *testing.T) {
		got := openFlows(newMapper(restartedView(nil)), 100, start)
		zfassert.AtMost(t, "share", float64(got[1])/100, 0.6)
	})
}

// TestLateNewsOfRestart guards against resets of the flows that a backend server opened after it
// started again, at an instance that learns of the start late.
func TestLateNewsOfRestart(t *testing.T) {
	before := view(row(1, "orders", "one"))
	mapper := newMapper(before)
	// The backend server starts again at start+1s. The flow opens with its earlier cookie
	// two seconds later, sends a request and is idle.
	now := tickUntil(mapper, before, start, start.Add(3*time.Second))
	opened := mapper.Route(opening(1, 0), now)
	mapper.Route(data(1, opened.Cookie, 1), now)
	now = tickUntil(mapper, before, now, start.Add(6*time.Second))
	tickUntil(mapper, restartedView(nil), now, now.Add(2*time.Second))
	assertEnded(t, mapper)
}
