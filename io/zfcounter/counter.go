// Package zfcounter holds the counters of one process.
package zfcounter

import (
	"github.com/rcrowley/go-metrics"

	zf "zinniafront"
)

// ReasonCounters is one counter for each reason.
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

// Add counts one case of a reason.
func (r ReasonCounters) Add(reason zf.Reason) {
	if reason != zf.ReasonNone {
		r.counters[reason].Inc(1)
	}
}

// KindCounters is one counter for each kind of message.
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

// AddBytes counts bytes of a kind of message.
func (k KindCounters) AddBytes(kind zf.MessageKind, bytes int) { k.counters[kind].Inc(int64(bytes)) }

// Set is all counters of one process. docs/METRICS.md describes each.
type Set struct {
	Registry metrics.Registry

	PacketReceived  metrics.Counter
	PacketForwarded metrics.Counter
	PacketRelayed   ReasonCounters
	PacketDropped   ReasonCounters
	FlowReset       ReasonCounters

	MessageRefused ReasonCounters
	MessageSent    KindCounters
	MessageTaken   KindCounters
	ControlBytes   metrics.Counter

	AnnounceTaken   metrics.Counter
	AnnounceRefused ReasonCounters

	RequestTaken   metrics.Counter
	RequestDone    metrics.Counter
	RequestRefused ReasonCounters
	RequestRetried ReasonCounters

	InboxDropped ReasonCounters

	// AskTime, SaveTime and FetchTime are histograms of how long a command or a
	// read, a save of the record, and a fetch without news took.
	AskTime   metrics.Timer
	SaveTime  metrics.Timer
	FetchTime metrics.Timer
	// ForwardTime is a histogram of the time from a packet's arrival to its
	// departure, of one packet in ForwardSampleInterval.
	ForwardTime metrics.Timer
}

// ForwardSampleInterval is every how many packets one is timed, so that two readings of the
// clock and the histogram don't fall on each; a sample is enough for percentiles.
const ForwardSampleInterval = 64

// New returns a set of counters at zero.
func New() *Set {
	registry := metrics.NewRegistry()
	return &Set{
		Registry:        registry,
		PacketReceived:  metrics.NewRegisteredCounter("packet.received", registry),
		PacketForwarded: metrics.NewRegisteredCounter("packet.forwarded", registry),
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
		AskTime:         metrics.NewRegisteredTimer("ask.time", registry),
		SaveTime:        metrics.NewRegisteredTimer("save.time", registry),
		FetchTime:       metrics.NewRegisteredTimer("fetch.time", registry),
		ForwardTime:     metrics.NewRegisteredTimer("forward.time", registry),
	}
}
