package zfregistry

import (
	"slices"
	"time"

	zf "zinniafront"
)

// Tick expires silent rows, if this instance decides on that. hearing is since
// when every heartbeat could have arrived; the zero value tells that it can't
// now. It also ends cold starts and forgets rows that have long been gone.
func (t *Table) Tick(now, hearing time.Time) {
	for life, row := range t.rows {
		if row.Status == zf.ServerGone {
			t.forget(life, row, now)
			continue
		}
		if row.Status == zf.ServerCold && !now.Before(row.ColdUntil) {
			row.Status = zf.ServerWarm
			t.changed(row)
		}
		if !row.SuspectUntil.IsZero() && !now.Before(row.SuspectUntil) {
			row.SuspectUntil = time.Time{}
			t.changed(row)
		}
		if !t.config.Subscriber && !hearing.IsZero() {
			t.expire(row, now, hearing)
		}
	}
	for source, told := range t.told {
		if now.Sub(told) >= t.config.Gone {
			delete(t.told, source)
		}
	}
}

// lastHeard returns when heartbeats of a row came in last, as far as that is
// known: those that come to another instance do until it tells otherwise, or
// nothing any more.
func (t *Table) lastHeard(row *Row) time.Time {
	if told := t.told[row.hearer]; told.After(row.LastHeartbeat) {
		return told
	}
	return row.LastHeartbeat
}

func (t *Table) expire(row *Row, now, hearing time.Time) {
	since := t.lastHeard(row)
	if row.hearer != t.config.Self {
		since = since.Add(t.config.Grace)
	}
	if hearing.After(since) {
		since = hearing
	}
	switch silent := now.Sub(since); {
	case silent >= t.config.Gone:
		t.end(row, false, now)
	case silent >= t.config.Expiry && row.Status != zf.ServerSilent:
		row.Status = zf.ServerSilent
		t.changed(row)
	case silent >= t.config.Late && !row.Late:
		row.Late = true
		t.changed(row)
	}
}

func (t *Table) forget(life zf.ServerIncarnation, row *Row, now time.Time) {
	if now.Sub(row.since) < t.config.Retention {
		return
	}
	delete(t.rows, life)
	if t.names[row.Server] == row {
		delete(t.names, row.Server)
	}
	t.leaveAddress(row)
	t.recent.Remove(row.place)
	t.digest(row, 0)
	bucket := bucketOf(row.Server)
	t.buckets[bucket] = slices.DeleteFunc(t.buckets[bucket], func(r *Row) bool { return r == row })
	t.revision++
	t.news = t.revision
}
