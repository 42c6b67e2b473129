package zfpermit_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfpermit"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

// report returns the report of a ready instance in the first data centre.
func report(name zf.InstanceName) zfpermit.Report {
	return zfpermit.Report{
		Instance: name,
		Centre:   "one",
		Ready:    true,
	}
}

// stoppingReport returns the report of a ready instance that was asked to stop.
func stoppingReport(name zf.InstanceName) zfpermit.Report {
	r := report(name)
	r.Stopping = true
	return r
}

func newTable(reports ...zfpermit.Report) *zfpermit.Table {
	table := zfpermit.New()
	for _, r := range reports {
		table.Record(r, start)
	}
	return table
}

func assertPermit(t testing.TB, table *zfpermit.Table, name zf.InstanceName, now time.Time, want bool) {
	t.Helper()
	zfassert.Equal(t, "stop permit of "+string(name), table.Acquire(name, now), want)
}

func TestPermits(t *testing.T) {
	t.Run("half of a data centre may stop at once", func(t *testing.T) {
		table := newTable(stoppingReport("e1"), stoppingReport("e2"), stoppingReport("e3"), report("e4"))
		assertPermit(t, table, "e1", start, true)
		assertPermit(t, table, "e2", start, true)
		assertPermit(t, table, "e3", start, false)
	})
	t.Run("of three instances only one may stop", func(t *testing.T) {
		table := newTable(stoppingReport("e1"), stoppingReport("e2"), report("e3"))
		assertPermit(t, table, "e1", start, true)
		assertPermit(t, table, "e2", start, false)
	})
	t.Run("a granted permit stays granted", func(t *testing.T) {
		table := newTable(stoppingReport("e1"), report("e2"))
		assertPermit(t, table, "e1", start, true)
		table.Record(stoppingReport("e2"), start)
		assertPermit(t, table, "e1", start, true)
	})
	t.Run("the next permit is granted when an instance is ready again", func(t *testing.T) {
		table := newTable(stoppingReport("e1"), stoppingReport("e2"))
		assertPermit(t, table, "e1", start, true)
		starting := report("e1")
		starting.Ready = false
		table.Record(starting, start)
		assertPermit(t, table, "e2", start, false)
		table.Record(report("e1"), start)
		assertPermit(t, table, "e2", start, true)
	})
	t.Run("a silent instance doesn't count as ready", func(t *testing.T) {
		table := newTable(stoppingReport("e1"), report("e2"))
		assertPermit(t, table, "e1", start.Add(2*time.Second), false)
	})
	t.Run("a silent instance is removed in the end", func(t *testing.T) {
		table := newTable(report("e2"))
		later := start.Add(10 * time.Second)
		table.Record(stoppingReport("e1"), later)
		assertPermit(t, table, "e1", later, false)
		table.Tick(later)
		assertPermit(t, table, "e1", later, true)
	})
	t.Run("other data centres don't count", func(t *testing.T) {
		remote := report("e2")
		remote.Centre = "two"
		assertPermit(t, newTable(stoppingReport("e1"), remote), "e1", start, true)
	})
	t.Run("no permit for an instance that was not asked to stop", func(t *testing.T) {
		table := newTable(report("e1"), report("e2"))
		assertPermit(t, table, "e1", start, false)
		assertPermit(t, table, "e3", start, false)
	})
}
