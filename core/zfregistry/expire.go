package zfregistry

import (
	"slices"
	"time"

	zf "zinniafront"
)

// Tick expires silent rows, unless the table is a subscriber's. reachableSince
// is the start of the current period in which heartbeats could be received, or
// the zero value if they can't be now; earlier silence doesn't count. Tick also
// ends cold starts and suspicions, and removes rows that have been gone for the
// retention time.
func (t *Table) Tick(now, reachableSince time.Time) {
	for incarnation, row := range t.rows {
		t.endInference(row, now)
		if row.Status == zf.ServerGone {
			t.removeExpired(incarnation, row, now)
			continue
		}
		if !row.ColdUntil.IsZero() && !now.Before(row.ColdUntil) {
			t.endColdStart(row)
		}
		if !row.SuspectUntil.IsZero() && !now.Before(row.SuspectUntil) {
			row.SuspectUntil = time.Time{}
			t.markChanged(row)
		}
		if !t.config.Subscriber && !reachableSince.IsZero() {
			t.expire(row, now, reachableSince)
		}
	}
	for source, at := range t.lastReport {
		if now.Sub(at) >= t.config.GoneTimeout {
			delete(t.lastReport, source)
		}
	}
}

func (t *Table) endColdStart(row *Row) {
	row.ColdUntil = time.Time{}
	if row.Status == zf.ServerCold {
		row.Status = zf.ServerWarm
	}
	t.markChanged(row)
}

// lastHeartbeat returns when the last heartbeat of a row came in, as far as it
// is known. If another instance receives the heartbeats, each of its reports
// counts as one: it reports overdue heartbeats itself.
func (t *Table) lastHeartbeat(row *Row) time.Time {
	if reported := t.lastReport[row.receiver]; reported.After(row.LastHeartbeat) {
		return reported
	}
	return row.LastHeartbeat
}

// endInference takes back what was inferred from missing reports of a row's heartbeat
// receiver once it reports again: it reports overdue heartbeats itself. A row that is gone
// comes back only by a report of its own, as the receiver may have removed it.
func (t *Table) endInference(row *Row, now time.Time) {
	if t.config.Subscriber || row.inferredAt.IsZero() || row.Status == zf.ServerGone || !t.lastReport[row.receiver].After(row.inferredAt) {
		return
	}
	row.setLate(false)
	row.Status = row.announcedStatus(now)
	t.markChanged(row)
}

func (t *Table) expire(row *Row, now, reachableSince time.Time) {
	since := t.lastHeartbeat(row)
	receivedElsewhere := row.receiver != t.config.Self
	if receivedElsewhere {
		since = since.Add(t.config.ReportGrace)
	}
	if reachableSince.After(since) {
		since = reachableSince
	}
	silent := now.Sub(since)
	if silent >= t.config.LateTimeout {
		t.updateInference(row, now)
	}
	switch {
	case silent >= t.config.GoneTimeout:
		t.markGone(row, false, now)
	case silent >= t.config.SilentTimeout && row.Status != row.silentStatus():
		t.setStatus(row, row.silentStatus())
	case silent >= t.config.LateTimeout && !row.Late:
		row.Late = true
		t.markChanged(row)
	}
}

// updateInference records whether the lateness of a row is inferred: the heartbeats may go to
// another control instance. It is certain once all other control instances have reported for so
// long that a heartbeat at any of them would be known here. The heartbeat receiver's own
// misses are certain as well where no other instance has ever reported.
func (t *Table) updateInference(row *Row, now time.Time) {
	certain := !t.reportingSince.IsZero() && now.Sub(t.reportingSince) >= t.config.LateTimeout+t.config.ReportGrace ||
		row.receiver == t.config.Self && !t.othersReport
	if certain != row.Inferred() {
		return
	}
	row.inferredAt = time.Time{}
	row.inferredThere = false
	if !certain {
		row.inferredAt = now
	}
	if row.Late {
		t.markChanged(row)
	}
}

// SetReportingSince sets since when all other control instances have reported without a gap, or
// the zero value.
func (t *Table) SetReportingSince(since time.Time) { t.reportingSince = since }

func (t *Table) removeExpired(incarnation zf.ServerIncarnation, row *Row, now time.Time) {
	if now.Sub(row.goneAt) < t.config.Retention {
		return
	}
	delete(t.rows, incarnation)
	if t.names[row.Server] == row {
		delete(t.names, row.Server)
	}
	t.releaseAddress(row)
	t.byFeedRevision.Remove(row.element)
	t.updateDigest(row, 0)
	bucket := bucketOf(row.Server)
	t.buckets[bucket] = slices.DeleteFunc(t.buckets[bucket], func(r *Row) bool { return r == row })
	t.revision++
	t.contentRevision = t.revision
}
