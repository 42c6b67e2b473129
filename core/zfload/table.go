// Package zfload sums the load of backend servers over the entry instances of a
// data centre. Its table has a row for each backend server that recently received
// requests: the sums that entry instances report to this control instance, and those
// that the other control instances of the data centre report.
package zfload

import (
	"cmp"
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

// DecayTime is the time after which a request counts 1/e: a sum divided by it is a rate.
// Flows send a request every one to three seconds; with the longest such time a row
// approximates the number of flows of its backend server.
const DecayTime = 3 * time.Second

// decayedSums are exponentially decaying sums, valid at decayedAt.
type decayedSums struct {
	requests  float64
	answers   float64
	rejected  float64
	busy      float64
	bytes     float64
	opened    float64
	unopened  float64
	decayedAt time.Time
}

func (s *decayedSums) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(s.decayedAt)) / float64(DecayTime))
	s.requests *= factor
	s.answers *= factor
	s.rejected *= factor
	s.busy *= factor
	s.bytes *= factor
	s.opened *= factor
	s.unopened *= factor
	s.decayedAt = now
}

func (s *decayedSums) add(load zf.ServerLoad) {
	s.requests += float64(max(load.Requests, 0))
	s.answers += float64(max(load.Answers, 0))
	s.rejected += float64(max(load.Rejected, 0))
	s.busy += float64(max(load.Busy, 0))
	s.bytes += float64(max(load.Bytes, 0))
	s.opened += float64(max(load.Opened, 0))
	s.unopened += float64(max(load.Unopened, 0))
}

// negligible reports whether all counts are below minCount.
func (s *decayedSums) negligible() bool {
	return max(s.requests, s.answers, s.rejected, s.opened, s.unopened) < minCount
}

// load returns the sums of the backend server of a cookie, rounded.
func (s *decayedSums) load(cookie zf.Cookie) zf.ServerLoad {
	return zf.ServerLoad{
		Cookie:   cookie,
		Requests: int(math.Round(s.requests)),
		Answers:  int(math.Round(s.answers)),
		Rejected: int(math.Round(s.rejected)),
		Busy:     time.Duration(math.Round(s.busy)),
		Bytes:    int(math.Round(s.bytes)),
		Opened:   int(math.Round(s.opened)),
		Unopened: int(math.Round(s.unopened)),
	}
}

// remoteLoads is the last report of another control instance.
type remoteLoads struct {
	loads      []zf.ServerLoad
	reportedAt time.Time
}

// Table holds the loads. Its rows are keyed by cookie.
type Table struct {
	local map[zf.Cookie]*decayedSums
	// remote holds the last report of each other control instance, by the Source of
	// its fetch replies.
	remote map[uint64]remoteLoads
}

// New returns a table without rows.
func New() *Table {
	return &Table{
		local:  make(map[zf.Cookie]*decayedSums),
		remote: make(map[uint64]remoteLoads),
	}
}

// Record adds what an entry instance has observed since its last report.
func (t *Table) Record(loads []zf.ServerLoad, now time.Time) {
	for _, load := range loads {
		row := t.local[load.Cookie]
		if row == nil {
			row = &decayedSums{
				decayedAt: now,
			}
			t.local[load.Cookie] = row
		}
		row.decay(now)
		row.add(load)
	}
}

// SetRemote replaces the sums of another control instance.
func (t *Table) SetRemote(from uint64, loads []zf.ServerLoad, now time.Time) {
	t.remote[from] = remoteLoads{
		loads:      loads,
		reportedAt: now,
	}
}

// minCount is the count below which a row is removed, if all its counts are.
const minCount = 0.5

// Local removes the rows below minCount and returns the others, ordered by cookie: the
// sums over the entry instances that report to this control instance.
func (t *Table) Local(now time.Time) []zf.ServerLoad {
	loads := make([]zf.ServerLoad, 0, len(t.local))
	for cookie, row := range t.local {
		row.decay(now)
		if row.negligible() {
			delete(t.local, cookie)
			continue
		}
		loads = append(loads, row.load(cookie))
	}
	slices.SortFunc(loads, func(a, b zf.ServerLoad) int { return cmp.Compare(a.Cookie, b.Cookie) })
	return loads
}

// Total returns the sums over all entry instances of the data centre, ordered by
// cookie. The report of another control instance counts for DecayTime.
func (t *Table) Total(now time.Time) []zf.ServerLoad {
	loads := t.Local(now)
	index := make(map[zf.Cookie]int, len(loads))
	for i, load := range loads {
		index[load.Cookie] = i
	}
	for from, report := range t.remote {
		if now.Sub(report.reportedAt) >= DecayTime {
			delete(t.remote, from)
			continue
		}
		for _, load := range report.loads {
			i, ok := index[load.Cookie]
			if !ok {
				index[load.Cookie] = len(loads)
				loads = append(loads, load)
				continue
			}
			loads[i] = sum(loads[i], load)
		}
	}
	slices.SortFunc(loads, func(a, b zf.ServerLoad) int { return cmp.Compare(a.Cookie, b.Cookie) })
	return loads
}

// sum returns the sum of two loads of one backend server.
func sum(a, b zf.ServerLoad) zf.ServerLoad {
	return zf.ServerLoad{
		Cookie:   a.Cookie,
		Requests: a.Requests + b.Requests,
		Answers:  a.Answers + b.Answers,
		Rejected: a.Rejected + b.Rejected,
		Busy:     a.Busy + b.Busy,
		Bytes:    a.Bytes + b.Bytes,
		Opened:   a.Opened + b.Opened,
		Unopened: a.Unopened + b.Unopened,
	}
}
