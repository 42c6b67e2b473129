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

func TestMeasure(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits zfdocument.Resources
		known  bool
		want   map[zf.Resource]float64
	}{
		{
			name: "a link at 120 %, half of the processor and a quarter of memory",
			limits: zfdocument.Resources{
				Processor: 0.2,
				Memory:    100,
				Link:      1.6,
			},
			known: true,
			want: map[zf.Resource]float64{
				zf.ResourceProcessor: 0.5,
				zf.ResourceMemory:    0.25,
				zf.ResourceLink:      1.2,
			},
		},
		{
			name: "a resource without a limit, or whose use is not known, is left out",
			limits: zfdocument.Resources{
				Processor: 0.2,
				Link:      1.6,
			},
			want: map[zf.Resource]float64{
				zf.ResourceLink: 1.2,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			processor, link := time.Duration(0), zfcounter.New().Link
			meter := zfmeter.New(zfmeter.Config{
				Limits:        c.limits,
				Link:          link,
				ProcessorTime: func() (time.Duration, bool) { return processor, c.known },
				Memory:        func() uint64 { return 25_000_000 },
			})
			meter.Measure(start)
			processor += 100 * time.Millisecond
			link.Sent.Inc(240_000)
			link.Received.Inc(100_000)
			uses := meter.Measure(start.Add(time.Second))
			zfassert.Equal(t, "measured resources", len(uses), len(c.want))
			for _, use := range uses {
				zfassert.True(t, use.Resource.String(), math.Abs(use.Use-c.want[use.Resource]) < 1e-9)
			}
		})
	}
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
