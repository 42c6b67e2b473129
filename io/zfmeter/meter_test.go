package zfmeter_test

import (
	"math"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfmeter"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

// process is a process whose use of resources tests set.
type process struct {
	processor time.Duration
	known     bool
	memory    uint64
	link      zfcounter.ByteCounters
}

func newProcess() *process {
	return &process{
		known: true,
		link:  zfcounter.New().Link,
	}
}

func (p *process) meter(limits zfdocument.Resources) *zfmeter.Meter {
	return zfmeter.New(zfmeter.Config{
		Limits:        limits,
		Link:          p.link,
		ProcessorTime: func() (time.Duration, bool) { return p.processor, p.known },
		Memory:        func() uint64 { return p.memory },
	})
}

func assertUses(t testing.TB, uses []zf.ResourceUse, want map[zf.Resource]float64) {
	t.Helper()
	zfassert.Equal(t, "measured resources", len(uses), len(want))
	for _, use := range uses {
		zfassert.True(t, use.Resource.String(), math.Abs(use.Use-want[use.Resource]) < 1e-9)
	}
}

func TestMeasure(t *testing.T) {
	all := zfdocument.Resources{
		Processor: 0.2,
		Memory:    100,
		Link:      1.6,
	}
	// use has the process use a second's worth of resources between two measurements.
	use := func(p *process, limits zfdocument.Resources) []zf.ResourceUse {
		meter := p.meter(limits)
		meter.Measure(start)
		p.processor += 100 * time.Millisecond
		p.memory = 25_000_000
		p.link.Sent.Inc(240_000)
		p.link.Received.Inc(100_000)
		return meter.Measure(start.Add(time.Second))
	}
	t.Run("a link at 120 %, half of the processor and a quarter of memory", func(t *testing.T) {
		assertUses(t, use(newProcess(), all), map[zf.Resource]float64{
			zf.ResourceProcessor: 0.5,
			zf.ResourceMemory:    0.25,
			zf.ResourceLink:      1.2,
		})
	})
	t.Run("a resource without a limit is not measured", func(t *testing.T) {
		assertUses(t, use(newProcess(), zfdocument.Resources{
			Link: 1.6,
		}), map[zf.Resource]float64{
			zf.ResourceLink: 1.2,
		})
	})
	t.Run("nor is the processor if its time is not known", func(t *testing.T) {
		p := newProcess()
		p.known = false
		assertUses(t, use(p, all), map[zf.Resource]float64{
			zf.ResourceMemory: 0.25,
			zf.ResourceLink:   1.2,
		})
	})
	t.Run("the first measurement has no time to relate to", func(t *testing.T) {
		assertUses(t, newProcess().meter(all).Measure(start), map[zf.Resource]float64{
			zf.ResourceMemory: 0,
		})
	})
}

func BenchmarkMeasure(b *testing.B) {
	meter := zfmeter.New(zfmeter.Config{
		Limits: zfdocument.Resources{
			Processor: 0.2,
			Memory:    100,
			Link:      1.6,
		},
		Link:          zfcounter.New().Link,
		ProcessorTime: zfmeter.ProcessorTime,
		Memory:        zfmeter.Memory,
	})
	for now := start; b.Loop(); now = now.Add(200 * time.Millisecond) {
		meter.Measure(now)
	}
}
