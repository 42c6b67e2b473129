package zfopening

import (
	"time"

	zf "zinniafront"
)

// Change returns the verdict on the backend server, without its name, and whether it has
// changed since the last call that returned a change. The control goroutine calls it.
func (s *Server) Change(now time.Time) (verdict zf.OpeningVerdict, changed bool) {
	refuses := s.refuses(now)
	if refuses == s.reported {
		return zf.OpeningVerdict{}, false
	}
	s.reported = refuses
	verdict = s.centre.verdict(&s.callers, now)
	verdict.Sample = s.sample
	verdict.Share = 1
	if refuses {
		verdict.Share = 0
	}
	return verdict, true
}

// CentreChanges returns the verdicts on data centres that have changed since the last
// call. The control goroutine calls it.
func (t *Table) CentreChanges(now time.Time) []zf.OpeningVerdict {
	var changes []zf.OpeningVerdict
	for _, c := range *t.centres.Load() {
		phase := c.evaluate(now)
		if phase == c.reported {
			continue
		}
		c.reported = phase
		verdict := c.verdict(&c.callers, now)
		verdict.Servers = c.servers.count(now)
		verdict.Share = c.share(phase, now)
		changes = append(changes, verdict)
	}
	return changes
}

// verdict returns a verdict with the data centre and the evidence by caller.
func (c *Centre) verdict(callers *evidence, now time.Time) zf.OpeningVerdict {
	verdict := zf.OpeningVerdict{
		Centre:  c.name,
		Callers: callers.count(now),
		Timeout: c.table.Timeout(),
	}
	if at := callers.lastAt.Load(); at != 0 {
		verdict.Age = time.Duration(now.UnixNano() - at)
	}
	return verdict
}
