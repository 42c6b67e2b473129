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
	d := &fixture{
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
	d.table.Configure(bundle)
	return d
}

func (d *fixture) serve(service zf.ServiceName) {
	d.servers.Announce(zf.Announcement{
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
func (d *fixture) submit(service zf.ServiceName) (zfrequest.ID, []zfrequest.Decision) {
	d.next++
	d.table.Submit(zfrequest.Request{
		ID:       d.next,
		Service:  service,
		Deadline: start.Add(time.Minute),
	}, start)
	d.table.Tick(start, d.servers, nil)
	return d.next, d.table.TakeDecisions()
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
		d := newFixture()
		d.serve("orders")
		first, decisions := d.submit("orders")
		assertGranted(t, decisions)
		_, decisions = d.submit("orders")
		assertGranted(t, decisions)
		_, decisions = d.submit("orders")
		zfassert.Equal(t, "decisions", len(decisions), 0)
		d.table.Finish(first)
		d.table.Tick(start, d.servers, nil)
		assertGranted(t, d.table.TakeDecisions())
		zfassert.Equal(t, "running", d.table.Running(), 2)
	})
	t.Run("high priority is served first", func(t *testing.T) {
		d := newFixture()
		d.submit("images")
		order, _ := d.submit("orders")
		d.serve("images")
		d.serve("orders")
		d.table.Tick(start, d.servers, nil)
		zfassert.Equal(t, "first", d.table.TakeDecisions()[0].ID, order)
	})
	t.Run("a wait is bounded", func(t *testing.T) {
		d := newFixture()
		d.submit("orders")
		d.table.Tick(start.Add(zfbundle.DefaultLimits().Wait), d.servers, nil)
		assertRefused(t, d.table.TakeDecisions(), zf.ReasonWaitExpired)
	})
	t.Run("the queue is bounded", func(t *testing.T) {
		d := newFixture()
		for range 3 {
			d.submit("orders")
		}
		_, decisions := d.submit("orders")
		assertRefused(t, decisions, zf.ReasonOverLimit)
	})
	t.Run("an unknown service", func(t *testing.T) {
		_, decisions := newFixture().submit("nothing")
		assertRefused(t, decisions, zf.ReasonNoSuchService)
	})
	t.Run("a withdrawn request leaves no row", func(t *testing.T) {
		d := newFixture()
		id, _ := d.submit("orders")
		d.table.Finish(id)
		zfassert.Equal(t, "waiting", d.table.Waiting(), 0)
	})
	t.Run("a data centre taken out receives no request", func(t *testing.T) {
		d := newFixture()
		d.serve("orders")
		d.table.Submit(zfrequest.Request{
			ID:       9,
			Service:  "orders",
			Deadline: start.Add(time.Minute),
		}, start)
		d.table.Tick(start, d.servers, []zf.CentreName{""})
		zfassert.Equal(t, "decisions", len(d.table.TakeDecisions()), 0)
	})
}
