package zfforward_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// assertLimits checks how many limits the world's mapper gets at a time.
func assertLimits(t testing.TB, world *zfforward.World, admission *recordedAdmission, now time.Time, want int) {
	t.Helper()
	world.Tick(now)
	zfassert.Equal(t, "limits", len(admission.limits), want)
}

// recordedAdmission records the limits that it gets.
type recordedAdmission struct {
	zfadmission.Callers
	limits []zf.AdmissionLimit
}

func (a *recordedAdmission) Tick(_ time.Time, limits []zf.AdmissionLimit) { a.limits = limits }

func TestLimits(t *testing.T) {
	admission := &recordedAdmission{}
	mapper := zfcookie.New(zfcookie.Config{
		Admission: admission,
	})
	world := zfforward.New(zfforward.Config{
		Mapper:   mapper,
		Observer: mapper,
		Registry: zfregistry.DefaultConfig(1, time.Second),
	})
	reply := zfforward.Reply{
		Loads: []zf.ServerLoad{{}},
		Limits: []zf.AdmissionLimit{{
			Service: "orders",
		}},
	}
	world.ApplyReply(reply, start)
	t.Run("a reply without loads changes none", func(t *testing.T) {
		world.ApplyReply(zfforward.Reply{}, start.Add(time.Second))
		assertLimits(t, world, admission, start.Add(time.Second), 1)
	})
	t.Run("they expire if control instances are not reached", func(t *testing.T) {
		assertLimits(t, world, admission, start.Add(4900*time.Millisecond), 1)
		assertLimits(t, world, admission, start.Add(5*time.Second), 0)
	})
	t.Run("a later reply ends them", func(t *testing.T) {
		world.ApplyReply(reply, start.Add(6*time.Second))
		assertLimits(t, world, admission, start.Add(6*time.Second), 1)
		world.ApplyReply(zfforward.Reply{
			Loads: reply.Loads,
		}, start.Add(7*time.Second))
		assertLimits(t, world, admission, start.Add(7*time.Second), 0)
	})
}
