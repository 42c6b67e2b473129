package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// TestSilentReceiver guards against resets of flows of a backend server that lives, while the
// control instance that receives its heartbeats is cut off from the others.
func TestSilentReceiver(t *testing.T) {
	inferred := row(1, "orders", "one")
	inferred.Late = true
	inferred.Inferred = true
	for _, c := range []struct {
		name string
		// answers has another backend server of the data centre answer meanwhile.
		answers bool
	}{
		{
			name:    "a slow request resets no flow",
			answers: true,
		},
		{
			name: "nor where no other backend server of the data centre is asked",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := view(inferred, row(2, "orders", "one"))
			mapper := newMapper(v)
			now := start
			sendRequest(mapper, 2, "s1", now)
			var verdict zf.Verdict
			for _, pause := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
				now = tickUntil(mapper, v, now, now.Add(pause))
				if c.answers {
					mapper.Route(acknowledgement(zfcookie.CookieOf("s2", start), uint32(pause)), now)
				}
				verdict = mapper.Route(data(1, zfcookie.CookieOf("s1", start), 1), now)
			}
			zfassert.Equal(t, "action", verdict.Action, zf.ActionForward)
			tickUntil(mapper, v, now, now.Add(300*time.Millisecond))
			zfassert.Equal(t, "flows that were ended", len(mapper.EndedFlows()), 0)
		})
	}
}
