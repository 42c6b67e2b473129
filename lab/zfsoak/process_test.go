package zfsoak

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"zinniafront/lab/zfassert"
)

// TestAddressInUse starts a run with a proxy address that is already in use.
func TestAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.78.255.1:"+strconv.Itoa(clusterPort))
	zfassert.NoError(t, err)
	defer listener.Close()
	_, err = Run(Config{
		Binary: "/bin/true",
		Folder: t.TempDir(),
		Subnet: 255,
	})
	zfassert.True(t, "an error that names the address", err != nil && strings.Contains(err.Error(), "127.78.255.1"))
}

// TestStarts reads the number of starts while a process that exits by itself is
// restarted concurrently, as can happen at the end of a run.
func TestStarts(t *testing.T) {
	s := &soak{
		checker: newChecker(1),
		controls: []*instance{
			{
				name:   "m1",
				folder: t.TempDir(),
				binary: "/bin/true",
			},
		},
	}
	zfassert.NoError(t, s.controls[0].supervise())
	deadline := time.Now().Add(20 * restartPause)
	starts := 0
	for starts < 3 && time.Now().Before(deadline) {
		time.Sleep(restartPause / 10)
		s.checker.report.Starts = 0
		starts = s.buildReport().Starts
	}
	s.controls[0].stop()
	zfassert.True(t, "the process was restarted", starts >= 3)
}
