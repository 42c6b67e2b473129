package zfforward_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrestoration"
	"zinniafront/lab/zfassert"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	frontend = netip.MustParseAddrPort("198.51.100.1:443")
)

func newWorld() *zfforward.World {
	mapper := zfcookie.New(zfcookie.Config{
		Seed: 1,
	})
	return zfforward.New(zfforward.Config{
		Self:     "e1",
		Centre:   "one",
		Mapper:   mapper,
		Observer: mapper,
		Registry: zfregistry.DefaultConfig(1, time.Second),
	})
}

// changes returns changes with one warm backend server in a data centre.
func changes(centre zf.CentreName) zfregistry.Changes {
	return zfregistry.Changes{
		Updates: []zfregistry.Update{{
			Announcement: zf.Announcement{
				Server:   "s1",
				Service:  "orders",
				Centre:   centre,
				Address:  netip.MustParseAddrPort("10.0.0.1:80"),
				State:    zf.ServerWarm,
				Sequence: 1,
				Born:     start,
				Number:   1,
			},
			Status: zf.ServerWarm,
		}},
	}
}

// state returns a control state with one route, to a service.
func state(index uint64, service zf.ServiceName, out ...zf.CentreName) *zfforward.State {
	return &zfforward.State{
		Index: index,
		Out:   out,
		Bundle: &zfbundle.Bundle{
			Routes: []zfbundle.Route{{
				Address: frontend,
				Targets: []zf.RouteTarget{{
					Service: service,
					Weight:  1,
				}},
			}},
		},
	}
}

func assertOpening(t testing.TB, world *zfforward.World, want zf.Action) {
	t.Helper()
	verdict := world.Mapper().Route(zf.Packet{
		Kind: zf.PacketOpening,
		Flow: zf.Flow{
			Source:      netip.MustParseAddrPort("100.64.0.1:1000"),
			Destination: frontend,
		},
	}, start)
	zfassert.Equal(t, "action", verdict.Action, want)
}

func TestReady(t *testing.T) {
	world := newWorld()
	world.Tick(start)
	t.Run("not ready before the first reply", func(t *testing.T) {
		zfassert.True(t, "not ready", !world.Ready())
		assertOpening(t, world, zf.ActionDrop)
	})
	t.Run("not ready with a part of the backend servers", func(t *testing.T) {
		partial := newWorld()
		partial.ApplyReply(zfforward.Reply{
			Changes: zfregistry.Changes{
				More: true,
			},
			State: state(1, "orders"),
		}, start)
		zfassert.True(t, "not ready", !partial.Ready())
		assertOpening(t, partial, zf.ActionDrop)
		partial.ApplyReply(zfforward.Reply{
			Changes: changes("one"),
		}, start)
		zfassert.True(t, "ready", partial.Ready())
		assertOpening(t, partial, zf.ActionForward)
	})
	t.Run("not ready without routes", func(t *testing.T) {
		world.ApplyReply(zfforward.Reply{
			Changes: changes("one"),
		}, start)
		zfassert.True(t, "not ready", !world.Ready())
		assertOpening(t, world, zf.ActionDrop)
	})
	t.Run("ready with backend servers and routes", func(t *testing.T) {
		world.ApplyReply(zfforward.Reply{
			State: state(1, "orders"),
		}, start)
		zfassert.True(t, "ready", world.Ready())
		assertOpening(t, world, zf.ActionForward)
	})
	t.Run("not ready during a planned stop, but still forwarding", func(t *testing.T) {
		world.Stop(0, start)
		zfassert.True(t, "not ready", !world.Ready())
		assertOpening(t, world, zf.ActionForward)
	})
}

func TestStates(t *testing.T) {
	for _, c := range []struct {
		name    string
		states  []*zfforward.State
		changed bool
		action  zf.Action
	}{
		{
			name:    "a later state replaces an earlier one",
			states:  []*zfforward.State{state(1, "other"), state(2, "orders")},
			changed: true,
			action:  zf.ActionForward,
		},
		{
			name:   "an earlier state never replaces a later one",
			states: []*zfforward.State{state(2, "orders"), state(1, "other")},
			action: zf.ActionForward,
		},
		{
			name:    "a data centre taken out of service gets no flows",
			states:  []*zfforward.State{state(1, "orders", "one")},
			changed: true,
			action:  zf.ActionReset,
		},
		{
			name:    "a data centre brought back into service gets flows again",
			states:  []*zfforward.State{state(1, "orders", "one"), state(2, "orders")},
			changed: true,
			action:  zf.ActionForward,
		},
		{
			name:    "a route to a service without backend servers resets flows",
			states:  []*zfforward.State{state(1, "other")},
			changed: true,
			action:  zf.ActionReset,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			world := newWorld()
			changed := false
			for _, s := range c.states {
				changed = world.ApplyReply(zfforward.Reply{
					Changes: changes("one"),
					State:   s,
				}, start)
			}
			zfassert.Equal(t, "changed", changed, c.changed)
			assertOpening(t, world, c.action)
		})
	}
}

