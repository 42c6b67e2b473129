// Package zfload adds up the load of backend servers over the entry instances of a
// data centre. Its table has a row for each backend server that got requests
// lately, with the sum that entry instances tell here and those that the other
// control instances of the data centre tell.
package zfload

import (
	"cmp"
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

// decayTime is the time after which a request counts 1/e: the time between two
// requests of a flow, so that a row tells the flows of its backend server.
const decayTime = 3 * time.Second

// decayedCount is a decayed count up to at.
type decayedCount struct {
	count     float64
	decayedAt time.Time
}

func (c *decayedCount) decay(now time.Time) {
	c.count *= math.Exp(-float64(now.Sub(c.decayedAt)) / float64(decayTime))
	c.decayedAt = now
}

// remoteLoads is what another control instance told.
type remoteLoads struct {
	loads      []zf.ServerLoad
	reportedAt time.Time
}

// Table holds the loads. Its rows are told by cookie.
type Table struct {
	local  map[zf.Cookie]*decayedCount
	remote map[uint64]remoteLoads
}

// New returns a table without rows.
func New() *Table {
	return &Table{
		local:  make(map[zf.Cookie]*decayedCount),
		remote: make(map[uint64]remoteLoads),
	}
}

// Record takes the requests that an entry instance has sent since it told last.
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

// SetRemote takes the sums of another control instance.
func (t *Table) SetRemote(from uint64, loads []zf.ServerLoad, now time.Time) {
	t.remote[from] = remoteLoads{
		loads:      loads,
		reportedAt: now,
	}
}

// minCount is the count below which a row is forgotten.
const minCount = 0.5

// Local returns the sums of the entry instances that tell here, by cookie.
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

// Total returns the sums of all entry instances of the data centre, by cookie. What a
// control instance has told counts as long as it may be true.
func (t *Table) Total(now time.Time) []zf.ServerLoad {
	sums := make(map[zf.Cookie]int)
	for _, load := range t.Local(now) {
		sums[load.Cookie] = load.Requests
	}
	for from, report := range t.remote {
		if now.Sub(report.reportedAt) >= decayTime {
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
