package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfroom"
	"zinniafront/lab/zfassert"
)

// explainedMapper returns a mapper with all parts that decide on new flows, of which a share
// leaves and another is turned away. A backend server is cold.
func explainedMapper() *zfcookie.Mapper {
	cold := row(4, "orders", "one")
	cold.State = zf.ServerCold
	cold.OpeningRate = 1
	v := departingView(0.3, row(1, "orders", "one"), row(2, "orders", "one"), row(3, "orders", "one"), cold,
		row(5, "orders", "two"), row(6, "orders", "two"))
	v.Routes[0].Target = 400 * time.Millisecond
	v.Limits = []zf.AdmissionLimit{{
		Service: "orders",
		Share:   0.8,
	}}
	mapper := zfcookie.New(zfcookie.Config{
		Seed:      1,
		Cost:      zfroom.Cost{},
		Learn:     true,
		Openings:  true,
		Admission: zfadmission.NewCallers(zfadmission.Config{}),
	})
	mapper.Tick(start, v)
	return mapper
}

// assertExplained explains a flow, sends its opening packet and compares both.
func assertExplained(t testing.TB, mapper *zfcookie.Mapper, port int, now time.Time) zf.Explanation {
	t.Helper()
	explanation := mapper.Explain(flow(port), now)
	verdict := mapper.Route(opening(port, 0), now)
	first := explanation.Attempts[0]
	zfassert.Equal(t, "action", first.Action, verdict.Action)
	zfassert.Equal(t, "reason", first.Reason, verdict.Reason)
	if verdict.Action == zf.ActionForward {
		zfassert.Equal(t, "backend server", first.Server, zf.ServerName("s"+string(rune('0'+verdict.Number))))
	}
	return explanation
}

func TestExplanation(t *testing.T) {
	t.Run("it is the verdict on a packet sent right after", func(t *testing.T) {
		mapper, away, turnedAway := explainedMapper(), 0, 0
		now := start
		for port := range 400 {
			now = now.Add(5 * time.Millisecond)
			explanation := assertExplained(t, mapper, port, now)
			if explanation.Destination == "two" {
				away++
			}
			if explanation.Attempts[0].Reason == zf.ReasonNoRoom {
				turnedAway++
			}
		}
		zfassert.True(t, "some leave and some are turned away", away > 0 && turnedAway > 0)
	})
	t.Run("it leaves no trace", func(t *testing.T) {
		explained, plain := explainedMapper(), explainedMapper()
		now := start
		for port := range 200 {
			now = now.Add(5 * time.Millisecond)
			for range 5 {
				explained.Explain(flow(port), now)
			}
			zfassert.Equal(t, "verdict", explained.Route(opening(port, 0), now), plain.Route(opening(port, 0), now))
		}
	})
	t.Run("it names what copies would meet and why others are passed over", func(t *testing.T) {
		explanation := newMapper(view(row(1, "orders", "one"), row(2, "orders", "one"))).Explain(flow(1), start)
		zfassert.Equal(t, "attempts", len(explanation.Attempts), 3)
		first, copied := explanation.Attempts[0], explanation.Attempts[1]
		zfassert.True(t, "the copy goes elsewhere", first.Server != copied.Server)
		for _, candidate := range copied.Candidates {
			if candidate.Server == first.Server {
				zfassert.Equal(t, "passed over", candidate.PassedOver, zf.ExclusionPrevious)
			}
		}
	})
	t.Run("an unknown route has no attempts", func(t *testing.T) {
		unknown := flow(1)
		unknown.Destination = unknown.Source
		explanation := explainedMapper().Explain(unknown, start)
		zfassert.True(t, "unknown", !explanation.RouteKnown && len(explanation.Attempts) == 0)
	})
	t.Run("a service without backend servers is reset", func(t *testing.T) {
		explanation := newMapper(view()).Explain(flow(1), start)
		zfassert.Equal(t, "reason", explanation.Attempts[0].Reason, zf.ReasonNoServer)
	})
}
