package zftraffic

import (
	"strconv"
	"sync"
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
)

// DecisionLog logs decisions on packets up to a rate limit, and the number of those
// that the limit suppressed.
type DecisionLog struct {
	logger   *zfevent.Logger
	stateAge StateAge
	mutex    sync.Mutex
	// credit is the time accumulated for log lines, up to that of a burst, as of
	// lastCredit. Each line costs logInterval.
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

// Log logs a decision unless it forwards a packet of an open flow. It is for mappers
// that never relay: a relay would be logged as a drop.
func (d *DecisionLog) Log(packet zf.Packet, verdict zf.Verdict, now time.Time) {
	event := zfevent.PacketDropped
	switch {
	case verdict.Action == zf.ActionReset:
		event = zfevent.FlowReset
	case verdict.Action == zf.ActionForward && packet.Kind == zf.PacketOpening:
		event = zfevent.FlowOpened
	case verdict.Action == zf.ActionForward:
		return
	}
	suppressed, ok := d.allow(now)
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
	if verdict.Action == zf.ActionForward {
		entry = entry.Str("server", strconv.FormatUint(verdict.Number, 16)).Str("to", verdict.To.String()).
			Uint32("given", uint32(verdict.Cookie))
	}
	entry.Msg("")
}

// allow reports whether the rate limit permits a line, and how many were suppressed
// since the last one. A line costs logInterval of credit.
func (d *DecisionLog) allow(now time.Time) (uint64, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.credit = min(d.credit+now.Sub(d.lastCredit), logBurst*logInterval)
	d.lastCredit = now
	if d.credit < logInterval {
		d.suppressed++
		return 0, false
	}
	d.credit -= logInterval
	suppressed := d.suppressed
	d.suppressed = 0
	return suppressed, true
}
