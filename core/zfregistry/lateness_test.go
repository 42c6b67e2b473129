package zfregistry_test

import (
	"testing"
	"time"

	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// TestFormerReceiverCutOff guards against resets by the word of a control instance that received the
// heartbeats before and is cut off from the one that receives them now.
func TestFormerReceiverCutOff(t *testing.T) {
	former, next := newTable(), newTableOf(other)
	former.Announce(heartbeat("a", born, 1), start)
	next.Merge(former.Since(0, true, start), start)
	former.Merge(next.Since(0, true, start), start)
	for i := 1; i <= 6; i++ {
		now := start.Add(time.Duration(i) * interval)
		next.Announce(heartbeat("a", born, uint64(i+1)), now)
		next.Tick(now, start)
		former.Tick(now, start)
	}
	view := former.View(nil)[0]
	zfassert.True(t, "not late by missed heartbeats", !view.Late || view.Inferred)
}

// TestReceiverBesideSilentInstance guards against a dead backend server that others take for alive, or
// that is never known to be dead, since an instance beside its heartbeat receiver was silent. Its
// cases build on each other.
func TestReceiverBesideSilentInstance(t *testing.T) {
	receiver, silent, control := newTable(), newTableOf(other), newTableOf(third)
	receiver.Merge(silent.Since(0, true, start), start)
	receiver.Announce(heartbeat("a", born, 1), start)
	now := start
	var cursor uint64
	run := func(intervals int) {
		for end := now.Add(time.Duration(intervals) * interval); now.Before(end); now = now.Add(interval / 4) {
			receiver.Tick(now, start)
			changes := receiver.Since(cursor, true, now)
			cursor = changes.Cursor
			control.Merge(changes, now)
			control.Tick(now, start)
		}
	}
	for _, c := range []struct {
		name      string
		reporting time.Time
		inferred  bool
	}{
		{
			name:     "while that one is silent",
			inferred: true,
		},
		{
			name:      "once all have reported for long enough",
			reporting: start.Add(interval),
		},
		{
			name:     "once one is silent again",
			inferred: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			receiver.SetReportingSince(c.reporting)
			run(5)
			for name, table := range map[string]*zfregistry.Table{"receiver": receiver, "another instance": control} {
				view := table.View(nil)[0]
				zfassert.True(t, name+": late", view.Late)
				zfassert.Equal(t, name+": inferred", view.Inferred, c.inferred)
			}
		})
	}
}

// TestOldLatenessOfSilentReceiver guards against resets by the last word of a heartbeat receiver that
// was cut off since, while the heartbeats came in again there.
func TestOldLatenessOfSilentReceiver(t *testing.T) {
	here, there := newTable(), newTableOf(other)
	here.Announce(heartbeat("a", born, 1), start)
	there.Merge(here.Since(0, true, start), start)
	now := start
	for ; !here.Find("a").Late; now = now.Add(interval / 4) {
		here.Tick(now, start)
	}
	there.Merge(here.Since(0, true, now), now)
	zfassert.True(t, "late", there.Find("a").Late)
	for i := uint64(2); i < 22; i++ {
		now = now.Add(interval)
		here.Announce(heartbeat("a", born, i), now)
		here.Tick(now, start)
		there.Tick(now, start)
	}
	zfassert.True(t, "not late at its receiver", !here.Find("a").Late)
	view := there.View(nil)[0]
	zfassert.True(t, "not late by missed heartbeats", !view.Late || view.Inferred)
}

// TestLoadedLateness guards against resets by lateness that was saved before a restart.
func TestLoadedLateness(t *testing.T) {
	before := newTable()
	before.Announce(heartbeat("a", born, 1), start)
	now := start
	for ; !before.Find("a").Late; now = now.Add(interval / 4) {
		before.Tick(now, start)
	}
	after := newTableOf(other)
	updates := before.All(now)
	for i := range updates {
		updates[i].Age = 0
	}
	after.Merge(zfregistry.Changes{
		Updates: updates,
	}, now)
	view := after.View(nil)[0]
	zfassert.True(t, "not late by missed heartbeats", !view.Late || view.Inferred)
}

// TestCertainLateness guards against a dead backend server that is never known to be, since its
// heartbeat receiver ended at the same time.
func TestCertainLateness(t *testing.T) {
	for _, c := range []struct {
		name      string
		reporting time.Time
		inferred  bool
	}{
		{
			name:     "while another control instance doesn't report",
			inferred: true,
		},
		{
			name:      "once all have reported for long enough",
			reporting: start.Add(interval),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			receiver, control := newTable(), newTableOf(other)
			receiver.Announce(heartbeat("a", born, 1), start)
			control.Merge(receiver.Since(0, true, start), start)
			control.SetReportingSince(c.reporting)
			for now := start; now.Before(start.Add(10 * interval)); now = now.Add(interval / 4) {
				control.Tick(now, start)
			}
			view := control.View(nil)[0]
			zfassert.True(t, "late", view.Late)
			zfassert.Equal(t, "inferred", view.Inferred, c.inferred)
		})
	}
}
