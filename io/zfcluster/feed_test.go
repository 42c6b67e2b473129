package zfcluster_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrestoration"
	"zinniafront/core/zfrotation"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

// testFeedData is a FeedData whose data tests set.
type testFeedData struct {
	registry      *zfregistry.Table
	published     zfcluster.PublishedState
	contact       time.Duration
	loads         []zf.ServerLoad
	figures       []zf.ServiceRoom
	departures    []zf.Departure
	stopPermitted bool
	mustWait      bool

	stepOutPermitted bool
	controls         []zfquorum.Node
	restorations     []zfrestoration.Restoration
}

func newTestFeedData() *testFeedData {
	return &testFeedData{
		registry: zfregistry.New(zfregistry.DefaultConfig(1, time.Second)),
	}
}

func (s *testFeedData) ContentRevision() uint64 { return s.registry.ContentRevision() }

func (s *testFeedData) Revision() uint64 { return s.registry.Revision() }

func (s *testFeedData) Since(cursor uint64, heartbeats bool, now time.Time) zfregistry.Changes {
	return s.registry.Since(cursor, heartbeats, now)
}

func (s *testFeedData) Diff(digests []uint64, first int, heartbeats bool, now time.Time) zfregistry.Changes {
	return s.registry.Diff(digests, first, heartbeats, now)
}

func (s *testFeedData) PublishedState() zfcluster.PublishedState { return s.published }

func (s *testFeedData) ContactAge(time.Time) time.Duration { return s.contact }

func (s *testFeedData) Loads(total bool, _ time.Time) []zf.ServerLoad {
	if total {
		return s.loads
	}
	return s.loads[:min(len(s.loads), 1)]
}

func (s *testFeedData) Figures(time.Time) []zf.ServiceRoom { return s.figures }

func (s *testFeedData) Departures(time.Time) (departures []zf.Departure, decides bool) {
	return s.departures, len(s.departures) > 0
}

func (s *testFeedData) StepOutPermitted(zf.InstanceName, zf.CentreName, time.Time) bool {
	return s.stepOutPermitted
}

func (s *testFeedData) Limits() []zf.AdmissionLimit {
	return []zf.AdmissionLimit{{
		Service: "orders",
		Share:   0.5,
	}}
}

func (s *testFeedData) StopPermitted(zf.InstanceName, time.Time) bool { return s.stopPermitted }

func (s *testFeedData) MayEnter(zf.InstanceName, zf.CentreName) bool { return !s.mustWait }

func (s *testFeedData) EntryCounts(time.Time) []zfrotation.Count {
	return []zfrotation.Count{{
		Centre: "one",
		Known:  1,
	}}
}

func (s *testFeedData) Restorations(time.Time) []zfrestoration.Restoration { return s.restorations }

func (s *testFeedData) Controls(time.Time) []zfquorum.Node { return s.controls }

func (s *testFeedData) announce(sequence uint64) {
	s.registry.Announce(zf.Announcement{
		Server:   "s1",
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		State:    zf.ServerWarm,
		Sequence: sequence,
		Born:     start,
	}, start)
}

func TestRestorations(t *testing.T) {
	data := newTestFeedData()
	data.restorations = []zfrestoration.Restoration{{
		Centre: "one",
		Age:    time.Second,
	}}
	for _, control := range []bool{false, true} {
		reply, _ := fetch(newFeed(data), zfcluster.FetchArgs{
			Instance: "a",
			Control:  control,
		}, start)
		zfassert.Equal(t, "restorations", reply.Restorations, data.restorations)
	}
}

func newFeed(s *testFeedData) *zfcluster.Feed {
	return newFeedOf(s, "")
}

// newFeedOf returns the feed of a control instance in a data centre.
func newFeedOf(s *testFeedData, centre zf.CentreName) *zfcluster.Feed {
	return zfcluster.NewFeed(zfcluster.FeedConfig{
		Source:     7,
		Data:       s,
		SharePeers: true,
		Centre:     centre,
	})
}

