package zfforwardloop_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfforwardloop"
	"zinniafront/lab/zfassert"
)

// tickInterval is the interval at which the loop promises to run all systems.
const tickInterval = 100 * time.Millisecond

// manualClock is a clock that tests advance.
type manualClock struct {
	mutex  sync.Mutex
	now    time.Time
	timers map[chan time.Time]time.Time
}

func newManualClock() *manualClock {
	return &manualClock{
		now:    time.Unix(1_700_000_000, 0),
		timers: make(map[chan time.Time]time.Time),
	}
}

func (c *manualClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *manualClock) After(d time.Duration) (<-chan time.Time, func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	fired := make(chan time.Time, 1)
	c.timers[fired] = c.now.Add(d)
	return fired, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.timers, fired)
	}
}

// advance moves the clock and fires the timers that are due.
func (c *manualClock) advance(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(d)
	for fired, due := range c.timers {
		if !c.now.Before(due) {
			delete(c.timers, fired)
			fired <- c.now
		}
	}
}

// countingMapper counts the ticks of a mapper.
type countingMapper struct {
	zf.Mapper
	ticks atomic.Int64
}

func (m *countingMapper) Tick(now time.Time, view zf.View) []zf.Envelope {
	m.ticks.Add(1)
	return m.Mapper.Tick(now, view)
}

// newLoop returns the loop of an entry instance that doesn't run yet. meter may be nil.
func newLoop(clock zf.Clock, meter zf.Meter) (*zfforwardloop.Loop, *countingMapper) {
	mapper := &countingMapper{
		Mapper: zfcookie.New(zfcookie.Config{}),
	}
	return newLoopWith(clock, meter, mapper), mapper
}

// newLoopWith returns the loop of an entry instance with a mapper.
func newLoopWith(clock zf.Clock, meter zf.Meter, mapper zf.Mapper) *zfforwardloop.Loop {
	return zfforwardloop.New(zfforwardloop.Config{
		World: zfforward.New(zfforward.Config{
			Self:     "e1",
			Centre:   "one",
			Mapper:   mapper,
			Observer: zfcookie.New(zfcookie.Config{}),
			Registry: zfregistry.DefaultConfig(1, time.Second),
		}),
		Decode: func([]byte) (*zfbundle.Bundle, error) { return &zfbundle.Bundle{}, nil },
		Source: 1,
		Clock:  clock,
		Logger: zfevent.New(zfevent.Config{
			Output: io.Discard,
			Level:  "error",
		}),
		Meter:    meter,
		Counters: zfcounter.New(),
	})
}

// run runs a loop until the test ends.
func run(t testing.TB, loop *zfforwardloop.Loop) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go loop.Run(ctx)
	loop.FetchState(false) // Returns once the loop runs and has its first timer.
}

// runLoop runs the loop of an entry instance until the test ends.
func runLoop(t testing.TB, clock zf.Clock) (*zfforwardloop.Loop, *countingMapper) {
	t.Helper()
	loop, mapper := newLoop(clock, nil)
	run(t, loop)
	return loop, mapper
}

func TestTick(t *testing.T) {
	t.Run("the systems run without events", func(t *testing.T) {
		clock := newManualClock()
		loop, mapper := runLoop(t, clock)
		clock.advance(tickInterval)
		loop.FetchState(false)
		loop.FetchState(false) // A tick that is due goes before the next event.
		zfassert.Equal(t, "ticks", mapper.ticks.Load(), int64(1))
	})
	t.Run("the systems run however many events there are", func(t *testing.T) {
		clock := newManualClock()
		loop, mapper := runLoop(t, clock)
		const (
			span  = 2 * time.Second
			pause = tickInterval / 2
		)
		for range int(span / pause) {
			clock.advance(pause)
			loop.FetchState(false)
		}
		loop.FetchState(false)
		zfassert.True(t, "a tick at least each interval and pause", mapper.ticks.Load() >= int64(span/(tickInterval+pause)))
	})
}

func TestRoutable(t *testing.T) {
	loop, _ := newLoop(newManualClock(), nil)
	calls := 0
	loop.OnRoutable(func() int {
		calls++
		return 0
	})
	run(t, loop)
	t.Run("an instance without tables releases nothing", func(t *testing.T) {
		zfassert.Equal(t, "calls", calls, 0)
	})
	t.Run("the first state lets it route, once", func(t *testing.T) {
		for range 2 {
			loop.ApplyReply(zfcluster.FetchReply{
				Index:    1,
				Document: []byte("1"),
			})
		}
		loop.FetchState(false)
		zfassert.Equal(t, "calls", calls, 1)
	})
}
