package zfsoak

import (
	"testing"
	"time"

	"zinniafront/lab/zfassert"
)

// TestStarts reads the number of starts while a process that ends by itself is
// started again and again, as one may be when a run is over.
func TestStarts(t *testing.T) {
	s := &soak{
		check: newChecker(1),
		controls: []*machine{
			{
				name:   "m1",
				folder: t.TempDir(),
				binary: "/bin/true",
			},
		},
	}
	zfassert.NoError(t, s.controls[0].run())
	deadline := time.Now().Add(20 * restartPause)
	starts := 0
	for starts < 3 && time.Now().Before(deadline) {
		time.Sleep(restartPause / 10)
		s.check.report.Starts = 0
		starts = s.finish().Starts
	}
	s.controls[0].stop()
	zfassert.True(t, "it was started again and again", starts >= 3)
}
