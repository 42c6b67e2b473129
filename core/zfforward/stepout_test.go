package zfforward_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// strained replays the load of an instance in the rotation.
type strained struct {
	world *zfforward.World
	now   time.Time
	// permits says what each reply to a request for a permit grants. Without replies the
	// control instance is lost.
	permits bool
	replies bool
}

func newStrained(permits bool) *strained {
	return &strained{
		world:   readyWorld(),
		now:     start,
		permits: permits,
		replies: true,
	}
}

// newSteppedOut returns an instance that has left the rotation during an overload.
func newSteppedOut(t testing.TB) *strained {
	t.Helper()
	s := newStrained(true)
	s.run(12*time.Second, 1)
	s.assertOut(t, true)
	return s
}

// run measures a use of the processor each 200 ms, and gets a reply each half second.
func (s *strained) run(d time.Duration, use float64) {
	const tick = 100 * time.Millisecond
	for i := range int(d / tick) {
		s.now = s.now.Add(tick)
		if i%2 == 0 {
			s.world.MeasureResources([]zf.ResourceUse{{
				Resource: zf.ResourceProcessor,
				Use:      use,
			}}, s.now)
		}
		s.world.Tick(s.now)
		if s.replies && i%5 == 0 {
			s.world.ApplyReply(zfforward.Reply{
				StepOutPermitted: s.permits && s.world.StepOutRequested(),
			}, s.now)
		}
	}
}

func (s *strained) assertOut(t testing.TB, want bool) {
	t.Helper()
	zfassert.Equal(t, "out", s.world.SteppedOut(), want)
	zfassert.Equal(t, "ready", s.world.Ready(), !want)
	zfassert.Equal(t, "able", s.world.Able(), !want)
	assertOpening(t, s.world, zf.ActionForward)
}

func TestStepOut(t *testing.T) {
	t.Run("a moment of full use requests nothing", func(t *testing.T) {
		s := newStrained(true)
		s.run(3*time.Second, 1)
		s.run(10*time.Second, 0.3)
		s.assertOut(t, false)
		zfassert.True(t, "no request", !s.world.StepOutRequested())
	})
	t.Run("an overloaded instance leaves with a permit and returns after the load", func(t *testing.T) {
		s := newSteppedOut(t)
		s.run(5*time.Second, 0.1)
		s.assertOut(t, true)
		s.run(7*time.Second, 0.1)
		s.assertOut(t, false)
	})
	t.Run("without a permit, as from an earlier version, it goes on", func(t *testing.T) {
		s := newStrained(false)
		s.run(60*time.Second, 1)
		s.assertOut(t, false)
	})
	t.Run("control instance lost between permit and return", func(t *testing.T) {
		s := newSteppedOut(t)
		s.replies = false
		s.run(2500*time.Millisecond, 1)
		s.assertOut(t, true)
		s.run(time.Second, 1)
		s.assertOut(t, false)
	})
	t.Run("a permit that is not renewed ends", func(t *testing.T) {
		s := newSteppedOut(t)
		s.permits = false
		s.run(4*time.Second, 1)
		s.assertOut(t, false)
	})
	t.Run("a permit that comes after the load has no effect", func(t *testing.T) {
		s := newStrained(false)
		s.run(12*time.Second, 1)
		zfassert.True(t, "requested", s.world.StepOutRequested())
		s.run(12*time.Second, 0.1)
		s.world.ApplyReply(zfforward.Reply{
			StepOutPermitted: true,
		}, s.now)
		s.assertOut(t, false)
	})
	t.Run("one that is asked to stop while it is out stops at once", func(t *testing.T) {
		s := newSteppedOut(t)
		s.world.Stop(time.Minute, s.now)
		zfassert.True(t, "stopping", s.world.Stopping())
	})
	t.Run("one that waits for a stop permit requests no other", func(t *testing.T) {
		s := newStrained(true)
		s.world.Stop(time.Minute, s.now)
		s.run(12*time.Second, 1)
		s.assertOut(t, false)
	})
}

// loadsObserver counts the reports of loads.
type loadsObserver struct {
	zf.Observer
	reports int
}

// Loads implements zinniafront.Observer.
func (o *loadsObserver) Loads() []zf.ServerLoad {
	o.reports++
	return nil
}

func TestStrainedReports(t *testing.T) {
	mapper := zfcookie.New(zfcookie.Config{})
	observer := &loadsObserver{
		Observer: mapper,
	}
	s := newStrained(false)
	s.world = zfforward.New(zfforward.Config{
		Mapper:   mapper,
		Observer: observer,
		Registry: zfregistry.DefaultConfig(1, time.Second),
	})
	assertReports := func(use float64, want int) {
		s.run(10*time.Second, use)
		s.world.Loads(s.now)
		observer.reports = 0
		for range 100 {
			s.run(100*time.Millisecond, use)
			s.world.Loads(s.now)
		}
		zfassert.Equal(t, "reports in 10 s", observer.reports, want)
	}
	t.Run("a short processor reports loads each second", func(*testing.T) { assertReports(0.9, 10) })
	t.Run("as it does without strain", func(*testing.T) { assertReports(0.3, 10) })
}
