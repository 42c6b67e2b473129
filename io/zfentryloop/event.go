package zfentryloop

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfinstance"
	"zinniafront/core/zfrequest"
)

// event is an entry of the control goroutine's inbox.
type event interface {
	// apply updates the world. It runs on the control goroutine.
	apply(l *Loop, now time.Time)
}

type announceEvent struct{ announcement zf.Announcement }

type messageEvent struct{ envelope zf.Envelope }

type stateEvent struct {
	state zfinstance.State
	done  chan<- struct{}
}

type stopEvent struct{}

type reportEvent struct{ reply chan<- Report }

type acquireEvent struct {
	request zfrequest.Request
	reply   chan<- Grant
}

type releaseEvent struct{ id zfrequest.ID }

func (e announceEvent) apply(l *Loop, now time.Time) {
	if reason := l.config.World.Announce(e.announcement, now); reason != zf.ReasonNone {
		l.config.Counters.AnnounceRefused.Add(reason)
	}
}

func (e messageEvent) apply(l *Loop, now time.Time) {
	l.config.World.Receive(e.envelope, now)
}

func (e stateEvent) apply(l *Loop, _ time.Time) {
	l.applyState(e.state)
	close(e.done)
}

func (stopEvent) apply(l *Loop, now time.Time) { l.config.World.Stop(now) }

func (e reportEvent) apply(l *Loop, now time.Time) { e.reply <- l.report(now) }

func (e acquireEvent) apply(l *Loop, now time.Time) {
	l.replies[e.request.ID] = e.reply
	l.config.World.Requests().Submit(e.request, now)
	l.requestsChanged = true
}

func (e releaseEvent) apply(l *Loop, _ time.Time) {
	l.config.World.Requests().Finish(e.id)
	delete(l.replies, e.id)
	l.requestsChanged = true
}
