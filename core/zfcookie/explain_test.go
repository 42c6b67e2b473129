package zfcookie_test

import (
	"cmp"
	"slices"
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
	t.Run("a flow stays if the data centre that it would leave for is passed over", func(t *testing.T) {
		mapper := newMapper(departingView(1, row(1, "orders", "one"), row(2, "orders", "two")))
		zfassert.Equal(t, "destination", mapper.Explain(flow(1), start).Destination, zf.CentreName("two"))
		mapper.Route(opening(1, 0), start)
		mapper.Route(opening(1, 1), start)
		explanation := mapper.Explain(flow(2), start)
		zfassert.Equal(t, "backend server", explanation.Attempts[0].Server, zf.ServerName("s1"))
		zfassert.Equal(t, "destination", explanation.Destination, zf.CentreName(""))
	})
	t.Run("it names those that take no new flows", func(t *testing.T) {
		draining, out, gone := row(2, "orders", "one"), row(3, "orders", "two"), row(4, "orders", "one")
		draining.State, draining.Weight = zf.ServerDraining, 0
		out.Allowed, out.Late = false, true
		gone.State, gone.Weight = zf.ServerGone, 0
		candidates := newMapper(view(row(1, "orders", "one"), draining, out, gone)).Explain(flow(1), start).Attempts[0].Candidates
		zfassert.Equal(t, "candidates", len(candidates), 3)
		for i, want := range []zf.Exclusion{zf.ExclusionNone, zf.ExclusionDraining, zf.ExclusionEvacuated} {
			zfassert.Equal(t, "passed over", candidates[i].PassedOver, want)
		}
		zfassert.True(t, "late", candidates[2].Late)
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

// byServer sorts verdicts by backend server; those of one stay in their order.
func byServer(verdicts []zf.OpeningVerdict) []zf.OpeningVerdict {
	slices.SortStableFunc(verdicts, func(a, b zf.OpeningVerdict) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(a.Server, b.Server))
	})
	return verdicts
}

// TestExplanationUnderLoad explains all openings of loads in which verdicts, probes and rates
// change, and replays each load without explanations.
func TestExplanationUnderLoad(t *testing.T) {
	refusing := closedCentre("one", learning, 2*time.Second)
	departing := centreView(false)
	departing.Departures = departingView(0.5).Departures
	cold := centreView(false)
	for i := range centreSize {
		cold.Servers[i].State, cold.Servers[i].OpeningRate = zf.ServerCold, 2
	}
	for name, load := range map[string]openingLoad{
		"a data centre refuses new flows and comes back": {
			view:   centreView(false),
			closed: refusing,
		},
		"callers behind few addresses meet closed ports": {
			view:    centreView(false),
			closed:  refusing,
			address: func(n int) int { return n % 3 },
		},
		"a data centre is silent": {
			view:   centreView(false),
			silent: refusing,
		},
		"the data centre that flows leave for is silent": {
			view:   departing,
			silent: closedCentre("two", learning, 2*time.Second),
		},
		"the data centre that flows leave for refuses them": {
			view:   departing,
			closed: closedCentre("two", learning, 2*time.Second),
		},
		"backend servers are cold": {
			view: cold,
		},
		"half of the backend servers refuse": {
			view:   centreView(false),
			closed: func(server zf.ServerView, at time.Duration) bool { return server.Number%2 == 0 && at >= learning },
		},
	} {
		load.pause = 10 * time.Millisecond
		t.Run(name, func(t *testing.T) {
			plain := load.run(learning + 5*time.Second)
			load.explained = true
			explained := load.run(learning + 5*time.Second)
			t.Run("packets go where it says", func(t *testing.T) { zfassert.Equal(t, "misexplained", explained.misexplained, 0) })
			t.Run("it leaves no trace", func(t *testing.T) {
				zfassert.True(t, "the same backend servers", slices.Equal(explained.chosen, plain.chosen))
				zfassert.True(t, "the same verdicts", slices.Equal(byServer(explained.verdicts), byServer(plain.verdicts)))
			})
		})
	}
}

// TestExplainedCopies replays opening packets of which none has an answer.
func TestExplainedCopies(t *testing.T) {
	cold := centreView(false)
	for i := range centreSize / 2 {
		cold.Servers[i].State, cold.Servers[i].OpeningRate = zf.ServerCold, 0.1
	}
	sent := []time.Duration{0, retransmissionDelays[0], retransmissionDelays[1]}
	assertCopies := func(t testing.TB, mapper *zfcookie.Mapper, v zf.View, port int) {
		t.Helper()
		for n := range 4 * centreSize { // Those that are cold get their new flows.
			mapper.Route(openingOf(n, 30000+n), start)
		}
		attempts := mapper.Explain(flow(port), start).Attempts
		zfassert.Equal(t, "attempts", len(attempts), len(sent))
		for at := time.Duration(0); at <= sent[len(sent)-1]; at += maintenance {
			mapper.Tick(start.Add(at), v)
			if copies := slices.Index(sent, at); copies >= 0 {
				verdict := mapper.Route(opening(port, copies), start.Add(at))
				zfassert.Equal(t, "backend server", attempts[copies].Server, v.Servers[verdict.Number-1].Name)
			}
		}
	}
	for name, v := range map[string]zf.View{
		"all stay":                 centreView(false),
		"half of new flows leave":  departingView(0.5, centreView(false).Servers...),
		"backend servers are cold": cold,
	} {
		t.Run(name, func(t *testing.T) {
			for port := range 100 {
				assertCopies(t, newMapper(v), v, port)
			}
		})
		t.Run(name+" with evidence from openings", func(t *testing.T) {
			for port := range 100 {
				assertCopies(t, newOpeningMapper(v), v, port)
			}
		})
	}
}

// maintenance is the time between two runs of the periodic tasks.
const maintenance = 100 * time.Millisecond
