// Package zfload sums the load of backend servers over the entry instances of a
// data centre. Its table has a row for each backend server that recently received
// requests: the sum that entry instances report to this control instance, and the
// sums that the other control instances of the data centre report.
package zfload

import (
	"cmp"
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

// DecayTime is the time after which a request counts 1/e: a sum divided by it is a rate. Flows send a request every
// one to three seconds; with the longest such time a row approximates the number of
// flows of its backend server.
const DecayTime = 3 * time.Second

// decayedCount is an exponentially decaying count, valid at decayedAt.
type decayedCount struct {
	count     float64
	decayedAt time.Time
}

func (c *decayedCount) decay(now time.Time) {
	c.count *= math.Exp(-float64(now.Sub(c.decayedAt)) / float64(DecayTime))
	c.decayedAt = now
}

// remoteLoads is the last report of another control instance.
type remoteLoads struct {
	loads      []zf.ServerLoad
	reportedAt time.Time
}

// Table holds the loads. Its rows are keyed by cookie.
type Table struct {
	local map[zf.Cookie]*decayedCount
	// remote holds the last report of each other control instance, by the Source of
	// its fetch replies.
	remote map[uint64]remoteLoads
}

// New returns a table without rows.
func New() *Table {
	return &Table{
		local:  make(map[zf.Cookie]*decayedCount),
		remote: make(map[uint64]remoteLoads),
	}
}

// Record adds the requests that an entry instance has sent since its last report.
func (t *Table) Record(loads []zf.ServerLoad, now time.Time) {
	for _, load := range loads {
		row := t.local[load.Cookie]
		if row == nil {
			row = &decayedCount{
				decayedAt: now,
			}
			t.local[load.Cookie] = row
		}
		row.decay(now)
		row.count += float64(max(load.Requests, 0))
	}
}

// SetRemote replaces the sums of another control instance.
func (t *Table) SetRemote(from uint64, loads []zf.ServerLoad, now time.Time) {
	t.remote[from] = remoteLoads{
		loads:      loads,
		reportedAt: now,
	}
}

// minCount is the count below which a row is removed.
const minCount = 0.5

// Local removes the rows below minCount and returns the others, ordered by cookie: the
// sums over the entry instances that report to this control instance.
func (t *Table) Local(now time.Time) []zf.ServerLoad {
	loads := make([]zf.ServerLoad, 0, len(t.local))
	for cookie, row := range t.local {
		row.decay(now)
		if row.count < minCount {
			delete(t.local, cookie)
			continue
		}
		loads = append(loads, zf.ServerLoad{
			Cookie:   cookie,
			Requests: int(math.Round(row.count)),
		})
	}
	slices.SortFunc(loads, func(a, b zf.ServerLoad) int { return cmp.Compare(a.Cookie, b.Cookie) })
	return loads
}

// Total returns the sums over all entry instances of the data centre, ordered by
// cookie. The report of another control instance counts for DecayTime.
func (t *Table) Total(now time.Time) []zf.ServerLoad {
	sums := make(map[zf.Cookie]int)
	for _, load := range t.Local(now) {
		sums[load.Cookie] = load.Requests
	}
	for from, report := range t.remote {
		if now.Sub(report.reportedAt) >= DecayTime {
			delete(t.remote, from)
			continue
		}
		for _, load := range report.loads {
			sums[load.Cookie] += load.Requests
		}
	}
	loads := make([]zf.ServerLoad, 0, len(sums))
	for cookie, requests := range sums {
		loads = append(loads, zf.ServerLoad{
			Cookie:   cookie,
			Requests: requests,
		})
	}
	slices.SortFunc(loads, func(a, b zf.ServerLoad) int { return cmp.Compare(a.Cookie, b.Cookie) })
	return loads
}
