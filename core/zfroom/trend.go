package zfroom

import (
	"math"
	"time"

	"zinniafront/core/zfload"
)

const (
	// trendInterval is the time over which the current demand is measured: entry instances
	// report once in it.
	trendInterval = time.Second
	// trendPrior is the number of requests below which a change is chance.
	trendPrior = 10
)

// trend is the factor between the current demand of a service in a data centre and its
// decayed sum, which follows a burst late.
type trend struct {
	// requests is the sum at a time.
	requests float64
	at       time.Time
	factor   float64
}

// update measures the demand since the last update, unless that was just now.
func (t *trend) update(requests float64, now time.Time) {
	elapsed := now.Sub(t.at)
	if elapsed < trendInterval {
		return
	}
	kept := math.Exp(-float64(elapsed) / float64(zfload.DecayTime))
	current := max(requests-t.requests*kept, 0) / (1 - kept)
	t.factor = (current + trendPrior) / (requests + trendPrior)
	t.requests = requests
	t.at = now
}

// updateTrends updates the trends by the sums of requests.
func (t *Table) updateTrends(now time.Time) {
	requests := make(map[key]float64, len(t.trends))
	for _, row := range t.rows {
		requests[row.key()] += float64(row.load.Requests)
	}
	trends := make(map[key]*trend, len(requests))
	for k, sum := range requests {
		trends[k] = t.trends[k]
		if trends[k] == nil {
			trends[k] = &trend{
				requests: sum,
				at:       now,
				factor:   1,
			}
		}
		trends[k].update(sum, now)
	}
	t.trends = trends
}

// trendOf returns the factor of the trend of a key.
func (t *Table) trendOf(k key) float64 {
	if known := t.trends[k]; known != nil {
		return known.factor
	}
	return 1
}
