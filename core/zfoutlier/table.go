// Package zfoutlier detects backend servers that leave requests unanswered while
// the others of their service answer them. Its table has one row for each that
// recently did, updated by the outcomes that entry instances report. Its system
// evaluates the rows each tick.
package zfoutlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

// Config holds the thresholds of a table.
type Config struct {
	// HalfLife is the half-life of the counts of outcomes.
	HalfLife time.Duration
	// MinUnanswered is the number of unanswered requests below which a backend server
	// is not an outlier: packets get lost, and callers give up for reasons of their
	// own.
	MinUnanswered float64
	// MinUnansweredRate is the minimum share of unanswered requests of an outlier.
	// MinRatio is the minimum ratio of that share to the mean of the other backend
	// servers of the service, since in an overload all of them are slow.
	MinUnansweredRate float64
	MinRatio          float64
	// MaxSuspectShare is the maximum share of a service's backend servers that are
	// suspect at the same time.
	MaxSuspectShare float64
	// SuspectTime is how long an outlier gets no new flows before it is evaluated
	// again.
	SuspectTime time.Duration
}

// DefaultConfig returns the thresholds for entry instances that report outcomes
// every half second.
func DefaultConfig() Config {
	return Config{
		HalfLife:          4 * time.Second,
		MinUnanswered:     3,
		MinUnansweredRate: 0.15,
		MinRatio:          3,
		MaxSuspectShare:   0.25,
		SuspectTime:       3 * time.Second,
	}
}

// row counts the outcomes of one incarnation of a backend server. The counts decay
// and are valid at decayedAt.
type row struct {
	answered   float64
	unanswered float64
	decayedAt  time.Time
	// suspectUntil is when an outlier is evaluated again.
	suspectUntil time.Time
}

// Table holds the backend servers that recently left requests unanswered.
type Table struct {
	config Config
	rows   map[zf.ServerIncarnation]*row
}

// New returns a table without rows.
func New(config Config) *Table {
	return &Table{
		config: config,
		rows:   make(map[zf.ServerIncarnation]*row),
	}
}

// Record adds the outcomes that an entry instance reports.
func (t *Table) Record(outcomes []zf.Outcome, now time.Time) {
	for _, o := range outcomes {
		incarnation := zf.NewServerIncarnation(o.Server, o.Born)
		r := t.rows[incarnation]
		if r == nil {
			r = &row{
				decayedAt: now,
			}
			t.rows[incarnation] = r
		}
		t.decay(r, now)
		r.answered += float64(max(o.Answered, 0))
		r.unanswered += float64(max(o.Unanswered, 0))
	}
}

func (t *Table) decay(r *row, now time.Time) {
	factor := math.Exp2(-float64(now.Sub(r.decayedAt)) / float64(t.config.HalfLife))
	r.answered *= factor
	r.unanswered *= factor
	r.decayedAt = now
}

// removeBelow is the number of unanswered requests below which a row is removed.
const removeBelow = 0.1

// Server identifies a backend server that currently takes new flows.
type Server struct {
	Name    zf.ServerName
	Born    time.Time
	Service zf.ServiceName
}

// Outlier is a backend server that was found to be an outlier, with its counts.
type Outlier struct {
	Server     zf.ServerName
	Born       time.Time
	Answered   float64
	Unanswered float64
	// Duration is how long the backend server should get no new flows.
	Duration time.Duration
}

// serviceCounts sums the rows of one service.
type serviceCounts struct {
	// servers is the number of backend servers, suspects how many are suspect.
	servers  int
	suspects int
	// rows is the number of rows, answered and unanswered are their totals.
	rows       int
	answered   float64
	unanswered float64
	candidates []candidate
}

// candidate is a row that is not suspect yet.
type candidate struct {
	*row
	server Server
}

// HasRows reports whether there is any row to evaluate.
func (t *Table) HasRows() bool { return len(t.rows) > 0 }

// Tick evaluates the rows of the given backend servers, marks the outliers as suspect
// and returns the newly marked ones. A suspect backend server is evaluated again at the
// end of its suspect time.
func (t *Table) Tick(servers []Server, now time.Time) []Outlier {
	services := make(map[zf.ServiceName]*serviceCounts)
	for _, s := range servers {
		counts := services[s.Service]
		if counts == nil {
			counts = &serviceCounts{}
			services[s.Service] = counts
		}
		counts.servers++
		r := t.rows[zf.NewServerIncarnation(s.Name, s.Born)]
		if r == nil {
			continue
		}
		t.decay(r, now)
		counts.rows++
		counts.answered += r.answered
		counts.unanswered += r.unanswered
		if now.Before(r.suspectUntil) {
			counts.suspects++
			continue
		}
		counts.candidates = append(counts.candidates, candidate{
			row:    r,
			server: s,
		})
	}
	var outliers []Outlier
	for _, counts := range services {
		outliers = append(outliers, t.findOutliers(counts, now)...)
	}
	slices.SortFunc(outliers, func(a, b Outlier) int { return cmp.Compare(a.Server, b.Server) })
	t.removeDecayed(now)
	return outliers
}

// findOutliers marks the outliers of a service as suspect and returns them, those
// with the highest unanswered rate first, up to MaxSuspectShare.
func (t *Table) findOutliers(counts *serviceCounts, now time.Time) []Outlier {
	slices.SortFunc(counts.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.unansweredRate(), a.unansweredRate()), cmp.Compare(a.server.Name, b.server.Name))
	})
	maxSuspects := 0
	if counts.servers > 1 {
		maxSuspects = int(math.Ceil(float64(counts.servers) * t.config.MaxSuspectShare))
	}
	var outliers []Outlier
	for _, c := range counts.candidates {
		if counts.suspects >= maxSuspects {
			break
		}
		if !t.isOutlier(c.row, counts) {
			continue
		}
		counts.suspects++
		c.suspectUntil = now.Add(t.config.SuspectTime)
		outliers = append(outliers, Outlier{
			Server:     c.server.Name,
			Born:       c.server.Born,
			Answered:   c.answered,
			Unanswered: c.unanswered,
			Duration:   t.config.SuspectTime,
		})
	}
	return outliers
}

// unansweredRate returns the share of unanswered requests.
func (r *row) unansweredRate() float64 {
	if r.unanswered == 0 {
		return 0
	}
	return r.unanswered / (r.answered + r.unanswered)
}

// isOutlier compares a row with the mean of the other backend servers of its service.
// Those without a row left no request unanswered.
func (t *Table) isOutlier(r *row, counts *serviceCounts) bool {
	if r.unanswered < t.config.MinUnanswered || r.unansweredRate() < t.config.MinUnansweredRate {
		return false
	}
	others := row{
		answered:   counts.answered - r.answered,
		unanswered: counts.unanswered - r.unanswered,
	}
	mean := others.unansweredRate() * float64(counts.rows-1) / float64(max(counts.servers-1, 1))
	return r.unansweredRate() >= t.config.MinRatio*mean
}

// removeDecayed removes the rows whose counts have decayed to nearly zero.
func (t *Table) removeDecayed(now time.Time) {
	for incarnation, r := range t.rows {
		t.decay(r, now)
		if r.unanswered < removeBelow && !now.Before(r.suspectUntil) {
			delete(t.rows, incarnation)
		}
	}
}
