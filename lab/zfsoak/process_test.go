package zfsoak

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"zinniafront/lab/zfassert"
)

// TestTaken plays a run whose addresses another one holds.
func TestTaken(t *testing.T) {
	holder, err := net.Listen("tcp", "127.78.255.1:"+strconv.Itoa(clusterPort))
	zfassert.NoError(t, err)
	defer holder.Close()
	_, err = Run(Config{
		Binary: "/bin/true",
		Folder: t.TempDir(),
		Subnet: 255,
	})
	zfassert.True(t, "an error that names the address", err != nil && strings.Contains(err.Error(), "127.78.255.1"))
}

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
