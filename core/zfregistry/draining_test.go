package zfregistry_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// TestSilentDraining guards against new flows to a backend server that drains once its heartbeats
// are missed.
func TestSilentDraining(t *testing.T) {
	draining := heartbeat("a", born, 1)
	draining.State = zf.ServerDraining
	silent := start.Add(6 * interval)
	// drained returns a table that received the heartbeat, one that was told of it by the former
	// and hears nothing more, and a subscriber of the latter.
	drained := func() (receiver, control, subscriber *zfregistry.Table) {
		receiver, control, subscriber = newTable(), newTableOf(third), newSubscriber()
		receiver.Announce(draining, start)
		control.Merge(receiver.Since(0, true, start), start)
		subscriber.Merge(control.Since(0, false, start), start)
		return receiver, control, subscriber
	}
	assertDraining := func(t testing.TB, table *zfregistry.Table) {
		t.Helper()
		assertStatus(t, table, "a", zf.ServerDraining)
		zfassert.True(t, "late", table.Find("a").Late)
		zfassert.Equal(t, "weight", table.View(nil)[0].Weight, 0.0)
	}
	t.Run("its heartbeat receiver is cut off", func(t *testing.T) {
		_, control, subscriber := drained()
		control.Tick(silent, start)
		assertDraining(t, control)
		subscriber.Merge(control.Since(0, false, silent), silent)
		assertDraining(t, subscriber)
	})
	t.Run("it is cut off itself", func(t *testing.T) {
		receiver, control, _ := drained()
		receiver.Tick(silent, start)
		assertDraining(t, receiver)
		control.Merge(receiver.Since(0, true, silent), silent)
		assertDraining(t, control)
	})
	t.Run("a control instance of an earlier version reports it as silent", func(t *testing.T) {
		_, control, subscriber := drained()
		control.Tick(silent, start)
		changes := control.Since(0, false, silent)
		changes.Updates[0].Status = zf.ServerSilent
		subscriber.Merge(changes, silent)
		assertDraining(t, subscriber)
	})
	t.Run("a control instance that restarts reads it as silent from its disk", func(t *testing.T) {
		receiver, _, _ := drained()
		receiver.Tick(silent, start)
		restarted := newTable()
		updates := receiver.All(silent)
		updates[0].Status = zf.ServerSilent
		restarted.Merge(zfregistry.Changes{
			Updates: updates,
		}, silent)
		assertDraining(t, restarted)
	})
	t.Run("it is gone after a long silence", func(t *testing.T) {
		_, control, _ := drained()
		control.Tick(start.Add(time.Minute), start)
		assertStatus(t, control, "a", zf.ServerGone)
	})
}
