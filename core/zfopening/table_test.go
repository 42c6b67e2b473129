package zfopening_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
	"zinniafront/core/zfopening"
	"zinniafront/lab/zfassert"
)

const (
	roundTrip = 4 * time.Millisecond
	// usual is the number of openings that are followed before a test begins.
	usual = 40
)

// world is an instance that opens flows at the backend servers of data centres.
type world struct {
	table   *zfopening.Table
	servers map[zf.CentreName][]*zfopening.Server
	now     time.Time
	port    uint16
}

// newWorld returns a world with four backend servers in each data centre, where openings
// were followed as usual.
func newWorld(centres ...zf.CentreName) *world {
	w := &world{
		table:   zfopening.New(),
		servers: make(map[zf.CentreName][]*zfopening.Server),
		now:     time.Unix(1_700_000_000, 0),
	}
	for _, name := range centres {
		centre := w.table.Centre(name)
		for range 4 {
			w.servers[name] = append(w.servers[name], centre.NewServer())
		}
	}
	for n := range usual {
		w.follow(w.servers[centres[n%len(centres)]][n%4], byte(n))
	}
	return w
}

// attempt returns an opening packet of a caller from a new port.
func (w *world) attempt(caller byte) zfopening.Attempt {
	w.port++
	flow := zf.Flow{
		Protocol:    zf.ProtocolTCP,
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, caller}), w.port),
		Destination: netip.MustParseAddrPort("198.51.100.1:443"),
	}
	return w.table.Begin(&flow, zfflow.Hash(1, flow), false, w.now)
}

func (w *world) open(s *zfopening.Server, caller byte) zfopening.Ticket {
	attempt := w.attempt(caller)
	return w.table.Record(&attempt, s, w.now)
}

// follow opens a flow, and its next packet arrives.
func (w *world) follow(s *zfopening.Server, caller byte) {
	ticket := w.open(s, caller)
	w.now = w.now.Add(roundTrip)
	w.table.Followed(ticket, w.now)
}

// fail opens flows of callers at a backend server, and no packets follow, while another
// flow opens in data centre two.
func (w *world) fail(s *zfopening.Server, callers ...byte) {
	for _, caller := range callers {
		w.open(s, caller)
	}
	w.pass(time.Second / 5)
	w.follow(w.servers["two"][3], 200)
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.table.Expire(w.now)
}

// may reports whether a new flow of a new caller may go to a backend server, other than
// as a probe.
func (w *world) may(s *zfopening.Server) bool {
	attempt := w.attempt(250)
	attempt.Retry = true
	return s.May(&attempt, w.now)
}

func assertMay(t testing.TB, w *world, s *zfopening.Server, want bool) {
	t.Helper()
	zfassert.Equal(t, "may get new flows", w.may(s), want)
}

