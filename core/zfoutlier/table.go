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
	at         time.Time
	// until is the end of the probation.
	until time.Time
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
		k := zf.NewServerIncarnation(o.Server, o.Born)
		r := t.rows[k]
		if r == nil {
			r = &row{
				at: now,
			}
			t.rows[k] = r
		}
		t.decay(r, now)
		r.answered += float64(max(o.Answered, 0))
		r.unanswered += float64(max(o.Unanswered, 0))
	}
}

func (t *Table) decay(r *row, now time.Time) {
	share := math.Exp2(-float64(now.Sub(r.at)) / float64(t.config.HalfLife))
	r.answered *= share
	r.unanswered *= share
	r.at = now
}

// forgotten is the count below which a row tells nothing any more.
const forgotten = 0.1

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

// group is what is known of one service.
type group struct {
	alive    int
	suspects int
	// known is the number of rows, answered and unanswered are their sums.
	known      int
	answered   float64
	unanswered float64
	judged     []judged
}

// judged is a row that may be an outlier.
type judged struct {
	*row
	server Server
}

// HasRows reports whether there is anything to judge.
func (t *Table) HasRows() bool { return len(t.rows) > 0 }

// Tick judges the rows of the backend servers that take flows now, and returns
// those that became outliers or still are.
func (t *Table) Tick(servers []Server, now time.Time) []Outlier {
	groups := make(map[zf.ServiceName]*group)
	for _, s := range servers {
		g := groups[s.Service]
		if g == nil {
			g = &group{}
			groups[s.Service] = g
		}
		g.alive++
		r := t.rows[zf.NewServerIncarnation(s.Name, s.Born)]
		if r == nil {
			continue
		}
		t.decay(r, now)
		g.known++
		g.answered += r.answered
		g.unanswered += r.unanswered
		if now.Before(r.until) {
			g.suspects++
			continue
		}
		g.judged = append(g.judged, judged{
			row:    r,
			server: s,
		})
	}
	var verdicts []Outlier
	for _, g := range groups {
		verdicts = append(verdicts, t.judge(g, now)...)
	}
	slices.SortFunc(verdicts, func(a, b Outlier) int { return cmp.Compare(a.Server, b.Server) })
	t.forget(now)
	return verdicts
}

// judge returns the outliers of a service, the worst ones first up to its bound.
func (t *Table) judge(g *group, now time.Time) []Outlier {
	slices.SortFunc(g.judged, func(a, b judged) int {
		return cmp.Or(cmp.Compare(b.rate(), a.rate()), cmp.Compare(a.server.Name, b.server.Name))
	})
	most := 0
	if g.alive > 1 {
		most = int(math.Ceil(float64(g.alive) * t.config.MaxSuspectShare))
	}
	var verdicts []Outlier
	for _, j := range g.judged {
		if g.suspects >= most {
			break
		}
		if !t.outlier(j.row, g) {
			continue
		}
		g.suspects++
		j.until = now.Add(t.config.SuspectTime)
		verdicts = append(verdicts, Outlier{
			Server:     j.server.Name,
			Born:       j.server.Born,
			Answered:   j.answered,
			Unanswered: j.unanswered,
			Duration:   t.config.SuspectTime,
		})
	}
	return verdicts
}

// rate is the share of unanswered requests.
func (r *row) rate() float64 {
	if r.unanswered == 0 {
		return 0
	}
	return r.unanswered / (r.answered + r.unanswered)
}

// outlier compares a row with the mean of the others of its service. Those that
// are not in the table left no request unanswered.
func (t *Table) outlier(r *row, g *group) bool {
	if r.unanswered < t.config.MinUnanswered || r.rate() < t.config.MinUnansweredRate {
		return false
	}
	others := row{
		answered:   g.answered - r.answered,
		unanswered: g.unanswered - r.unanswered,
	}
	mean := others.rate() * float64(g.known-1) / float64(max(g.alive-1, 1))
	return r.rate() >= t.config.MinRatio*mean
}

// forget removes the rows that tell nothing any more.
func (t *Table) forget(now time.Time) {
	for k, r := range t.rows {
		t.decay(r, now)
		if r.unanswered < forgotten && !now.Before(r.until) {
			delete(t.rows, k)
		}
	}
}
