// Package zfpermit gives entry instances their turns to stop. Its table has a row for
// each entry instance that tells a control instance of itself. Planned stops may come
// in quick series; a fabric that finds fewer than half of a data centre's instances
// ready sends packets to all of them, also to those that are down.
package zfpermit

import (
	"time"

	zf "zinniafront"
)

const (
	// reportTimeout is how old the word of an instance may be that counts as ready: it
	// tells each half second, and once more may get lost.
	reportTimeout = 1500 * time.Millisecond
	// removeTimeout is how long an instance that tells nothing counts as one that will be
	// back; a restart takes some three seconds.
	removeTimeout = 10 * time.Second
)

// Report is what an entry instance tells of itself.
type Report struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	// Ready tells that it takes traffic.
	Ready bool
	// Stopping tells that it was asked to stop and waits for its turn.
	Stopping bool
}

type row struct {
	Report
	lastReport time.Time
	// granted tells that the instance may stop, and no longer counts as ready.
	granted bool
}

// Table holds the entry instances.
type Table struct {
	rows map[zf.InstanceName]*row
}

// New returns a table without rows.
func New() *Table {
	return &Table{
		rows: make(map[zf.InstanceName]*row),
	}
}

// Record takes the word of an instance. One that doesn't wait for its turn is ready, or
// tells that it is not.
func (t *Table) Record(report Report, now time.Time) {
	r := t.rows[report.Instance]
	if r == nil {
		r = &row{}
		t.rows[report.Instance] = r
	}
	r.Report = report
	r.lastReport = now
	r.granted = r.granted && report.Stopping
}

// Tick forgets instances that have told nothing for long.
func (t *Table) Tick(now time.Time) {
	for name, r := range t.rows {
		if now.Sub(r.lastReport) >= removeTimeout {
			delete(t.rows, name)
		}
	}
}

// Acquire reports whether it is an instance's turn to stop: half of its data centre's
// instances are ready without it, or there are no others to wait for.
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
		if other.Ready && !other.granted && now.Sub(other.lastReport) < reportTimeout {
			ready++
		}
	}
	r.granted = total == 1 || 2*ready >= total
	return r.granted
}
