package zfregistry_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// TestDeathDuringCut guards against a backend server that died during a cut between its
// heartbeat receiver and another control instance being taken for alive there for good.
func TestDeathDuringCut(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  int
		// heartbeats is the number of heartbeats that came in before the last report.
		heartbeats uint64
	}{
		{
			name:       "gone at both, with heartbeats since the first report",
			cut:        20,
			heartbeats: 2,
		},
		{
			name: "silent at its receiver",
			cut:  8,
		},
		{
			name: "gone at both",
			cut:  20,
		},
		{
			name: "removed at its receiver",
			cut:  77,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			here, there := newTable(), newTableOf(other)
			here.Announce(heartbeat("a", born, 1), start)
			there.Merge(here.Since(0, true, start), start)
			for sequence := uint64(2); sequence < 2+c.heartbeats; sequence++ {
				here.Announce(heartbeat("a", born, sequence), start.Add(interval/2))
			}
			// The cut begins one interval after the first heartbeat.
			begin := start.Add(interval)
			there.Merge(here.Since(here.Revision(), true, begin), begin)
			healed := start.Add(time.Duration(c.cut) * interval)
			session := false
			var cursor uint64
			for now := begin; now.Before(healed.Add(30 * interval)); now = now.Add(interval / 4) {
				here.Tick(now, start)
				if !now.Before(healed) {
					var changes zfregistry.Changes
					if !session {
						changes = here.Diff(there.Digests(), 0, true, now)
						session = true
					} else {
						changes = here.Since(cursor, true, now)
					}
					cursor = changes.Cursor
					there.Merge(changes, now)
				}
				there.Tick(now, start)
			}
			if row := there.Find("a"); row != nil {
				zfassert.Equal(t, "state", row.Status, zf.ServerGone)
			}
		})
	}
}

// TestRemovedDuringMinority guards against a dead backend server being taken for alive for good at a
// control instance that was in a minority until its heartbeat receiver had removed the row.
func TestRemovedDuringMinority(t *testing.T) {
	here, there := newTable(), newTableOf(other)
	here.Announce(heartbeat("a", born, 1), start)
	there.Merge(here.Since(0, true, start), start)
	healed := start.Add(80 * interval)
	now := start
	for ; now.Before(healed); now = now.Add(interval / 4) {
		here.Tick(now, start)
		there.Tick(now, time.Time{})
	}
	zfassert.Equal(t, "rows at the receiver", here.Size(), 0)
	changes := here.Diff(there.Digests(), 0, true, now)
	for ; now.Before(healed.Add(30 * interval)); now = now.Add(interval / 4) {
		there.Merge(changes, now)
		there.Tick(now, healed)
		changes = here.Since(changes.Cursor, true, now)
	}
	assertStatus(t, there, "a", zf.ServerGone)
}