func TestServer(t *testing.T) {
	run := func(loads map[string]func(w *world, s *zfopening.Server), may bool) {
		for name, load := range loads {
			t.Run(name, func(t *testing.T) {
				w := newWorld("one", "two")
				load(w, w.servers["one"][0])
				assertMay(t, w, w.servers["one"][0], may)
			})
		}
	}
	run(map[string]func(w *world, s *zfopening.Server){
		"one lost packet":                    func(w *world, s *zfopening.Server) { w.fail(s, 1) },
		"a caller goes away with many flows": func(w *world, s *zfopening.Server) { w.fail(s, 1, 1, 1, 1, 1) },
		"a followed opening between two":     func(w *world, s *zfopening.Server) { w.fail(s, 1); w.follow(s, 9); w.fail(s, 2) },
		"one followed opening ends it":       func(w *world, s *zfopening.Server) { w.fail(s, 1, 2); w.follow(s, 9) },
		"it expires without evidence":        func(w *world, s *zfopening.Server) { w.fail(s, 1, 2); w.pass(3 * time.Second) },
		"an instance that is cut off":        func(w *world, s *zfopening.Server) { w.open(s, 1); w.open(s, 2); w.pass(time.Second) },
		"openings before a suspension":       func(w *world, s *zfopening.Server) { w.open(s, 1); w.table.Discard(); w.fail(s, 2) },
		"a next packet that is late ends it": func(w *world, s *zfopening.Server) { late := w.open(s, 1); w.fail(s, 2); w.table.Followed(late, w.now) },
		"an instance that sees no next packets": func(w *world, s *zfopening.Server) {
			for caller := range byte(200) {
				w.open(s, caller)
				w.pass(time.Second / 5)
			}
			w.pass(4 * time.Second)
			w.fail(s, 1, 2)
		},
	}, true)
	run(map[string]func(w *world, s *zfopening.Server){
		"openings of two callers lead nowhere": func(w *world, s *zfopening.Server) { w.fail(s, 1, 2) },
	}, false)
	t.Run("it is probed once an interval, by no retry", func(t *testing.T) {
		w := newWorld("one", "two")
		s := w.servers["one"][0]
		w.fail(s, 1, 2)
		early := w.attempt(3)
		zfassert.True(t, "no probe at once", !s.May(&early, w.now))
		w.pass(2 * time.Second)
		w.fail(w.servers["two"][0], 1)
		probe, retry := w.attempt(3), w.attempt(1)
		zfassert.True(t, "a retry is no probe", retry.Retry && !s.May(&retry, w.now))
		zfassert.True(t, "a probe", s.May(&probe, w.now) && s.Acquire(w.now))
		zfassert.True(t, "no second probe", !s.May(&probe, w.now))
	})
}

func TestRetry(t *testing.T) {
	t.Run("a retry avoids the backend servers of both tries before, and then their data centre", func(t *testing.T) {
		w := newWorld("one", "two")
		for _, s := range w.servers["one"][:2] {
			w.open(s, 1)
			w.pass(2 * roundTrip)
		}
		retry := w.attempt(1)
		zfassert.True(t, "avoids", retry.Retry && retry.Avoids(w.servers["one"][0]) && retry.Avoids(w.servers["one"][1]))
		zfassert.True(t, "the same data centre", !w.servers["one"][2].May(&retry, w.now))
		zfassert.True(t, "the other one", w.servers["two"][2].May(&retry, w.now))
	})
	for name, pause := range map[string]time.Duration{
		"parallel flows of a caller": roundTrip / 2,
		"a flow long after":          2 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld("one")
			w.open(w.servers["one"][0], 1)
			w.now = w.now.Add(pause)
			zfassert.Equal(t, "retry", w.attempt(1).Retry, false)
		})
	}
}

// failCentre has openings of three callers at three backend servers lead nowhere.
func (w *world) failCentre(name zf.CentreName) {
	for n := range byte(3) {
		w.open(w.servers[name][n], n+1)
	}
	w.pass(time.Second / 5)
}

// refuse has data centre one refuse new flows while those of data centre two open.
func (w *world) refuse() {
	w.failCentre("one")
	w.follow(w.servers["two"][0], 9)
	w.may(w.servers["one"][3]) // The next opening evaluates the evidence.
}

func TestCentre(t *testing.T) {
	for name, load := range map[string]func(w *world){
		"one caller goes away with flows at all of them": func(w *world) {
			w.fail(w.servers["one"][0], 1)
			w.fail(w.servers["one"][1], 1)
			w.fail(w.servers["one"][2], 1)
		},
		"two dead backend servers":    func(w *world) { w.fail(w.servers["one"][0], 1, 2); w.fail(w.servers["one"][1], 1, 2) },
		"an instance that is cut off": func(w *world) { w.failCentre("one"); w.failCentre("two") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld("one", "two")
			load(w)
			zfassert.Equal(t, "verdicts", len(w.table.CentreChanges(w.now)), 0)
		})
	}
	t.Run("it is probed sparingly, by no retry", func(t *testing.T) {
		w := newWorld("one", "two")
		w.refuse()
		probes := 0
		for n := range 200 { // A new flow each 5 ms, for a second.
			w.now = w.now.Add(5 * time.Millisecond)
			attempt := w.attempt(byte(n))
			if s := w.servers["one"][3]; s.May(&attempt, w.now) && s.Acquire(w.now) {
				zfassert.True(t, "no retry", !attempt.Retry)
				probes++
			}
		}
		zfassert.Equal(t, "probes a second", probes, 1)
	})
}

