// Package zfoutlier finds backend servers that leave requests unanswered while
// others of their service answer them. Its table has one row for each that lately
// did, fed by the outcomes that entry instances tell; its system judges the rows
// each tick.
package zfoutlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	zf "zinniafront"
)

// Config holds the constants of a table.
type Config struct {
	// HalfLife is the time after which an outcome counts half.
	HalfLife time.Duration
	// MinUnanswered is the number of unanswered requests below which nothing is judged;
	// packets get lost, and callers give up for reasons of their own.
	MinUnanswered float64
	// MinUnansweredRate is the share of unanswered requests from which a backend server may be
	// an outlier, and MinRatio how many times that of the others it has to be, as in
	// an overload all of them are slow.
	MinUnansweredRate float64
	MinRatio          float64
	// MaxSuspectShare is the part of a service that may be outliers at once.
	MaxSuspectShare float64
	// SuspectTime is how long an outlier gets no new flows before it is judged anew.
	SuspectTime time.Duration
}

// DefaultConfig returns the constants for entry instances that tell outcomes each
// half second.
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

// row is what is known of one life of a backend server. Its counts are decayed
// up to at.
type row struct {
	answered   float64
	unanswered float64
	decayedAt  time.Time
	// suspectUntil is the end of the probation.
	suspectUntil time.Time
}

// Table holds the backend servers that lately left requests unanswered.
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

// Record takes outcomes that an entry instance tells.
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

// removeBelow is the count below which a row tells nothing any more.
const removeBelow = 0.1

// Server is one backend server that takes flows now.
type Server struct {
	Name    zf.ServerName
	Born    time.Time
	Service zf.ServiceName
}

// Outlier tells that a backend server is an outlier.
type Outlier struct {
	Server     zf.ServerName
	Born       time.Time
	Answered   float64
	Unanswered float64
	// Duration is how long it should get no new flows.
	Duration time.Duration
}

// serviceCounts is what is known of one service.
type serviceCounts struct {
	servers  int
	suspects int
	// rows is the number of rows, answered and unanswered are their sums.
	rows       int
	answered   float64
	unanswered float64
	candidates []candidate
}

// candidate is a row that may be an outlier.
type candidate struct {
	*row
	server Server
}

// HasRows reports whether there is anything to judge.
func (t *Table) HasRows() bool { return len(t.rows) > 0 }

// Tick judges the rows of the backend servers that take flows now, and returns
// those that became outliers or still are.
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

// findOutliers returns the outliers of a service, the worst ones first up to its bound.
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

// unansweredRate is the share of unanswered requests.
func (r *row) unansweredRate() float64 {
	if r.unanswered == 0 {
		return 0
	}
	return r.unanswered / (r.answered + r.unanswered)
}

// isOutlier compares a row with the mean of the others of its service. Those that
// are not in the table left no request unanswered.
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

// removeDecayed removes the rows that tell nothing any more.
func (t *Table) removeDecayed(now time.Time) {
	for incarnation, r := range t.rows {
		t.decay(r, now)
		if r.unanswered < removeBelow && !now.Before(r.suspectUntil) {
			delete(t.rows, incarnation)
		}
	}
}
