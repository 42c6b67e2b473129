package zftraffic

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	zf "zinniafront"
	"zinniafront/io/zfevent"
)

const (
	// logBurst is the number of decisions that may be logged at once, and
	// logInterval the time after which another one may be: ten a second are enough
	// to follow a few callers, and bound the log in a flood.
	logBurst    = 20
	logInterval = 100 * time.Millisecond
	// strainedLogInterval is the time between two decisions on new flows while resources
	// are short.
	strainedLogInterval = time.Second
)

// DecisionLog logs decisions on packets up to a rate limit, and the number of those
// that the limit suppressed. Decisions that end or move open flows have a limit of their
// own, so that a flood of new flows doesn't suppress them.
type DecisionLog struct {
	logger   *zfevent.Logger
	stateAge StateAge
	// strained is set while resources are short.
	strained atomic.Bool
	mutex    sync.Mutex
	opening  rateLimit
	open     rateLimit
}

// rateLimit permits a line each interval on average, and logBurst at once.
type rateLimit struct {
	// credit is the time accumulated for log lines, up to that of a burst, as of
	// lastCredit. Each line costs an interval.
	credit     time.Duration
	lastCredit time.Time
	suppressed uint64
}

// StateAge returns the index of the control state in force and the time since the last
// fetch reply.
type StateAge func(now time.Time) (index uint64, age time.Duration)

// NewDecisionLog returns a decision log.
func NewDecisionLog(logger *zfevent.Logger, stateAge StateAge) *DecisionLog {
	return &DecisionLog{
		logger:   logger,
		stateAge: stateAge,
	}
}

// Log logs a decision unless it forwards a packet of an open flow to the same backend
// server as before. It is for mappers that never relay: a relay would be logged as a drop.
func (d *DecisionLog) Log(packet zf.Packet, verdict zf.Verdict, now time.Time) {
	event := zfevent.PacketDropped
	limit := &d.opening
	switch {
	case verdict.Action == zf.ActionReset:
		event = zfevent.FlowReset
	case verdict.Action == zf.ActionForward && packet.Kind == zf.PacketOpening:
		event = zfevent.FlowOpened
	case verdict.Action == zf.ActionForward && verdict.Previous != 0:
		event = zfevent.FlowMoved
	case verdict.Action == zf.ActionForward:
		return
	}
	if event == zfevent.FlowMoved || event == zfevent.FlowReset && packet.Kind != zf.PacketOpening {
		limit = &d.open
	}
	interval := logInterval
	if limit == &d.opening && d.strained.Load() {
		interval = strainedLogInterval
	}
	suppressed, ok := d.allow(limit, interval, now)
	if !ok {
		return
	}
	if suppressed > 0 {
		d.logger.Entry(zfevent.LinesSuppressed).Uint64("lines", suppressed).Msg("")
	}
	index, age := d.stateAge(now)
	entry := d.logger.Entry(event).Str("caller", packet.Flow.Source.String()).
		Str("route", packet.Flow.Destination.String()).Int("copy", packet.Retransmissions).
		Uint32("cookie", uint32(packet.Cookie)).Int("data", packet.PayloadSize).
		Uint64("index", index).Dur("age", age).Str("reason", verdict.Reason.String())
	if verdict.Number != 0 {
		entry = entry.Str("server", strconv.FormatUint(verdict.Number, 16))
	}
	if verdict.Previous != 0 {
		entry = entry.Str("previous", strconv.FormatUint(verdict.Previous, 16))
	}
	if verdict.Action == zf.ActionForward {
		entry = entry.Str("to", verdict.To.String()).Uint32("given", uint32(verdict.Cookie))
	}
	entry.Msg("")
}

// SetStrain puts off decisions on new flows while resources are short.
func (d *DecisionLog) SetStrain(strain zf.Strain) { d.strained.Store(strain != zf.StrainNone) }

// allow reports whether a rate limit permits a line, and how many were suppressed since
// the last one.
func (d *DecisionLog) allow(limit *rateLimit, interval time.Duration, now time.Time) (uint64, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	limit.credit = min(limit.credit+now.Sub(limit.lastCredit), logBurst*interval)
	limit.lastCredit = now
	if limit.credit < interval {
		limit.suppressed++
		return 0, false
	}
	limit.credit -= interval
	suppressed := limit.suppressed
	limit.suppressed = 0
	return suppressed, true
}
