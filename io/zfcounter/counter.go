// Package zfcounter holds the metrics of one process: counters and timers.
package zfcounter

import (
	"github.com/rcrowley/go-metrics"

	zf "zinniafront"
)

// ReasonCounters holds one counter for each reason.
type ReasonCounters struct {
	counters []metrics.Counter
}

func newReasonCounters(registry metrics.Registry, prefix string) ReasonCounters {
	reasons := zf.Reasons()
	r := ReasonCounters{
		counters: make([]metrics.Counter, len(reasons)+1),
	}
	for _, reason := range reasons {
		r.counters[reason] = metrics.NewRegisteredCounter(prefix+"."+reason.String(), registry)
	}
	return r
}

// Add increments the counter of a reason; ReasonNone has none.
func (r ReasonCounters) Add(reason zf.Reason) {
	if reason != zf.ReasonNone {
		r.counters[reason].Inc(1)
	}
}

// KindCounters holds one byte counter for each kind of message.
type KindCounters struct {
	counters []metrics.Counter
}

func newKindCounters(registry metrics.Registry, prefix string) KindCounters {
	k := KindCounters{
		counters: make([]metrics.Counter, zf.MessageLeave+1),
	}
	for kind := zf.MessageHeartbeat; kind <= zf.MessageLeave; kind++ {
		k.counters[kind] = metrics.NewRegisteredCounter(prefix+"."+kind.String(), registry)
	}
	return k
}

// AddBytes adds to the byte counter of a kind of message.
func (k KindCounters) AddBytes(kind zf.MessageKind, bytes int) { k.counters[kind].Inc(int64(bytes)) }

// ByteCounters count bytes in both directions.
type ByteCounters struct {
	Received metrics.Counter
	Sent     metrics.Counter
}

// Set holds all metrics of one process. docs/METRICS.md describes each.
type Set struct {
	Registry metrics.Registry

	PacketReceived  metrics.Counter
	PacketForwarded metrics.Counter
	// PacketHeld counts packets kept until the instance could route them.
	PacketHeld metrics.Counter
	// StartTime is the time from the start of the instance until it could route packets.
	StartTime     metrics.Gauge
	PacketRelayed ReasonCounters
	PacketDropped ReasonCounters
	FlowReset     ReasonCounters

	// MessageRefused counts received messages that were refused and, as sendfailed,
	// messages that could not be sent.
	MessageRefused ReasonCounters
	MessageSent    KindCounters
	MessageTaken   KindCounters
	ControlBytes   metrics.Counter

	// AnnounceTaken counts decoded announcements, including those that the table of
	// backend servers then refuses. AnnounceRefused counts the latter and the datagrams
	// that zfannounce refuses; heartbeats that package platform refuses are only logged.
	AnnounceTaken   metrics.Counter
	AnnounceRefused ReasonCounters

	RequestTaken   metrics.Counter
	RequestDone    metrics.Counter
	RequestRefused ReasonCounters
	RequestRetried ReasonCounters

	InboxDropped ReasonCounters

	// departureShares holds a gauge for each service whose new flows left.
	departureShares map[zf.ServiceName]metrics.GaugeFloat64
	// OpeningServer and OpeningCentre count the changes of what was inferred from opening
	// packets about backend servers and about data centres.
	OpeningServer metrics.Counter
	OpeningCentre metrics.Counter
	// ResourceUse is the smoothed use of each resource as a share of its limit, Strain the
	// zf.Strain, and Shed the share of opening packets that are dropped.
	ResourceUse [zf.ResourceDescriptors + 1]metrics.GaugeFloat64
	Strain      metrics.Gauge
	Shed        metrics.GaugeFloat64
	// Link counts the bytes on the instance's link: packets, and calls of this process
	// and of others, with the headers of datagrams.
	Link ByteCounters

	// AskTime, SaveTime and FetchTime are histograms of the durations of operations,
	// saves of the record, and fetches with their wait for changes.
	AskTime   metrics.Timer
	SaveTime  metrics.Timer
	FetchTime metrics.Timer
	// ForwardTime is a histogram of the time that handling a packet takes, from the end
	// of its read to the end of its write and log line. It includes dropped packets.
	// One packet in ForwardSampleInterval is timed.
	ForwardTime metrics.Timer
}

