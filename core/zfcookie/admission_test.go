package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// fullMapper returns a mapper with a limit of the service, and its view.
func fullMapper(target time.Duration) (*zfcookie.Mapper, zf.View) {
	v := view(row(1, "orders", "one"), row(2, "orders", "one"))
	v.Routes[0].Target = target
	v.Limits = []zf.AdmissionLimit{{
		Service: "orders",
		Share:   0.3,
	}}
	mapper := zfcookie.New(zfcookie.Config{
		Seed:      1,
		Admission: zfadmission.NewCallers(zfadmission.Config{}),
	})
	mapper.Tick(start, v)
	return mapper, v
}

// refusals returns the number of 100 new flows that are turned away, and their ports.
func refusals(mapper *zfcookie.Mapper, now time.Time) []int {
	var ports []int
	for port := range 100 {
		if verdict := mapper.Route(opening(port, 0), now); verdict.Reason == zf.ReasonNoRoom {
			ports = append(ports, port)
		}
	}
	return ports
}

func TestNoRoom(t *testing.T) {
	mapper, v := fullMapper(500 * time.Millisecond)
	refused := refusals(mapper, start)
	t.Run("some new flows are reset", func(t *testing.T) {
		zfassert.True(t, "some", len(refused) > 50 && len(refused) < 100)
		assertVerdict(t, mapper.Route(opening(refused[0], 1), start), zf.ActionReset, zf.ReasonNoRoom)
	})
	t.Run("open flows go on", func(t *testing.T) {
		packet := data(refused[0], zfcookie.CookieOf("s1", start), 1)
		assertVerdict(t, mapper.Route(packet, start), zf.ActionForward, zf.ReasonNone)
	})
	t.Run("a decision allocates nothing", func(t *testing.T) {
		zfassert.Equal(t, "allocations", testing.AllocsPerRun(100, func() { mapper.Route(opening(1, 0), start) }), 0.0)
	})
	t.Run("none is reset without limits", func(t *testing.T) {
		v.Limits = nil
		mapper.Tick(start, v)
		zfassert.Equal(t, "reset", len(refusals(mapper, start)), 0)
	})
	t.Run("none is reset if its route states no target", func(t *testing.T) {
		mapper, _ := fullMapper(0)
		zfassert.Equal(t, "reset", len(refusals(mapper, start)), 0)
	})
}

func BenchmarkAdmission(b *testing.B) {
	for _, c := range []struct {
		name   string
		limits []zf.AdmissionLimit
	}{
		{
			name: "without a limit",
		},
		{
			name: "with a limit",
			limits: []zf.AdmissionLimit{{
				Service: "orders",
				Share:   1,
			}},
		},
	} {
		b.Run(c.name, func(b *testing.B) {
			mapper, v := fullMapper(time.Second)
			v.Limits = c.limits
			for n := range uint64(148) {
				v.Servers = append(v.Servers, row(n+3, "orders", "one"))
			}
			v.Revision++
			mapper.Tick(start, v)
			for port := range 4096 {
				mapper.Route(opening(port, 0), start)
			}
			mapper.Tick(start.Add(time.Second), v)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				mapper.Route(opening(i%4096, 0), start)
			}
		})
	}
}
