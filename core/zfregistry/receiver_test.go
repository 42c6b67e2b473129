package zfregistry_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

func TestReceivers(t *testing.T) {
	// pair returns two tables, of which the first receives the heartbeats of a
	// backend server, and the cursor up to which the second has its changes.
	pair := func() (here, there *zfregistry.Table, cursor uint64) {
		here, there = newTable(), newTableOf(other)
		here.Announce(heartbeat("a", born, 1), start)
		changes := here.Since(0, true, start)
		there.Merge(changes, start)
		return here, there, changes.Cursor
	}
	t.Run("a report without changes implies that heartbeats arrive", func(t *testing.T) {
		here, there, cursor := pair()
		later := start.Add(5 * interval)
		here.Announce(heartbeat("a", born, 2), later)
		there.Merge(here.Since(cursor, true, later), later)
		there.Tick(later.Add(interval), start)
		assertStatus(t, there, "a", zf.ServerWarm)
		zfassert.True(t, "not late", !there.Find("a").Late)
	})
	t.Run("without reports of the receiver silence counts", func(t *testing.T) {
		_, there, _ := pair()
		there.Tick(start.Add(4*interval), start)
		zfassert.True(t, "late", there.Find("a").Late)
		there.Tick(start.Add(5*interval), start)
		assertStatus(t, there, "a", zf.ServerSilent)
	})
	t.Run("a backend server whose receiver is suspended is never late", func(t *testing.T) {
		for _, interval := range []time.Duration{250 * time.Millisecond, 770 * time.Millisecond, 1200 * time.Millisecond} {
			there := zfregistry.New(zfregistry.DefaultConfig(other, interval))
			here, next := newTable(), newTableOf(third)
			here.Announce(heartbeat("a", born, 1), start)
			there.Merge(here.Since(0, true, start), start)
			// The receiver is suspended right after a heartbeat, 0.4 s after its
			// last report. The next heartbeat goes to another instance once its
			// call has timed out.
			suspended := start.Add(400 * time.Millisecond)
			switched := suspended.Add(interval + time.Second)
			for now := start; now.Before(switched); now = now.Add(10 * time.Millisecond) {
				there.Tick(now, start)
			}
			next.Announce(heartbeat("a", born, 2), switched)
			now := switched.Add(100 * time.Millisecond)
			there.Tick(now, start)
			zfassert.True(t, interval.String()+": not late", !there.Find("a").Late)
			there.Merge(next.Since(0, true, now), now)
			there.Tick(now, start)
			assertStatus(t, there, "a", zf.ServerWarm)
		}
	})
	t.Run("the silence that the receiver reports is adopted", func(t *testing.T) {
		here, there, cursor := pair()
		for _, c := range []struct {
			after  time.Duration
			status zf.ServerState
		}{
			{
				after:  3 * interval,
				status: zf.ServerWarm,
			},
			{
				after:  4 * interval,
				status: zf.ServerSilent,
			},
			{
				after:  16 * interval,
				status: zf.ServerGone,
			},
		} {
			now := start.Add(c.after)
			here.Tick(now, start)
			there.Merge(here.Since(cursor, true, now), now)
			assertStatus(t, there, "a", c.status)
			zfassert.True(t, "late", there.Find("a").Late)
		}
	})
	t.Run("the silence that another instance reports is not", func(t *testing.T) {
		_, there, _ := pair()
		isolated := newTableOf(third)
		isolated.Merge(there.Since(0, true, start), start)
		later := start.Add(5 * interval)
		isolated.Tick(later, start)
		assertStatus(t, isolated, "a", zf.ServerSilent)
		there.Merge(isolated.Since(0, true, later), later)
		assertStatus(t, there, "a", zf.ServerWarm)
	})
	t.Run("a change of receiver is reported", func(t *testing.T) {
		here, there, cursor := pair()
		moved := start.Add(interval)
		known := there.Since(0, true, moved).Cursor
		there.Announce(heartbeat("a", born, 2), moved)
		changes := there.Since(known, true, moved)
		zfassert.Equal(t, "heartbeats", len(changes.Beats), 1)
		zfassert.Equal(t, "rows for entry instances", len(there.Since(known, false, moved).Updates), 0)
		here.Merge(changes, moved)
		later := start.Add(5 * interval)
		here.Merge(there.Since(changes.Cursor, true, later), later)
		here.Tick(later, start)
		assertStatus(t, here, "a", zf.ServerWarm)
		zfassert.Equal(t, "changes", len(here.Since(cursor, false, later).Updates), 0)
	})
}

func TestSuspicion(t *testing.T) {
	here, there := newTable(), newTableOf(other)
	here.Announce(heartbeat("a", born, 1), start)
	until := start.Add(3 * time.Second)
	here.MarkSuspect("a", born, until)
	there.Merge(here.Since(0, true, start), start)
	t.Run("it is reported", func(t *testing.T) {
		zfassert.True(t, "suspect", there.View(nil)[0].Suspect)
	})
	t.Run("tables that report it to each other converge", func(t *testing.T) {
		before := here.ContentRevision()
		here.Merge(there.Since(0, true, start.Add(time.Millisecond)), start.Add(2*time.Millisecond))
		zfassert.Equal(t, "news", here.ContentRevision(), before)
	})
	t.Run("heartbeats don't end it", func(t *testing.T) {
		here.Announce(heartbeat("a", born, 2), start.Add(time.Second))
		zfassert.True(t, "suspect", here.View(nil)[0].Suspect)
	})
	t.Run("it expires", func(t *testing.T) {
		there.Tick(until, time.Time{})
		zfassert.True(t, "not suspect", !there.View(nil)[0].Suspect)
	})
	t.Run("an unknown backend server is ignored", func(t *testing.T) {
		before := here.ContentRevision()
		here.MarkSuspect("b", born, until)
		zfassert.Equal(t, "news", here.ContentRevision(), before)
	})
}
