// Package zfrotation decides when an entry instance that starts may enter the fabric's
// rotation. A fabric that finds fewer than half of a data centre's instances ready sends
// packets to all of them, including those that are down; if none is ready, it uses the
// nearest data centre. So where most instances of a data centre are lost, the first ones
// that start wait for others, while another data centre serves its callers.
package zfrotation

import (
	"cmp"
	"slices"
	"time"

	zf "zinniafront"
)

const (
	// reportTimeout is the silence after which an instance or a source no longer counts.
	// Instances report every half second, and one more report may get lost.
	reportTimeout = 1500 * time.Millisecond
	// riseTimeout is how long a greater number of instances must last before it is
	// expected. One that changes its control instance is known to two for a while.
	riseTimeout = 2 * reportTimeout
	// expectTimeout is how long instances that are silent are expected back.
	expectTimeout = 30 * time.Second
)

// Source identifies one run of a control instance.
type Source uint64

// Report is the state that an entry instance reports.
type Report struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	// Able is set if the instance could take traffic, Ready if it is in the rotation.
	Able  bool
	Ready bool
}

// Count counts the entry instances of one data centre that report to one control
// instance.
type Count struct {
	Centre zf.CentreName
	Known  int
	Able   int
	Ready  int
	// Expected is the number of instances that the control instance expects in the
	// whole data centre, Remaining how much longer it does.
	Expected  int
	Remaining time.Duration
}

type row struct {
	Report
	lastReport time.Time
}

type remote struct {
	counts     []Count
	lastReport time.Time
}

// centre is the row of one data centre. The counts cover all control instances.
type centre struct {
	known, able, ready int
	expected           int
	expectedUntil      time.Time
	// risingSince is since when more instances are known than expected, or the zero
	// value. risenTo is the least number since then.
	risingSince time.Time
	risenTo     int
}

// Table holds the entry instances that report to a control instance, and the counts of
// others.
type Table struct {
	rows    map[zf.InstanceName]*row
	remotes map[Source]remote
	centres map[zf.CentreName]*centre
}

// New returns a table without rows.
func New() *Table {
	return &Table{
		rows:    make(map[zf.InstanceName]*row),
		remotes: make(map[Source]remote),
		centres: make(map[zf.CentreName]*centre),
	}
}

// Record records the report of an instance.
func (t *Table) Record(report Report, now time.Time) {
	t.rows[report.Instance] = &row{
		Report:     report,
		lastReport: now,
	}
}

// SetRemote records the counts of another control instance.
func (t *Table) SetRemote(source Source, counts []Count, now time.Time) {
	t.remotes[source] = remote{
		counts:     counts,
		lastReport: now,
	}
	for _, count := range counts {
		c := t.centreOf(count.Centre)
		if count.Expected > c.expected || !now.Before(c.expectedUntil) {
			c.expected = max(count.Expected, 0)
			c.expectedUntil = now.Add(min(count.Remaining, expectTimeout))
		}
	}
}

func (t *Table) centreOf(name zf.CentreName) *centre {
	c := t.centres[name]
	if c == nil {
		c = &centre{}
		t.centres[name] = c
	}
	return c
}

// Tick removes what is silent and counts the instances of each data centre.
func (t *Table) Tick(now time.Time) {
	for _, c := range t.centres {
		c.known, c.able, c.ready = 0, 0, 0
	}
	for name, r := range t.rows {
		if now.Sub(r.lastReport) >= reportTimeout {
			delete(t.rows, name)
		}
	}
	for _, count := range t.local() {
		t.centreOf(count.Centre).add(count)
	}
	for source, r := range t.remotes {
		if now.Sub(r.lastReport) >= reportTimeout {
			delete(t.remotes, source)
			continue
		}
		for _, count := range r.counts {
			t.centreOf(count.Centre).add(count)
		}
	}
	for _, c := range t.centres {
		c.updateExpected(now)
	}
}

func (c *centre) add(count Count) {
	c.known += max(count.Known, 0)
	c.able += max(count.Able, 0)
	c.ready += max(count.Ready, 0)
}

// updateExpected follows the number of known instances: after riseTimeout if it grows,
// after expectTimeout if it falls.
func (c *centre) updateExpected(now time.Time) {
	switch {
	case c.known < c.expected && now.Before(c.expectedUntil):
		c.risingSince = time.Time{}
	case c.known <= c.expected:
		c.expected = c.known
		c.expectedUntil = now.Add(expectTimeout)
		c.risingSince = time.Time{}
	case c.risingSince.IsZero():
		c.risingSince = now
		c.risenTo = c.known
	default:
		c.risenTo = min(c.risenTo, c.known)
		if now.Sub(c.risingSince) >= riseTimeout {
			c.expected = c.risenTo
			c.expectedUntil = now.Add(expectTimeout)
			c.risingSince = time.Time{}
		}
	}
}

// local counts the instances that report here.
func (t *Table) local() []Count {
	byCentre := make(map[zf.CentreName]*Count)
	for _, r := range t.rows {
		count := byCentre[r.Centre]
		if count == nil {
			count = &Count{
				Centre: r.Centre,
			}
			byCentre[r.Centre] = count
		}
		count.Known++
		if r.Able {
			count.Able++
		}
		if r.Ready {
			count.Ready++
		}
	}
	counts := make([]Count, 0, len(byCentre))
	for _, count := range byCentre {
		counts = append(counts, *count)
	}
	return counts
}

// Counts returns the counts for other control instances, sorted by data centre: those of
// the instances that report here, and what is expected.
func (t *Table) Counts(now time.Time) []Count {
	counts := t.local()
	for name, c := range t.centres {
		if c.expected == 0 || !now.Before(c.expectedUntil) {
			continue
		}
		i := slices.IndexFunc(counts, func(count Count) bool { return count.Centre == name })
		if i < 0 {
			i = len(counts)
			counts = append(counts, Count{
				Centre: name,
			})
		}
		counts[i].Expected = c.expected
		counts[i].Remaining = c.expectedUntil.Sub(now)
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Centre, b.Centre) })
	return counts
}

// MayEnter reports whether an instance that is able to take traffic may enter the
// rotation, as of the last tick: with it at least half of the expected instances of its
// data centre are able, or no other data centre serves in place of it.
func (t *Table) MayEnter(name zf.InstanceName, centreName zf.CentreName) bool {
	c := t.centreOf(centreName)
	able := c.able
	if r := t.rows[name]; r == nil || !r.Able {
		able++
	}
	if 2*able >= c.expected {
		return true
	}
	for other, o := range t.centres {
		if other != centreName && o.ready > 0 && 2*o.ready >= o.expected {
			return false
		}
	}
	return true
}

// MayLeave reports whether an instance may leave the rotation, as of the last tick: at
// least half of the expected instances of its data centre stay ready without it.
func (t *Table) MayLeave(name zf.InstanceName, centreName zf.CentreName) bool {
	c := t.centreOf(centreName)
	ready := c.ready
	if r := t.rows[name]; r != nil && r.Ready {
		ready--
	}
	return 2*ready >= max(c.expected, c.known)
}
