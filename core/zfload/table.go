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

// keepTime is the time after which a request counts 1/e: the time between two
// requests of a flow, so that a row tells the flows of its backend server.
const keepTime = 3 * time.Second

// sum is a decayed count up to at.
type sum struct {
	count float64
	at    time.Time
}

func (s *sum) decay(now time.Time) {
	s.count *= math.Exp(-float64(now.Sub(s.at)) / float64(keepTime))
	s.at = now
}

// told is what another control instance told.
type told struct {
	loads []zf.ServerLoad
	at    time.Time
}

// Table holds the loads. Its rows are told by cookie.
type Table struct {
	own    map[zf.Cookie]*sum
	others map[uint64]told
}

// New returns a table without rows.
func New() *Table {
	return &Table{
		own:    make(map[zf.Cookie]*sum),
		others: make(map[uint64]told),
	}
}

// Record takes the requests that an entry instance has sent since it told last.
func (t *Table) Record(loads []zf.ServerLoad, now time.Time) {
	for _, load := range loads {
		row := t.own[load.Cookie]
		if row == nil {
			row = &sum{
				at: now,
			}
			t.own[load.Cookie] = row
		}
		row.decay(now)
		row.count += float64(max(load.Requests, 0))
	}
}

// SetRemote takes the sums of another control instance.
func (t *Table) SetRemote(from uint64, loads []zf.ServerLoad, now time.Time) {
	t.others[from] = told{
		loads: loads,
		at:    now,
	}
}

// least is the count below which a row is forgotten.
const least = 0.5

// Local returns the sums of the entry instances that tell here, by cookie.
func (t *Table) Local(now time.Time) []zf.ServerLoad {
	loads := make([]zf.ServerLoad, 0, len(t.own))
	for cookie, row := range t.own {
		row.decay(now)
		if row.count < least {
			delete(t.own, cookie)
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
	for from, other := range t.others {
		if now.Sub(other.at) >= keepTime {
			delete(t.others, from)
			continue
		}
		for _, load := range other.loads {
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