// shareOf returns the share of the same 1,000 new flows that may go to a data centre.
func (w *world) shareOf(name zf.CentreName) float64 {
	allowed := 0
	defer func(port uint16) { w.port = port }(w.port)
	w.port = 10000
	for n := range 1000 {
		attempt := w.attempt(byte(100 + n%100))
		if w.servers[name][3].May(&attempt, w.now) {
			allowed++
		}
	}
	return float64(allowed) / 1000
}

// returnOf returns the shares of new flows of a data centre from its first followed probe
// on, each 100 ms, while the openings that go there are followed.
func (w *world) returnOf(name zf.CentreName, d time.Duration) []float64 {
	var shares []float64
	for range int(d / (100 * time.Millisecond)) {
		w.follow(w.servers[name][3], 9)
		shares = append(shares, w.shareOf(name))
		w.now = w.now.Add(100*time.Millisecond - roundTrip)
	}
	return shares
}

func TestReturn(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run("new flows return in steps after an outage of "+outage.String(), func(t *testing.T) {
			w := newWorld("one", "two")
			for end := w.now.Add(outage); w.now.Before(end); {
				w.refuse()
			}
			shares := w.returnOf("one", 2*time.Second)
			zfassert.AtMost(t, "first share", shares[0], 0.2)
			for n := 1; n < len(shares); n++ {
				zfassert.True(t, "shares grow in steps", shares[n] >= shares[n-1] && shares[n] <= 2.5*shares[n-1])
			}
			zfassert.Equal(t, "last share", shares[len(shares)-1], 1.0)
		})
	}
	t.Run("all of them only once no backend server is cold", func(t *testing.T) {
		w := newWorld("one", "two")
		w.refuse()
		w.table.Centre("one").SetCold(true)
		shares := w.returnOf("one", 3*time.Second)
		zfassert.AtMost(t, "share while cold", shares[len(shares)-1], 0.6)
		w.table.Centre("one").SetCold(false)
		shares = w.returnOf("one", time.Second)
		zfassert.Equal(t, "share when warm", shares[len(shares)-1], 1.0)
	})
	t.Run("without any evidence the verdict expires", func(t *testing.T) {
		w := newWorld("one", "two")
		w.refuse()
		for _, d := range []time.Duration{3500 * time.Millisecond, 10 * time.Second} {
			w.pass(d)
			w.table.CentreChanges(w.now)
		}
		zfassert.Equal(t, "share", w.shareOf("one"), 1.0)
	})
}

// TestPeek explains a flow when the verdict on a data centre has expired.
func TestPeek(t *testing.T) {
	w := newWorld("one", "two")
	w.refuse()
	w.pass(3500 * time.Millisecond)
	flow := zf.Flow{
		Source: netip.MustParseAddrPort("100.64.0.250:1"),
	}
	for hash := range uint64(100) {
		peeked := w.table.Peek(&flow, hash<<57, false, w.now)
		w.servers["one"][0].May(&peeked, w.now)
	}
	w.pass(10100 * time.Millisecond)
	zfassert.AtMost(t, "share, as the return begins now", w.shareOf("one"), 0.2)
}

func TestSums(t *testing.T) {
	for _, c := range []struct {
		name     string
		unopened int
		others   int
		may      bool
	}{
		{name: "other instances' openings lead nowhere", unopened: 6},
		{name: "too small a sample", unopened: 3, may: true},
		{name: "so do those at the other backend servers", unopened: 6, others: 60, may: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld("one")
			w.pass(2 * time.Second)
			s := w.servers["one"][0]
			sums := []zfopening.Sum{
				{Server: s, Opened: 4, Unopened: c.unopened},
				{Server: w.servers["one"][1], Opened: 100, Unopened: c.others},
			}
			w.table.SetSums(sums, w.now)
			assertMay(t, w, s, c.may)
			w.follow(s, 1)
			w.table.SetSums(sums, w.now)
			assertMay(t, w, s, true) // What was just seen here goes first.
		})
	}
}