func TestIsolation(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers bool
		after time.Duration
		ready bool
	}{
		{
			name:  "a short pause without replies is no isolation",
			peers: true,
			after: time.Second,
			ready: true,
		},
		{
			name:  "an instance without replies is not ready if it has peers",
			peers: true,
			after: 3 * time.Second,
		},
		{
			name:  "the only instance stays ready without replies",
			after: time.Hour,
			ready: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			world := newWorld()
			world.ApplyReply(zfforward.Reply{
				HasPeers: c.peers,
				Changes:  changes("one"),
				State:    state(1, "orders"),
			}, start)
			world.Tick(start.Add(c.after))
			zfassert.Equal(t, "ready", world.Ready(), c.ready)
			assertOpening(t, world, zf.ActionForward)
			world.ApplyReply(zfforward.Reply{}, start.Add(c.after))
			zfassert.True(t, "ready after the next reply", world.Ready())
		})
	}
}

// viewRecorder records the last view that it is given as a mapper.
type viewRecorder struct {
	zf.Mapper
	last zf.View
}

// Tick implements zinniafront.Mapper.
func (r *viewRecorder) Tick(_ time.Time, view zf.View) []zf.Envelope {
	r.last = view
	return nil
}

// Synced implements zinniafront.Mapper.
func (*viewRecorder) Synced() bool { return true }

// newRecordedWorld returns a world whose mapper records its views.
func newRecordedWorld() (*zfforward.World, *viewRecorder) {
	recorder := &viewRecorder{}
	return zfforward.New(zfforward.Config{
		Mapper:   recorder,
		Registry: zfregistry.DefaultConfig(1, time.Second),
	}), recorder
}

// coldReply returns a reply with a backend server of a service that states a rate of 4 for cold
// ones, shared by 8 entry instances.
func coldReply() zfforward.Reply {
	reply := zfforward.Reply{
		EntryCount:    8,
		EntryPosition: 3,
		Changes:       changes("one"),
		State:         state(1, "orders"),
	}
	reply.State.Bundle.Services = []zfbundle.Service{{
		Name: "orders",
		Pool: zfbundle.Pool{
			ColdRate: 4,
		},
	}}
	return reply
}

func TestColdShare(t *testing.T) {
	world, recorder := newRecordedWorld()
	reply := coldReply()
	world.ApplyReply(reply, start)
	zfassert.Equal(t, "rate of a warm server", recorder.last.Servers[0].OpeningRate, 0.0)
	reply.Changes.Updates[0].Sequence = 2
	reply.Changes.Updates[0].Cold = time.Second
	world.ApplyReply(reply, start)
	zfassert.Equal(t, "share of the rate of a cold server", recorder.last.Servers[0].OpeningRate, 0.5)
	zfassert.Equal(t, "number of instances", recorder.last.EntryCount, 8)
	zfassert.Equal(t, "position of this one", recorder.last.EntryPosition, 3)
	t.Run("the servers of a restored data centre count as cold for a while", func(t *testing.T) {
		warm := zfforward.Reply{
			Changes: changes("one"),
			State:   reply.State,
		}
		warm.Changes.Updates[0].Sequence = 3
		out, in := *reply.State, *reply.State
		out.Index, out.Out = 2, []zf.CentreName{"one"}
		in.Index = 3
		for _, s := range []zfforward.State{out, in} {
			warm.State = &s
			world.ApplyReply(warm, start)
		}
		zfassert.Equal(t, "at once", recorder.last.Servers[0].OpeningRate, 0.5)
		world.Tick(start.Add(3 * time.Second))
		zfassert.Equal(t, "later", recorder.last.Servers[0].OpeningRate, 0.0)
	})
}

// TestStartAfterRestoration guards against an entry instance that starts after a data centre was
// brought back into service and takes its cold backend servers for warm until their heartbeats.
func TestStartAfterRestoration(t *testing.T) {
	world, recorder := newRecordedWorld()
	reply := coldReply()
	reply.Restorations = []zfrestoration.Restoration{{
		Centre: "one",
		Age:    time.Second,
	}}
	world.ApplyReply(reply, start)
	t.Run("at its start", func(t *testing.T) {
		zfassert.Equal(t, "rate", recorder.last.Servers[0].OpeningRate, 0.5)
	})
	t.Run("other entry instances learn it from this one", func(t *testing.T) {
		zfassert.Equal(t, "restorations", world.Restorations(start), reply.Restorations)
	})
	t.Run("later", func(t *testing.T) {
		world.Tick(start.Add(2 * time.Second))
		zfassert.Equal(t, "rate", recorder.last.Servers[0].OpeningRate, 0.0)
	})
}

// TestSilentCold guards against more new flows than a cold backend server sustains once its
// heartbeats are missed.
func TestSilentCold(t *testing.T) {
	world, recorder := newRecordedWorld()
	reply := coldReply()
	reply.Changes.Updates[0].Cold = 6 * time.Second
	reply.Changes.Updates[0].Status = zf.ServerSilent
	world.ApplyReply(reply, start)
	assertRate := func(t testing.TB, rate float64) {
		t.Helper()
		zfassert.Equal(t, "state", recorder.last.Servers[0].State, zf.ServerSilent)
		zfassert.Equal(t, "rate", recorder.last.Servers[0].OpeningRate, rate)
	}
	t.Run("during the cold start", func(t *testing.T) {
		assertRate(t, 0.5)
	})
	t.Run("after the cold start", func(t *testing.T) {
		world.Tick(start.Add(6 * time.Second))
		assertRate(t, 0)
	})
}
