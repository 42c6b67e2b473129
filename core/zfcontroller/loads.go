package zfcontroller

import (
	"time"

	zf "zinniafront"
)

// totalsInterval is the minimum time between two computations of the total loads. They are
// sums over seconds, and each entry instance of the data centre fetches them each second.
const totalsInterval = 100 * time.Millisecond

// totalLoads caches the loads summed over all entry instances of the data centre.
type totalLoads struct {
	loads      []zf.ServerLoad
	computedAt time.Time
}

// TotalLoads returns the loads summed over all entry instances of the data centre, as of
// totalsInterval ago at most. The slice must not be modified.
func (w *World) TotalLoads(now time.Time) []zf.ServerLoad {
	if age := now.Sub(w.totals.computedAt); w.totals.computedAt.IsZero() || age < 0 || age >= totalsInterval {
		w.totals = totalLoads{
			loads:      w.loads.Total(now),
			computedAt: now,
		}
	}
	return w.totals.loads
}
