package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
)

// TestLateAnswer guards against resets of flows of a backend server that answered an opening
// packet only after a copy of it had gone to another one.
func TestLateAnswer(t *testing.T) {
	late := func(number uint64) zf.ServerView {
		server := row(number, "orders", "one")
		server.Late = true
		return server
	}
	for _, c := range []struct {
		name   string
		copies int
		action zf.Action
		reason zf.Reason
	}{
		{
			name:   "answered before a copy",
			action: zf.ActionForward,
		},
		{
			name:   "answered after a copy",
			copies: 1,
			action: zf.ActionForward,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := view(late(1), late(2))
			mapper := newMapper(v)
			first := mapper.Route(opening(1, 0), start)
			if c.copies > 0 {
				mapper.Route(opening(1, 1), start.Add(200*time.Millisecond))
			}
			request := data(1, first.Cookie, 1)
			answered := start.Add(210 * time.Millisecond)
			assertForward(t, mapper.Route(request, answered))
			tick(mapper, v, answered, 200*time.Millisecond)
			assertForward(t, mapper.Route(request, answered.Add(200*time.Millisecond)))
			tick(mapper, v, answered.Add(200*time.Millisecond), 200*time.Millisecond)
			got := mapper.Route(data(2, first.Cookie, 1), answered.Add(410*time.Millisecond))
			assertVerdict(t, got, c.action, c.reason)
			assertEnded(t, mapper)
		})
	}
}
