package zfregistry_test

import (
	"testing"

	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// TestSwitchedSession guards against lateness that stays for good at an entry instance that
// moved to a control instance with an earlier sequence.
func TestSwitchedSession(t *testing.T) {
	receiver, next := newTable(), newTableOf(other)
	entry := newSubscriber()
	receiver.Announce(heartbeat("a", born, 1), start)
	changes := receiver.Since(0, true, start)
	next.Merge(changes, start)
	receiver.Announce(heartbeat("a", born, 2), start.Add(interval))
	// The receiver misses heartbeats, tells the entry instance and ends before it tells others.
	now := start.Add(interval)
	for ; now.Before(start.Add(5 * interval)); now = now.Add(interval / 4) {
		receiver.Tick(now, start)
	}
	entry.Merge(receiver.Since(0, false, now), now)
	zfassert.True(t, "late", entry.Find("a").Late)
	// The entry instance opens a session with another one, to which the heartbeats go now.
	fetched := next.Diff(entry.Digests(), 0, false, now)
	cursor := fetched.Cursor
	entry.Merge(fetched, now)
	next.Merge(zfregistry.Changes{
		Updates: entry.MissingFrom(fetched, now),
	}, now)
	sequence := uint64(3)
	for end := now.Add(10 * interval); now.Before(end); now = now.Add(interval) {
		next.Announce(heartbeat("a", born, sequence), now)
		sequence++
		next.Tick(now, start)
		fetched = next.Since(cursor, false, now)
		cursor = fetched.Cursor
		entry.Merge(fetched, now)
	}
	zfassert.True(t, "not late at the control instance", !next.Find("a").Late)
	zfassert.True(t, "not late at the entry instance", !entry.Find("a").Late)
}