// fetch adds a fetch, has the feed answer and returns the reply, if there is one.
func fetch(feed *zfcluster.Feed, args zfcluster.FetchArgs, now time.Time) (zfcluster.FetchReply, bool) {
	reply := make(chan zfcluster.FetchReply, 1)
	feed.AddFetch(args, reply, now)
	feed.AnswerFetches(now)
	select {
	case r := <-reply:
		return r, true
	default:
		return zfcluster.FetchReply{}, false
	}
}

func assertHeld(t testing.TB, feed *zfcluster.Feed, args zfcluster.FetchArgs) {
	t.Helper()
	_, answered := fetch(feed, args, start)
	zfassert.True(t, "is held back", !answered)
}

func assertAnswered(t testing.TB, feed *zfcluster.Feed, args zfcluster.FetchArgs) zfcluster.FetchReply {
	t.Helper()
	reply, answered := fetch(feed, args, start)
	zfassert.True(t, "is answered", answered)
	return reply
}

func TestFeed(t *testing.T) {
	s := newTestFeedData()
	s.announce(1)
	s.published.Index = 3
	feed := newFeed(s)
	first := assertAnswered(t, feed, zfcluster.FetchArgs{
		Hold: time.Second,
	})
	args := zfcluster.FetchArgs{
		Source: first.Source,
		Cursor: first.Changes.Cursor,
		Index:  first.Index,
		Hold:   time.Second,
	}
	t.Run("the first fetch returns everything", func(t *testing.T) {
		zfassert.Equal(t, "backend servers", len(first.Changes.Updates), 1)
		zfassert.Equal(t, "index", first.Index, uint64(3))
	})
	t.Run("a fetch without changes is held back", func(t *testing.T) {
		assertHeld(t, feed, args)
	})
	t.Run("a heartbeat is no change for an entry instance", func(t *testing.T) {
		s.announce(2)
		assertHeld(t, feed, args)
	})
	t.Run("a fetch that waits for a stop permit is answered when the permit is granted", func(t *testing.T) {
		stopping := args
		stopping.Stopping = true
		assertHeld(t, feed, stopping)
		s.stopPermitted = true
		defer func() { s.stopPermitted = false }()
		zfassert.True(t, "turn", assertAnswered(t, feed, stopping).Turn)
		assertHeld(t, feed, args)
	})
	t.Run("so is one that waits for a permit to leave the rotation, but not one that renews it", func(t *testing.T) {
		overloaded := args
		overloaded.Ready = true
		overloaded.StepOut = true
		assertHeld(t, feed, overloaded)
		s.stepOutPermitted = true
		defer func() { s.stepOutPermitted = false }()
		zfassert.True(t, "permit", assertAnswered(t, feed, overloaded).StepOut)
		assertHeld(t, feed, args)
		overloaded.Ready = false
		assertHeld(t, feed, overloaded)
	})
	t.Run("a held fetch is answered at its deadline", func(t *testing.T) {
		reply := make(chan zfcluster.FetchReply, 1)
		feed.AddFetch(args, reply, start)
		feed.AnswerFetches(start.Add(2 * time.Second))
		zfassert.Equal(t, "replies", len(reply), 1)
	})
	t.Run("a new control state is a change", func(t *testing.T) {
		s.published.Index = 4
		zfassert.Equal(t, "index", assertAnswered(t, feed, args).Index, uint64(4))
	})
	t.Run("but not for a control instance, which gets it by replication", func(t *testing.T) {
		control := args
		control.Control = true
		control.Cursor = assertAnswered(t, feed, args).Changes.Cursor
		assertHeld(t, feed, control)
	})
	t.Run("a subscriber that switches from another instance gets the rows that it lacks", func(t *testing.T) {
		fetch := zfcluster.FetchArgs{
			Digests: zfregistry.New(zfregistry.DefaultConfig(2, time.Second)).Digests(),
		}
		zfassert.Equal(t, "backend servers", len(assertAnswered(t, feed, fetch).Changes.Updates), 1)
		fetch.Digests = s.registry.Digests()
		zfassert.Equal(t, "backend servers", len(assertAnswered(t, feed, fetch).Changes.Updates), 0)
	})
	t.Run("a cursor of another run of the process returns everything", func(t *testing.T) {
		other := args
		other.Source = 8
		zfassert.Equal(t, "backend servers", len(assertAnswered(t, feed, other).Changes.Updates), 1)
	})
}

