package zfroom_test

import (
	"math"
	"testing"
	"time"
	"unsafe"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfload"
	"zinniafront/core/zfroom"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

func view(name zf.ServerName, born time.Time) zf.ServerView {
	return zf.ServerView{
		Name:    name,
		Service: "orders",
		Centre:  "one",
		State:   zf.ServerWarm,
		Weight:  1,
		Allowed: true,
		Born:    born,
		Slots:   2,
	}
}

// load returns the load of a backend server with answers that took a time each.
func load(name zf.ServerName, answers int, took time.Duration) zf.ServerLoad {
	return zf.ServerLoad{
		Cookie:   zfcookie.CookieOf(name, start),
		Requests: answers,
		Answers:  answers,
		Busy:     time.Duration(answers) * took,
	}
}

func newTable(views ...zf.ServerView) *zfroom.Table {
	table := zfroom.New(zfroom.Config{
		CookieOf: zfcookie.CookieOf,
		Shares:   true,
	})
	table.SetServers(views)
	return table
}

func serverRow(t testing.TB, table *zfroom.Table, name zf.ServerName, born time.Time) zfroom.Row {
	t.Helper()
	row, ok := table.Server(zfcookie.CookieOf(name, born))
	zfassert.True(t, "row exists", ok)
	return row
}

// assertBetween fails the test unless a time is within bounds.
func assertBetween(t testing.TB, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Fatalf("%s: got %v, want %v to %v", what, got, low, high)
	}
}

func TestLearnedBySeveralInstances(t *testing.T) {
	table := newTable(view("a", start), view("b", start), view("c", start))
	loads := zfload.New()
	loads.Record([]zf.ServerLoad{load("a", 30, 60*time.Millisecond), load("c", 30, 20*time.Millisecond)}, start)
	loads.Record([]zf.ServerLoad{load("b", 30, 60*time.Millisecond), load("c", 30, 20*time.Millisecond)}, start)
	table.SetLoads(loads.Total(start), start)
	for _, name := range []zf.ServerName{"a", "b"} {
		assertBetween(t, "slow at one instance", serverRow(t, table, name, start).Time, 50*time.Millisecond, 60*time.Millisecond)
	}
	assertBetween(t, "fast at both", serverRow(t, table, "c", start).Time, 15*time.Millisecond, 25*time.Millisecond)
}

func TestRestart(t *testing.T) {
	table := newTable(view("a", start), view("b", start))
	learned := []zf.ServerLoad{load("a", 30, 100*time.Millisecond), load("b", 90, 20*time.Millisecond)}
	table.SetLoads(learned, start)
	assertBetween(t, "learned", serverRow(t, table, "a", start).Time, 70*time.Millisecond, 100*time.Millisecond)
	again := start.Add(time.Minute)
	table.SetServers([]zf.ServerView{view("a", again), view("b", start)})
	assertBetween(t, "another incarnation", serverRow(t, table, "a", again).Time, 20*time.Millisecond, 50*time.Millisecond)
	_, ok := table.Server(zfcookie.CookieOf("a", start))
	zfassert.True(t, "the earlier one is removed", !ok)
}

func TestFewAnswers(t *testing.T) {
	table := newTable(view("a", start), view("b", start))
	table.SetLoads([]zf.ServerLoad{load("a", 90, 20*time.Millisecond), load("b", 1, 200*time.Millisecond)}, start)
	assertBetween(t, "one slow answer", serverRow(t, table, "b", start).Time, 20*time.Millisecond, 90*time.Millisecond)
	table.SetLoads([]zf.ServerLoad{load("a", 90, 20*time.Millisecond)}, start.Add(time.Second))
	assertBetween(t, "forgotten", serverRow(t, table, "b", start).Time, 15*time.Millisecond, 25*time.Millisecond)
}

func TestBounds(t *testing.T) {
	table := newTable(view("a", start), view("b", start), view("c", start))
	table.SetLoads([]zf.ServerLoad{
		load("a", 100, 20*time.Millisecond),
		load("b", 100, time.Microsecond),
		load("c", 10, 10*time.Second),
	}, start)
	mean := serverRow(t, table, "a", start).Time
	zfassert.True(t, "a fast one has half the mean at least", serverRow(t, table, "b", start).Time >= mean/2)
	for range 100 {
		table.SetLoads([]zf.ServerLoad{load("a", 100, 0), load("b", 100, 0), load("c", 100, 0)}, start)
	}
	zfassert.True(t, "answers without work leave a time", serverRow(t, table, "a", start).Time > 0)
	for range 10 {
		table.SetLoads(nil, start)
	}
	assertBetween(t, "without loads", serverRow(t, table, "c", start).Wait, 0, serverRow(t, table, "c", start).Time)
}

func TestColdServers(t *testing.T) {
	cold := view("b", start)
	cold.State = zf.ServerCold
	cold.Weight = 0.5
	table := newTable(view("a", start), cold)
	warm := serverRow(t, table, "a", start)
	zfassert.Equal(t, "time", serverRow(t, table, "b", start).Time, 2*warm.Time)
	zfassert.True(t, "share", serverRow(t, table, "b", start).Share < warm.Share)
}

