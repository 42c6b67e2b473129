package zfpermit_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfpermit"
	"zinniafront/lab/zfassert"
)

// overloadedReport returns the report of an overloaded instance that requests a permit to
// leave the rotation.
func overloadedReport(name zf.InstanceName) zfpermit.Report {
	r := report(name)
	r.Strain = zf.StrainOverloaded
	r.StepOut = true
	return r
}

// steppedOutReport returns the report of an instance that has left the rotation.
func steppedOutReport(name zf.InstanceName) zfpermit.Report {
	r := overloadedReport(name)
	r.Ready = false
	return r
}

// newCentre returns a table of 12 instances, the first of which are overloaded.
func newCentre(overloaded int) *zfpermit.Table {
	table := zfpermit.New()
	for i := range 12 {
		r := report(zf.InstanceName(fmt.Sprintf("e%d", i+1)))
		if i < overloaded {
			r = overloadedReport(r.Instance)
		}
		table.Record(r, start)
	}
	return table
}

func assertStepOut(t testing.TB, table *zfpermit.Table, name zf.InstanceName, want bool) {
	t.Helper()
	zfassert.Equal(t, "permit of "+string(name), table.AcquireStepOut(name, start), want)
}

func TestStepOutPermits(t *testing.T) {
	t.Run("an overloaded instance leaves if the others have room", func(t *testing.T) {
		table := newCentre(1)
		assertStepOut(t, table, "e1", true)
		assertStepOut(t, table, "e2", false)
	})
	t.Run("of a slow third some leave, as the rest must take their share", func(t *testing.T) {
		table := newCentre(4)
		assertStepOut(t, table, "e1", true)
		assertStepOut(t, table, "e2", true)
		assertStepOut(t, table, "e3", false)
		assertStepOut(t, table, "e4", false)
	})
	t.Run("all overloaded at once: nobody leaves", func(t *testing.T) {
		table := newCentre(12)
		for i := range 12 {
			assertStepOut(t, table, zf.InstanceName(fmt.Sprintf("e%d", i+1)), false)
		}
	})
	t.Run("none leaves a data centre of four", func(t *testing.T) {
		assertStepOut(t, newTable(overloadedReport("e1"), report("e2"), report("e3"), report("e4")), "e1", false)
	})
	t.Run("a permit that was lost or doubled is granted again", func(t *testing.T) {
		table := newCentre(1)
		assertStepOut(t, table, "e1", true)
		table.Record(overloadedReport("e1"), start)
		assertStepOut(t, table, "e1", true)
		zfassert.Equal(t, "changes", len(table.TakeChanges()), 1)
	})
	t.Run("one of a lost control instance is renewed by the next one", func(t *testing.T) {
		table := newCentre(4)
		table.Record(steppedOutReport("e1"), start)
		table.Record(steppedOutReport("e2"), start)
		table.Record(steppedOutReport("e3"), start)
		assertStepOut(t, table, "e3", true)
		assertStepOut(t, table, "e4", false)
	})
	t.Run("it is not renewed once the rest is overloaded", func(t *testing.T) {
		table := newCentre(8)
		table.Record(steppedOutReport("e1"), start)
		assertStepOut(t, table, "e1", false)
	})
	t.Run("an instance that has returned needs a new permit", func(t *testing.T) {
		table := newCentre(4)
		for _, name := range []zf.InstanceName{"e1", "e2"} {
			assertStepOut(t, table, name, true)
			table.Record(steppedOutReport(name), start)
		}
		table.Record(steppedOutReport("e3"), start)
		table.Record(overloadedReport("e1"), start)
		assertStepOut(t, table, "e1", false)
	})
	t.Run("a planned stop counts those that have left as not ready", func(t *testing.T) {
		table := newTable(overloadedReport("e1"), report("e2"), report("e3"), report("e4"), report("e5"))
		assertStepOut(t, table, "e1", true)
		for _, name := range []zf.InstanceName{"e2", "e3"} {
			table.Record(stoppingReport(name), start)
		}
		assertPermit(t, table, "e2", start, true)
		assertPermit(t, table, "e3", start, false)
	})
	t.Run("and the other way round", func(t *testing.T) {
		table := newTable(stoppingReport("e1"), overloadedReport("e2"), report("e3"), report("e4"), report("e5"), report("e6"))
		assertPermit(t, table, "e1", start, true)
		assertStepOut(t, table, "e2", false)
	})
	t.Run("an instance that doesn't know strain counts as calm and gets no permit", func(t *testing.T) {
		table := newCentre(0)
		assertStepOut(t, table, "e1", false)
	})
	t.Run("the permit of a lost instance ends", func(t *testing.T) {
		table := newCentre(1)
		assertStepOut(t, table, "e1", true)
		table.Tick(start.Add(10 * time.Second))
		changes := table.TakeChanges()
		zfassert.Equal(t, "granted at last", changes[len(changes)-1].Granted, false)
	})
}
