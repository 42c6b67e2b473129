package zfregistry_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// A backend server stayed late for good at instances that were cut off from its heartbeat
// receiver for a while.
func TestReceiverCutOff(t *testing.T) {
	// heal cuts two tables off from each other for a while. The first goes on receiving the
	// heartbeats of a backend server and reports again afterwards. It returns the second one
	// a few intervals later.
	heal := func(cut time.Duration) *zfregistry.Table {
		here, there := newTable(), newTableOf(other)
		here.Announce(heartbeat("a", born, 1), start)
		changes := here.Since(0, true, start)
		there.Merge(changes, start)
		healed := start.Add(cut)
		session := false
		sequence := uint64(1)
		for now := start; now.Before(healed.Add(5 * interval)); now = now.Add(interval / 4) {
			if now.After(start) && now.Sub(start)%interval == 0 {
				sequence++
				here.Announce(heartbeat("a", born, sequence), now)
			}
			here.Tick(now, start)
			switch {
			case now.Before(healed):
			case !session: // The first fetch after a cut begins a session.
				changes = here.Diff(there.Digests(), 0, true, now)
				there.Merge(changes, now)
				session = true
			default:
				changes = here.Since(changes.Cursor, true, now)
				there.Merge(changes, now)
			}
			there.Tick(now, start)
		}
		zfassert.True(t, "not late at the receiver", !here.Find("a").Late)
		return there
	}
	for _, c := range []struct {
		name      string
		intervals int
	}{
		{
			name:      "until its reports are overdue",
			intervals: 4,
		},
		{
			name:      "until the backend server counts as silent",
			intervals: 6,
		},
		{
			name:      "until the backend server counts as gone",
			intervals: 20,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			there := heal(time.Duration(c.intervals) * interval)
			zfassert.True(t, "not late", !there.Find("a").Late)
			assertStatus(t, there, "a", zf.ServerWarm)
		})
	}
}

// One heartbeat that another instance received during a cut left a backend server late there
// and, by its report, at all others but the receiver.
func TestHeartbeatElsewhereDuringCut(t *testing.T) {
	receiver, cutOff, observer := newTable(), newTableOf(other), newTableOf(third)
	receiver.Announce(heartbeat("a", born, 1), start)
	known := receiver.Since(0, true, start)
	observer.Merge(known, start)
	cutOff.Merge(known, start)
	cutOff.Announce(heartbeat("a", born, 2), start.Add(interval))
	sequence := uint64(2)
	fromReceiver, fromCutOff := known.Cursor, uint64(0)
	healed := start.Add(3 * interval)
	for now := start.Add(2 * interval); now.Before(start.Add(12 * interval)); now = now.Add(interval) {
		sequence++
		receiver.Announce(heartbeat("a", born, sequence), now)
		if now.Before(healed) {
			continue
		}
		forCutOff, forOthers := receiver.Since(fromReceiver, true, now), cutOff.Since(fromCutOff, true, now)
		fromReceiver, fromCutOff = forCutOff.Cursor, forOthers.Cursor
		cutOff.Merge(forCutOff, now)
		receiver.Merge(forOthers, now)
		observer.Merge(forCutOff, now)
		observer.Merge(forOthers, now)
		receiver.Tick(now, healed)
		cutOff.Tick(now, healed)
		observer.Tick(now, healed)
	}
	zfassert.True(t, "not late at its receiver", !receiver.Find("a").Late)
	zfassert.True(t, "not late at the instance that was cut off", !cutOff.Find("a").Late)
	zfassert.True(t, "not late at a third instance", !observer.Find("a").Late)
}

// TestInferredLateness follows one backend server; its cases build on each other.
func TestInferredLateness(t *testing.T) {
	receiver, control := newTable(), newTableOf(other)
	config := zfregistry.DefaultConfig(0, interval)
	config.Subscriber = true
	entry := zfregistry.New(config)
	receiver.Announce(heartbeat("a", born, 1), start)
	control.Merge(receiver.Since(0, true, start), start)
	cutUntil := start.Add(5 * interval)
	for _, c := range []struct {
		name     string
		at       time.Time
		report   bool
		late     bool
		inferred bool
	}{
		{
			name: "while the receiver reports",
			at:   start.Add(interval),
		},
		{
			name:     "while its reports are missing",
			at:       cutUntil,
			late:     true,
			inferred: true,
		},
		{
			name:   "once it reports again",
			at:     cutUntil.Add(interval / 2),
			report: true,
		},
		{
			name:   "once it reports that it misses the heartbeats",
			at:     cutUntil.Add(interval),
			report: true,
			late:   true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for now := c.at.Add(-interval / 2); !now.After(c.at); now = now.Add(interval / 4) {
				if c.late && c.report {
					receiver.Tick(now, start)
				}
				if c.report {
					control.Merge(receiver.Since(0, true, now), now)
				}
				control.Tick(now, start)
			}
			entry.Merge(control.Since(0, false, c.at), c.at)
			for name, table := range map[string]*zfregistry.Table{"control": control, "entry": entry} {
				zfassert.Equal(t, name+": late", table.View(nil)[0].Late, c.late)
				zfassert.Equal(t, name+": inferred", table.View(nil)[0].Inferred, c.inferred)
			}
		})
	}
}
