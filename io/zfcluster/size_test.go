package zfcluster_test

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfload"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

// fleetServers is the number of backend servers in a data centre of a fleet of 928 entry
// instances in nine data centres.
const fleetServers = 1011

// manyLoads returns loads with a mean number of requests to each backend server.
func manyLoads(requests int) []zf.ServerLoad {
	random := rand.New(rand.NewPCG(1, 2))
	loads := make([]zf.ServerLoad, 0, fleetServers)
	for range fleetServers {
		n := 1 + random.IntN(2*requests)
		loads = append(loads, zf.ServerLoad{
			Cookie:   zf.Cookie(random.Uint32()),
			Requests: n,
			Answers:  n,
			Busy:     time.Duration(n) * time.Duration(random.IntN(int(40*time.Millisecond))),
			Bytes:    n * random.IntN(8000),
			Opened:   n / 2,
			Unopened: random.IntN(2),
		})
	}
	return loads
}

// gobSize returns the bytes of the second message of a connection: the first one describes
// the types.
func gobSize(t testing.TB, message any) float64 {
	t.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	zfassert.NoError(t, encoder.Encode(message))
	first := buffer.Len()
	zfassert.NoError(t, encoder.Encode(message))
	return float64(buffer.Len() - first)
}

func TestLoadTraffic(t *testing.T) {
	report := gobSize(t, zfcluster.FetchArgs{
		Loads: manyLoads(10),
	})
	totals := gobSize(t, zfcluster.FetchReply{
		Loads: manyLoads(300),
	})
	interval := zfload.ReportInterval(manyLoads(300))
	t.Logf("bytes a backend server: report %.1f, totals %.1f; every %v", report/fleetServers, totals/fleetServers, interval)
	zfassert.AtMost(t, "bytes a second", (report+totals)/interval.Seconds(), 10_000)
	counts := []zf.ServerLoad{{
		Requests: 100,
	}}
	zfassert.Equal(t, "interval of counts alone", zfload.ReportInterval(counts), time.Second)
}
