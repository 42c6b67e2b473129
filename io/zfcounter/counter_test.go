package zfcounter_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
	"zinniafront/lab/zfassert"
)

func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	zfassert.NoError(t, err)
	for _, reason := range zf.Reasons() {
		t.Run(reason.String(), func(t *testing.T) {
			zfassert.Contains(t, string(page), "| `"+reason.String()+"` |")
		})
	}
	t.Run("every counter", func(t *testing.T) {
		set := zfcounter.New()
		set.SetRoom(zf.ServiceRoom{
			Service: "orders",
		}, time.Millisecond)
		set.Registry.Each(func(name string, _ any) {
			prefix := name
			if parts := strings.Split(name, "."); len(parts) == 3 {
				prefix = parts[0] + "." + parts[1]
			}
			zfassert.Contains(t, string(page), "`"+prefix)
		})
	})
}

func TestReasons(t *testing.T) {
	set := zfcounter.New()
	set.PacketDropped.Add(zf.ReasonMalformed)
	set.PacketDropped.Add(zf.ReasonNone)
	counter, ok := set.Registry.Get("packet.dropped.malformed").(interface{ Count() int64 })
	zfassert.True(t, "registered", ok)
	zfassert.Equal(t, "count", counter.Count(), int64(1))
}

func TestDepartureShares(t *testing.T) {
	counters := zfcounter.New()
	assertGauge := func(t testing.TB, service zf.ServiceName, want float64) {
		t.Helper()
		gauge, known := counters.Registry.Get("departure.share." + string(service)).(metrics.GaugeFloat64)
		zfassert.True(t, "gauge is known", known)
		zfassert.Equal(t, "share", gauge.Value(), want)
	}
	leaves := func(service zf.ServiceName) zf.Departure {
		return zf.Departure{
			Service: service,
			To: []zf.CentreShare{{
				Centre: "two",
				Share:  0.25,
			}},
		}
	}
	counters.SetDepartures([]zf.Departure{leaves("orders"), leaves("proofs")})
	t.Run("of two services", func(t *testing.T) { assertGauge(t, "proofs", 0.25) })
	counters.SetDepartures([]zf.Departure{leaves("proofs")})
	t.Run("one remains", func(t *testing.T) { assertGauge(t, "proofs", 0.25) })
	t.Run("the other ends", func(t *testing.T) { assertGauge(t, "orders", 0) })
}
