package zfcontrollerloop_test

import (
	"net/netip"
	"testing"

	zf "zinniafront"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcontrollerloop"
	"zinniafront/lab/zfassert"
)

// subscribe has an entry instance of data centre one fetch from a control instance.
func subscribe(t testing.TB, loop *zfcontrollerloop.Loop, name zf.InstanceName, address netip.AddrPort) {
	t.Helper()
	_, err := loop.Fetch(zfcluster.FetchArgs{
		Instance: name,
		Centre:   "one",
		Address:  address,
	})
	zfassert.NoError(t, err)
}

func TestExplainThroughControlInstance(t *testing.T) {
	loop := newLoopWith(zfclock.System{}, &memoryStore{}, &memoryStore{})
	run(t, loop)
	args := zfcluster.ExplainArgs{
		Flow: zf.Flow{
			Destination: netip.MustParseAddrPort("198.51.100.1:443"),
		},
	}
	assertNone := func(t testing.TB, args zfcluster.ExplainArgs) {
		t.Helper()
		reply, err := loop.Explain(args)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "explanations", len(reply.Explanations), 0)
		zfassert.Equal(t, "silent", reply.Silent, 0)
	}
	t.Run("without entry instances it explains nothing", func(t *testing.T) { assertNone(t, args) })
	// An entry instance of another data centre that subscribes here is asked, but isn't one of them.
	foreign, _ := serveIn(t, "two")
	subscribe(t, loop, "e0", foreign)
	t.Run("an instance of another data centre explains nothing", func(t *testing.T) { assertNone(t, args) })
	first, _ := serve(t)
	second, _ := serve(t)
	subscribe(t, loop, "e1", first)
	subscribe(t, loop, "e2", second)
	subscribe(t, loop, "e3", netip.MustParseAddrPort("127.0.0.1:1"))
	t.Run("one answers", func(t *testing.T) {
		reply, err := loop.Explain(args)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "explanations", len(reply.Explanations), 1)
		zfassert.Equal(t, "flow", reply.Explanations[0].Flow, args.Flow)
	})
	t.Run("all answer but one that is down", func(t *testing.T) {
		args.All = true
		reply, err := loop.Explain(args)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "explanations", len(reply.Explanations), 2)
		zfassert.Equal(t, "silent", reply.Silent, 1)
	})
	t.Run("another data centre has none here", func(t *testing.T) {
		args.Centre = "three"
		assertNone(t, args)
	})
}
