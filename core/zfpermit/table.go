// Package zfpermit grants stop permits, and permits to leave the rotation during an
// overload, to entry instances. Its table has a row for each entry instance that reports to
// a control instance. Permits limit how many instances stop at a time, because planned
// stops may follow each other quickly, and a fabric that finds fewer than half of a data
// centre's instances ready sends packets to all of them, including those that are down.
package zfpermit

import (
	"time"

	zf "zinniafront"
)

const (
	// reportTimeout is the silence after which an instance no longer counts as ready.
	// Instances report every half second, and one more report may get lost.
	reportTimeout = 1500 * time.Millisecond
	// removeTimeout is the silence after which an instance is no longer expected back;
	// a restart takes about three seconds.
	removeTimeout = 10 * time.Second
)

// Report is the state that an entry instance reports.
type Report struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	// Ready is set if the instance takes traffic.
	Ready bool
	// Stopping is set if the instance was asked to stop and waits for a permit.
	Stopping bool
	// Strain is how far the instance's resources suffice. StepOut is set if it requests a
	// permit to leave the rotation, or its renewal.
	Strain  zf.Strain
	StepOut bool
}

type row struct {
	Report
	lastReport time.Time
	// granted is set if the instance has a stop permit; it no longer counts as ready.
	granted bool
	// steppedOut is set if the instance has a permit to leave the rotation; it no longer
	// counts as ready.
	steppedOut bool
}

// Table holds the entry instances and their stop permits.
type Table struct {
	rows map[zf.InstanceName]*row
	// changes are those of step-out permits that have not been taken.
	changes []Change
}

// New returns a table without rows.
func New() *Table {
	return &Table{
		rows: make(map[zf.InstanceName]*row),
	}
}

// Record records the report of an instance. A report without Stopping ends the
// instance's stop permit, one without StepOut or of an instance that has returned its permit
// to leave the rotation, and the instance then counts as ready if it reports Ready.
func (t *Table) Record(report Report, now time.Time) {
	r := t.rows[report.Instance]
	if r == nil {
		r = &row{}
		t.rows[report.Instance] = r
	}
	if r.steppedOut && (!report.StepOut || report.Ready && !r.Ready) {
		t.endStepOut(report.Instance, r)
	}
	r.Report = report
	r.lastReport = now
	r.granted = r.granted && report.Stopping
}

// Tick removes the instances that have been silent for removeTimeout.
func (t *Table) Tick(now time.Time) {
	for name, r := range t.rows {
		if now.Sub(r.lastReport) >= removeTimeout {
			if r.steppedOut {
				t.endStepOut(name, r)
			}
			delete(t.rows, name)
		}
	}
}

// Acquire reports whether an instance has a stop permit. It grants one if at least half
// of its data centre's instances are ready without it, or if it is the only one.
func (t *Table) Acquire(name zf.InstanceName, now time.Time) bool {
	r := t.rows[name]
	if r == nil || !r.Stopping {
		return false
	}
	if r.granted {
		return true
	}
	total, ready := 1, 0
	for _, other := range t.rows {
		if other == r || other.Centre != r.Centre {
			continue
		}
		total++
		if other.takesTraffic(now) {
			ready++
		}
	}
	r.granted = total == 1 || 2*ready >= total
	return r.granted
}
