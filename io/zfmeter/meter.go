// Package zfmeter measures the use of the resources of this process.
package zfmeter

import (
	"runtime/metrics"
	"syscall"
	"time"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
)

const (
	bytesPerMegabyte = 1_000_000
	// bytesPerMegabit converts the limit of a link.
	bytesPerMegabit = bytesPerMegabyte / 8
)

// Config holds what a meter is built from.
type Config struct {
	Limits zfdocument.Resources
	Link   zfcounter.ByteCounters
	// ProcessorTime returns the processor time that the process has used, or false if it
	// is not known. Memory returns the bytes of memory that it has mapped.
	ProcessorTime func() (time.Duration, bool)
	Memory        func() uint64
}

// Meter implements zinniafront.Meter. It belongs to the control goroutine.
type Meter struct {
	config Config
	last   reading
}

// reading holds the sums at a measurement.
type reading struct {
	at             time.Time
	processor      time.Duration
	processorKnown bool
	received, sent int64
}

// New returns a meter.
func New(config Config) *Meter {
	return &Meter{
		config: config,
	}
}

// Measure implements zinniafront.Meter. The first call returns the use of memory only. The
// use of the link is that of the direction with more bytes.
func (m *Meter) Measure(now time.Time) []zf.ResourceUse {
	limits, last := m.config.Limits, m.last
	m.last = reading{
		at:       now,
		received: m.config.Link.Received.Count(),
		sent:     m.config.Link.Sent.Count(),
	}
	m.last.processor, m.last.processorKnown = m.config.ProcessorTime()
	uses := make([]zf.ResourceUse, 0, zf.ResourceDescriptors+1)
	add := func(resource zf.Resource, used, limit float64) {
		if limit > 0 {
			uses = append(uses, zf.ResourceUse{
				Resource: resource,
				Use:      used / limit,
			})
		}
	}
	add(zf.ResourceMemory, float64(m.config.Memory()), limits.Memory*bytesPerMegabyte)
	elapsed := now.Sub(last.at).Seconds()
	if last.at.IsZero() || elapsed <= 0 {
		return uses
	}
	if last.processorKnown && m.last.processorKnown {
		add(zf.ResourceProcessor, (m.last.processor - last.processor).Seconds(), limits.Processor*elapsed)
	}
	bytes := max(m.last.received-last.received, m.last.sent-last.sent)
	add(zf.ResourceLink, float64(bytes), limits.Link*bytesPerMegabit*elapsed)
	return uses
}

// ProcessorTime returns the processor time of this process.
func ProcessorTime() (time.Duration, bool) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0, false
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), true
}

// Memory returns the bytes of memory that the Go runtime has mapped and not returned.
func Memory() uint64 {
	samples := []metrics.Sample{
		{
			Name: "/memory/classes/total:bytes",
		},
		{
			Name: "/memory/classes/heap/released:bytes",
		},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
