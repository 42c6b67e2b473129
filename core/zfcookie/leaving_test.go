package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
)

// TestLeavingServer guards against resets of open flows of a backend server that announced its
// end and serves until the call is acknowledged.
func TestLeavingServer(t *testing.T) {
	cookie := zfcookie.CookieOf("s1", start)
	left := row(1, "orders", "one")
	left.State, left.Weight, left.Proven = zf.ServerGone, 0, true
	successor := row(3, "orders", "one")
	successor.Born = start.Add(time.Second)
	atItsAddress := successor
	atItsAddress.Address = left.Address
	for _, c := range []struct {
		name   string
		other  zf.ServerView
		after  time.Duration
		action zf.Action
	}{
		{
			name:   "at once",
			other:  successor,
			after:  10 * time.Millisecond,
			action: zf.ActionForward,
		},
		{
			name:   "after nearly three seconds",
			other:  successor,
			after:  2990 * time.Millisecond,
			action: zf.ActionForward,
		},
		{
			name:   "after three seconds",
			other:  successor,
			after:  3 * time.Second,
			action: zf.ActionReset,
		},
		{
			name:   "at once, with another one at its address",
			other:  atItsAddress,
			after:  10 * time.Millisecond,
			action: zf.ActionReset,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			mapper := newMapper(view(row(1, "orders", "one")))
			mapper.Route(data(1, cookie, 1), start)
			v := view(left, c.other)
			v.Revision = 2
			now := start.Add(2 * time.Second)
			mapper.Tick(now, v)
			reason := zf.ReasonNone
			if c.action == zf.ActionReset {
				reason = zf.ReasonServerDead
			}
			tickUntil(mapper, v, now, now.Add(c.after))
			assertVerdict(t, mapper.Route(data(1, cookie, 2), now.Add(c.after)), c.action, reason)
		})
	}
}