func TestRotationEntry(t *testing.T) {
	s := newTestFeedData()
	s.mustWait = true
	feed := newFeed(s)
	able := zfcluster.FetchArgs{
		Instance: "e1",
		Centre:   "one",
		Source:   7,
		Able:     true,
		Hold:     time.Second,
	}
	t.Run("a reply tells an instance that starts to wait", func(t *testing.T) {
		zfassert.True(t, "wait", assertAnswered(t, feed, zfcluster.FetchArgs{}).Wait)
	})
	t.Run("its fetch is answered once it may enter", func(t *testing.T) {
		assertHeld(t, feed, able)
		s.mustWait = false
		zfassert.True(t, "no wait", !assertAnswered(t, feed, able).Wait)
		s.mustWait = true
	})
	t.Run("one in the rotation is not told to wait", func(t *testing.T) {
		zfassert.True(t, "no wait", !assertAnswered(t, feed, zfcluster.FetchArgs{
			Ready: true,
		}).Wait)
	})
	t.Run("control instances get the counts of entry instances", func(t *testing.T) {
		reply := assertAnswered(t, feed, zfcluster.FetchArgs{
			Control: true,
		})
		zfassert.Equal(t, "counts", len(reply.Counts), 1)
		zfassert.True(t, "no wait", !reply.Wait)
		zfassert.Equal(t, "counts for an entry instance", len(assertAnswered(t, feed, zfcluster.FetchArgs{}).Counts), 0)
	})
}

func TestLoads(t *testing.T) {
	s := newTestFeedData()
	s.loads = make([]zf.ServerLoad, 2)
	feed := newFeedOf(s, "one")
	for _, c := range []struct {
		name string
		args zfcluster.FetchArgs
		want int
		// limits is the number of limits for new flows.
		limits int
	}{
		{
			name: "a fetch that reports loads gets the total loads of the data centre",
			args: zfcluster.FetchArgs{
				Centre: "one",
				Loads:  s.loads,
			},
			want:   2,
			limits: 1,
		},
		{
			name: "a fetch without loads gets none",
			args: zfcluster.FetchArgs{
				Centre: "one",
			},
		},
		{
			name: "a fetch from another data centre gets none",
			args: zfcluster.FetchArgs{
				Centre: "two",
				Loads:  s.loads,
			},
		},
		{
			name: "a control instance gets the loads reported to this feed only",
			args: zfcluster.FetchArgs{
				Centre:  "one",
				Control: true,
			},
			want: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply := assertAnswered(t, feed, c.args)
			zfassert.Equal(t, "loads", len(reply.Loads), c.want)
			zfassert.Equal(t, "limits", len(reply.Limits), c.limits)
		})
	}
}

func TestReplyInterval(t *testing.T) {
	s := newTestFeedData()
	feed := newFeed(s)
	first := assertAnswered(t, feed, zfcluster.FetchArgs{})
	s.announce(1)
	reply := make(chan zfcluster.FetchReply, 1)
	feed.AddFetch(zfcluster.FetchArgs{
		Source: first.Source,
		Cursor: first.Changes.Cursor,
		Hold:   time.Second,
	}, reply, start)
	for _, c := range []struct {
		name    string
		after   time.Duration
		replies int
	}{
		{
			name:    "a change right after the last reply is held back",
			after:   50 * time.Millisecond,
			replies: 0,
		},
		{
			name:    "it is sent after the minimum interval",
			after:   100 * time.Millisecond,
			replies: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			feed.AnswerFetches(start.Add(c.after))
			zfassert.Equal(t, "replies", len(reply), c.replies)
		})
	}
}