func TestRooms(t *testing.T) {
	out, remote := view("b", start), view("c", start)
	out.Allowed = false
	remote.Centre = "two"
	table := newTable(view("a", start), out, remote)
	busy := load("a", 90, 20*time.Millisecond)
	busy.Bytes = 90 * 600
	busy.Rejected = 25
	table.SetLoads([]zf.ServerLoad{busy}, start)
	rooms := table.Rooms(start.Add(time.Second))
	zfassert.Equal(t, "rooms", len(rooms), 2)
	zfassert.Equal(t, "usable servers", rooms[0].Servers, 1)
	zfassert.Equal(t, "demand", rooms[0].Demand, 30.0)
	zfassert.Equal(t, "bytes", rooms[0].Bytes, 600)
	zfassert.Equal(t, "time of an answer", rooms[0].Answer, 20*time.Millisecond)
	zfassert.Equal(t, "share rejected", rooms[0].Rejected, 0.2)
	zfassert.Equal(t, "no share rejected elsewhere", rooms[1].Rejected, 0.0)
	zfassert.Equal(t, "age", rooms[0].Age, time.Second)
	zfassert.Equal(t, "centre", rooms[1].Centre, zf.CentreName("two"))
	zfassert.Equal(t, "demand elsewhere", rooms[1].Demand, 0.0)
	zfassert.True(t, "room elsewhere", rooms[1].Room > 50)
}

// TestBurst replays five times the requests from one second to the next, reported by four
// instances.
func TestBurst(t *testing.T) {
	table := newTable(view("a", start))
	loads := zfload.New()
	now := start
	report := func(requests int) zf.ServiceRoom {
		for range 4 {
			now = now.Add(250 * time.Millisecond)
			loads.Record([]zf.ServerLoad{load("a", requests/4, 20*time.Millisecond)}, now)
		}
		table.SetLoads(loads.Total(now), now)
		return table.Rooms(now)[0]
	}
	for range 20 {
		report(40)
	}
	steady := report(40)
	zfassert.AtMost(t, "steady demand", steady.Demand, 44)
	zfassert.True(t, "steady demand", steady.Demand > 36)
	burst := report(200)
	zfassert.True(t, "demand after a second", burst.Demand > 160)
	zfassert.True(t, "wait after a second", burst.Wait > 100*time.Millisecond)
	for range 2 {
		burst = report(40)
	}
	zfassert.AtMost(t, "demand after the burst", burst.Demand, 60)
}

func TestCurve(t *testing.T) {
	for _, slots := range []int{0, 1, 2, 64, 1000} {
		curve := zfroom.CurveOf(slots)
		before := -1.0
		for use := 0.0; use < 3; use += 0.01 {
			wait := curve.At(use)
			zfassert.True(t, "the wait grows", wait > before)
			before = wait
		}
		zfassert.AtMost(t, "the wait is finite", before, 1000)
	}
}

func TestRowSize(t *testing.T) {
	t.Logf("bytes of a row: %d", unsafe.Sizeof(zfroom.Row{}))
	zfassert.AtMost(t, "bytes of a row", float64(unsafe.Sizeof(zfroom.Row{})), 256)
}

// TestManySlotsFewRequests replays so low a load that no wait can be expressed.
func TestManySlotsFewRequests(t *testing.T) {
	fast, slow := view("a", start), view("b", start)
	fast.Slots, slow.Slots = 64, 64
	table := newTable(fast, slow)
	table.SetLoads([]zf.ServerLoad{load("a", 20, 20*time.Millisecond), load("b", 20, 60*time.Millisecond)}, start)
	zfassert.Equal(t, "share of the fast one", serverRow(t, table, "a", start).Share, 1.0)
	share := serverRow(t, table, "b", start).Share
	zfassert.True(t, "share of the slow one", share >= 1.0/16 && share < 1)
}

// TestUnusableLoads checks loads that only a faulty instance sends.
func TestUnusableLoads(t *testing.T) {
	for _, c := range []struct {
		name string
		load zf.ServerLoad
	}{
		{
			name: "negative",
			load: zf.ServerLoad{
				Requests: -90,
				Answers:  -2,
				Rejected: -90,
				Busy:     -time.Hour,
				Bytes:    -1,
			},
		},
		{
			name: "longest answers",
			load: zf.ServerLoad{
				Requests: 90,
				Answers:  1,
				Busy:     math.MaxInt64,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(view("a", start), view("b", start))
			c.load.Cookie = zfcookie.CookieOf("a", start)
			for range 100 {
				table.SetLoads([]zf.ServerLoad{c.load}, start)
			}
			room := table.Rooms(start)[0]
			zfassert.True(t, "room", room.Room > 0 && room.Room < 1000)
			zfassert.True(t, "demand", room.Demand >= 0)
			zfassert.True(t, "wait", room.Wait >= 0 && room.Wait < time.Hour)
			zfassert.True(t, "share rejected", room.Rejected >= 0)
			for _, name := range []zf.ServerName{"a", "b"} {
				row := serverRow(t, table, name, start)
				assertBetween(t, "service time", row.Time, 0, time.Hour)
				zfassert.True(t, "share", row.Share > 0 && row.Share <= 1)
			}
		})
	}
}
