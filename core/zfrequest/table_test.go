package zfrequest_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfpicker"
	"zinniafront/core/zfrequest"
	"zinniafront/core/zfserver"
	"zinniafront/lab/zfassert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a table with the backend servers that it assigns slots of.
type fixture struct {
	table   *zfrequest.Table
	servers *zfserver.Table
	next    zfrequest.ID
}

func newFixture() *fixture {
	f := &fixture{
		table: zfrequest.New(zfrequest.Config{
			Picker: zfpicker.TwoChoices{},
			Random: rand.New(rand.NewPCG(1, 1)),
		}),
		servers: zfserver.New(zfserver.DefaultConfig()),
	}
	bundle := &zfbundle.Bundle{
		Services: []zfbundle.Service{
			{Name: "orders", Priority: zfbundle.PriorityHigh},
			{Name: "images"},
		},
		Limits: zfbundle.DefaultLimits(),
	}
	bundle.Limits.Queue = 3
	f.table.Configure(bundle)
	return f
}

func (f *fixture) serve(service zf.ServiceName) {
	f.servers.Announce(zf.Announcement{
		Server:  zf.ServerName(service),
		Service: service,
		Web:     netip.MustParseAddrPort("10.0.0.1:1"),
		Capacity: zf.Capacity{
			Slots:       2,
			Connections: 2000,
		},
		State:    zf.ServerWarm,
		Sequence: 1,
	}, true, start)
}

// submit adds a request, runs a tick and returns the decision, if there is one.
func (f *fixture) submit(service zf.ServiceName) (zfrequest.ID, []zfrequest.Decision) {
	f.next++
	f.table.Submit(zfrequest.Request{
		ID:       f.next,
		Service:  service,
		Deadline: start.Add(time.Minute),
	}, start)
	f.table.Tick(start, f.servers, nil)
	return f.next, f.table.TakeDecisions()
}

func assertGranted(t *testing.T, decisions []zfrequest.Decision) {
	t.Helper()
	zfassert.Equal(t, "decisions", len(decisions), 1)
	zfassert.True(t, "granted", decisions[0].Granted)
}

func assertRefused(t *testing.T, decisions []zfrequest.Decision, reason zf.Reason) {
	t.Helper()
	zfassert.Equal(t, "decisions", len(decisions), 1)
	zfassert.Equal(t, "reason", decisions[0].Reason.String(), reason.String())
	zfassert.True(t, "retry after", decisions[0].RetryAfter > 0)
}

func TestTable(t *testing.T) {
	t.Run("slots are not exceeded", func(t *testing.T) {
		f := newFixture()
		f.serve("orders")
		first, decisions := f.submit("orders")
		assertGranted(t, decisions)
		_, decisions = f.submit("orders")
		assertGranted(t, decisions)
		_, decisions = f.submit("orders")
		zfassert.Equal(t, "decisions", len(decisions), 0)
		f.table.Finish(first)
		f.table.Tick(start, f.servers, nil)
		assertGranted(t, f.table.TakeDecisions())
		zfassert.Equal(t, "running", f.table.Running(), 2)
	})
	t.Run("high priority is served first", func(t *testing.T) {
		f := newFixture()
		f.submit("images")
		order, _ := f.submit("orders")
		f.serve("images")
		f.serve("orders")
		f.table.Tick(start, f.servers, nil)
		zfassert.Equal(t, "first", f.table.TakeDecisions()[0].ID, order)
	})
	t.Run("a wait is bounded", func(t *testing.T) {
		f := newFixture()
		f.submit("orders")
		f.table.Tick(start.Add(zfbundle.DefaultLimits().Wait), f.servers, nil)
		assertRefused(t, f.table.TakeDecisions(), zf.ReasonWaitExpired)
	})
	t.Run("the queue is bounded", func(t *testing.T) {
		f := newFixture()
		for range 3 {
			f.submit("orders")
		}
		_, decisions := f.submit("orders")
		assertRefused(t, decisions, zf.ReasonOverLimit)
	})
	t.Run("an unknown service", func(t *testing.T) {
		_, decisions := newFixture().submit("nothing")
		assertRefused(t, decisions, zf.ReasonNoSuchService)
	})
	t.Run("a withdrawn request leaves no row", func(t *testing.T) {
		f := newFixture()
		id, _ := f.submit("orders")
		f.table.Finish(id)
		zfassert.Equal(t, "waiting", f.table.Waiting(), 0)
	})
	t.Run("a data centre taken out receives no request", func(t *testing.T) {
		f := newFixture()
		f.serve("orders")
		f.table.Submit(zfrequest.Request{
			ID:       9,
			Service:  "orders",
			Deadline: start.Add(time.Minute),
		}, start)
		f.table.Tick(start, f.servers, []zf.CentreName{""})
		zfassert.Equal(t, "decisions", len(f.table.TakeDecisions()), 0)
	})
}