// ForwardSampleInterval is the number of packets of which one is timed. Sampling
// avoids two clock readings and a histogram update per packet, and is enough for
// percentiles.
const ForwardSampleInterval = 64

// New returns a set of metrics at zero.
func New() *Set {
	registry := metrics.NewRegistry()
	set := &Set{
		Registry:        registry,
		PacketReceived:  metrics.NewRegisteredCounter("packet.received", registry),
		PacketForwarded: metrics.NewRegisteredCounter("packet.forwarded", registry),
		PacketHeld:      metrics.NewRegisteredCounter("packet.held", registry),
		StartTime:       metrics.NewRegisteredGauge("start.time", registry),
		PacketRelayed:   newReasonCounters(registry, "packet.relayed"),
		PacketDropped:   newReasonCounters(registry, "packet.dropped"),
		FlowReset:       newReasonCounters(registry, "flow.reset"),
		MessageRefused:  newReasonCounters(registry, "message.refused"),
		MessageSent:     newKindCounters(registry, "message.sent"),
		MessageTaken:    newKindCounters(registry, "message.taken"),
		ControlBytes:    metrics.NewRegisteredCounter("control.bytes", registry),
		AnnounceTaken:   metrics.NewRegisteredCounter("announce.taken", registry),
		AnnounceRefused: newReasonCounters(registry, "announce.refused"),
		RequestTaken:    metrics.NewRegisteredCounter("request.taken", registry),
		RequestDone:     metrics.NewRegisteredCounter("request.done", registry),
		RequestRefused:  newReasonCounters(registry, "request.refused"),
		RequestRetried:  newReasonCounters(registry, "request.retried"),
		InboxDropped:    newReasonCounters(registry, "inbox.dropped"),
		departureShares: make(map[zf.ServiceName]metrics.GaugeFloat64),
		OpeningServer:   metrics.NewRegisteredCounter("opening.server", registry),
		OpeningCentre:   metrics.NewRegisteredCounter("opening.centre", registry),
		AskTime:         metrics.NewRegisteredTimer("ask.time", registry),
		SaveTime:        metrics.NewRegisteredTimer("save.time", registry),
		FetchTime:       metrics.NewRegisteredTimer("fetch.time", registry),
		ForwardTime:     metrics.NewRegisteredTimer("forward.time", registry),
		Strain:          metrics.NewRegisteredGauge("strain", registry),
		Shed:            metrics.NewRegisteredGaugeFloat64("shed", registry),
		Link: ByteCounters{
			Received: metrics.NewRegisteredCounter("link.received", registry),
			Sent:     metrics.NewRegisteredCounter("link.sent", registry),
		},
	}
	for resource := range set.ResourceUse {
		name := "resource.use." + zf.Resource(resource).String()
		set.ResourceUse[resource] = metrics.NewRegisteredGaugeFloat64(name, registry)
	}
	return set
}

// SetDepartures sets the gauges of the shares of new flows that leave, by service. It belongs
// to the control goroutine.
func (s *Set) SetDepartures(departures []zf.Departure) {
	for name, gauge := range s.departureShares {
		if _, leaves := zf.FindDeparture(departures, name); !leaves {
			gauge.Update(0)
		}
	}
	for _, departure := range departures {
		gauge := s.departureShares[departure.Service]
		if gauge == nil {
			gauge = metrics.NewRegisteredGaugeFloat64("departure.share."+string(departure.Service), s.Registry)
			s.departureShares[departure.Service] = gauge
		}
		gauge.Update(departure.Share())
	}
}
