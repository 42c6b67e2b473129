package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

func TestDeadServer(t *testing.T) {
	late := row(1, "orders", "one")
	late.Late = true
	for _, c := range []struct {
		name   string
		server zf.ServerView
		repeat int
		// pause is the time between two retransmissions.
		pause  time.Duration
		answer bool
		// next has the same flow send a request that acknowledges the answer.
		next bool
		// suspend is how long the instance is suspended before its next tick.
		suspend time.Duration
		// early has a retransmission that was queued during the suspension be read
		// before the tick.
		early  bool
		action zf.Action
	}{
		{
			name:   "unanswered packets alone reset no flow",
			server: row(1, "orders", "one"),
			repeat: 5,
			pause:  200 * time.Millisecond,
			action: zf.ActionForward,
		},
		{
			name:   "overdue heartbeats alone reset no flow",
			server: late,
			action: zf.ActionForward,
		},
		{
			name:   "one lost packet resets no flow",
			server: late,
			repeat: 1,
			pause:  200 * time.Millisecond,
			action: zf.ActionForward,
		},
		{
			name:   "retransmissions received at once reset no flow",
			server: late,
			repeat: 5,
			action: zf.ActionForward,
		},
		{
			name:   "answers that may only be late reset no flow",
			server: late,
			repeat: 2,
			pause:  150 * time.Millisecond,
			action: zf.ActionForward,
		},
		{
			name:   "unanswered packets and overdue heartbeats reset the flow",
			server: late,
			repeat: 2,
			pause:  200 * time.Millisecond,
			action: zf.ActionReset,
		},
		{
			name:    "packets queued during a suspension reset no flow",
			server:  late,
			repeat:  2,
			pause:   200 * time.Millisecond,
			suspend: time.Second,
			action:  zf.ActionForward,
		},
		{
			name:    "packets that are read before the first tick after a suspension reset no flow",
			server:  late,
			repeat:  1,
			pause:   200 * time.Millisecond,
			suspend: time.Second,
			early:   true,
			action:  zf.ActionForward,
		},
		{
			name:   "an answer to any caller prevents the reset",
			server: late,
			repeat: 2,
			pause:  200 * time.Millisecond,
			answer: true,
			action: zf.ActionForward,
		},
		{
			name:   "a request that acknowledges an answer prevents the reset",
			server: late,
			repeat: 2,
			pause:  200 * time.Millisecond,
			next:   true,
			action: zf.ActionForward,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			mapper := newMapper(view(c.server))
			cookie := zfcookie.CookieOf("s1", start)
			now := start
			for range c.repeat + 1 {
				mapper.Route(data(1, cookie, 7), now)
				now = tickUntil(mapper, view(c.server), now, now.Add(c.pause))
			}
			if c.suspend > 0 {
				now = now.Add(c.suspend)
				if c.early {
					zfassert.Equal(t, "action before the tick", mapper.Route(data(1, cookie, 7), now).Action, c.action)
				}
				mapper.Tick(now, view(c.server))
			}
			if c.answer {
				mapper.Route(zf.Packet{
					Flow:   flow(2),
					Cookie: cookie,
				}, now)
			}
			if c.next {
				next := data(1, cookie, 107)
				next.Acknowledged = 50
				mapper.Route(next, now)
			}
			zfassert.Equal(t, "action", mapper.Route(data(3, cookie, 1), now).Action, c.action)
		})
	}
}

// TestOldMisses guards against resets of a living backend server's flows when a heartbeat is
// overdue long after requests to it were unanswered.
func TestOldMisses(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration
		action zf.Action
	}{
		{
			name:   "unanswered requests since the last heartbeat",
			age:    2 * time.Second,
			action: zf.ActionReset,
		},
		{
			name:   "unanswered requests long before the last heartbeat",
			age:    20 * time.Second,
			action: zf.ActionForward,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := view(row(1, "orders", "one"))
			mapper := newMapper(v)
			now := start
			sendRequest(mapper, 2, "s1", now)
			for range 3 {
				sendRequest(mapper, 1, "s1", now)
				now = tickUntil(mapper, v, now, now.Add(300*time.Millisecond))
			}
			now = tickUntil(mapper, v, now, now.Add(c.age))
			mapper.Route(data(2, zfcookie.CookieOf("s1", start), 107), now)
			overdue := row(1, "orders", "one")
			overdue.Late = true
			v = view(overdue)
			v.Revision = 2
			now = tickUntil(mapper, v, now, now.Add(300*time.Millisecond))
			zfassert.Equal(t, "a flow is ended", len(mapper.EndedFlows()) > 0, c.action == zf.ActionReset)
			zfassert.Equal(t, "action", mapper.Route(data(3, zfcookie.CookieOf("s1", start), 1), now).Action, c.action)
		})
	}
}
