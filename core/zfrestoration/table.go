// Package zfrestoration records which data centres were brought back into service a short
// time ago. Their backend servers may have become cold while they had no flows, and report
// it with one of their next heartbeats.
package zfrestoration

import (
	"cmp"
	"slices"
	"time"

	zf "zinniafront"
)

// coldTime is how long the backend servers of a data centre count as cold after it was
// brought back into service.
const coldTime = 3 * time.Second

// Restoration is a data centre that was brought back into service, and how long ago.
type Restoration struct {
	Centre zf.CentreName
	Age    time.Duration
}

// Table has a row for each data centre that was brought back into service recently.
type Table struct {
	restoredAt map[zf.CentreName]time.Time
	// out are the data centres that were out of service last, marked those with a mark in
	// the control state.
	out      []zf.CentreName
	marked   []zf.CentreName
	revision uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		restoredAt: make(map[zf.CentreName]time.Time),
	}
}

// Revision increases whenever a row is added, renewed or removed.
func (t *Table) Revision() uint64 { return t.revision }

// IsRecent reports whether a data centre was brought back into service recently, as of the
// last Tick.
func (t *Table) IsRecent(centre zf.CentreName) bool {
	_, found := t.restoredAt[centre]
	return found
}

// SetOut sets the data centres that are out of service. Those that were out before are
// restored now.
func (t *Table) SetOut(out []zf.CentreName, now time.Time) {
	for _, centre := range t.out {
		if !slices.Contains(out, centre) {
			t.record(centre, now)
		}
	}
	t.out = slices.Clone(out)
}

// SetMarked sets the data centres whose restoration the control state still marks as recent.
// One that is new here counts as restored now: this instance may have started since.
func (t *Table) SetMarked(marked []zf.CentreName, now time.Time) {
	for _, centre := range marked {
		if !slices.Contains(t.marked, centre) && !t.IsRecent(centre) {
			t.record(centre, now)
		}
	}
	t.marked = slices.Clone(marked)
}

// Merge adds the restorations that another instance reports and this one doesn't know,
// because it started later.
func (t *Table) Merge(restorations []Restoration, now time.Time) {
	for _, r := range restorations {
		if !t.IsRecent(r.Centre) && r.Age < coldTime {
			t.record(r.Centre, now.Add(-r.Age))
		}
	}
}

func (t *Table) record(centre zf.CentreName, at time.Time) {
	t.restoredAt[centre] = at
	t.revision++
}

// Tick removes the rows that are no longer recent.
func (t *Table) Tick(now time.Time) {
	for centre, at := range t.restoredAt {
		if now.Sub(at) >= coldTime {
			delete(t.restoredAt, centre)
			t.revision++
		}
	}
}

// Restorations returns the rows, sorted by data centre.
func (t *Table) Restorations(now time.Time) []Restoration {
	restorations := make([]Restoration, 0, len(t.restoredAt))
	for centre, at := range t.restoredAt {
		restorations = append(restorations, Restoration{
			Centre: centre,
			Age:    now.Sub(at),
		})
	}
	slices.SortFunc(restorations, func(a, b Restoration) int { return cmp.Compare(a.Centre, b.Centre) })
	return restorations
}
