package zfregistry

import (
	"time"

	zf "zinniafront"
)

// Update is one row as an instance reports it to another.
type Update struct {
	zf.Announcement
	Status zf.ServerState
	Proven bool
	Late   bool
	// Inferred is set if the sender inferred Late while reports of another instance were
	// missing, which may receive the heartbeats.
	Inferred bool
	// Age is the time since the last heartbeat.
	Age time.Duration
	// Gone is the time since Status became ServerGone.
	Gone time.Duration
	// Heard is set if the sender itself receives the heartbeats.
	Heard bool
	// Suspect is the remaining time for which the backend server should receive
	// no new flows.
	Suspect time.Duration
}

// Beat reports that the sender receives the heartbeats of a backend server and
// that nothing else about it has changed.
type Beat struct {
	Server   zf.ServerName
	Born     time.Time
	Sequence uint64
	Age      time.Duration
}

// Changes is one page of rows and heartbeats for a subscriber.
type Changes struct {
	// From is the sender.
	From    Source
	Updates []Update
	Beats   []Beat
	// Buckets lists the buckets of which Updates holds all rows, at the start of a
	// session. Next is the bucket at which the next page begins.
	Buckets []int
	Next    int
	// Cursor is to be passed to the next fetch. More is set if further changes are
	// available at once.
	Cursor uint64
	More   bool
}

// pageRows is the maximum number of rows in one reply: about 60 KB, a seventh of
// a second on the slowest links. More would delay the traffic and exceed timeouts.
const pageRows = 500

// All returns all rows.
func (t *Table) All(now time.Time) []Update {
	updates := make([]Update, 0, len(t.rows))
	for element := t.byFeedRevision.Front(); element != nil; element = element.Next() {
		updates = append(updates, t.update(element.Value.(*Row), now))
	}
	return updates
}

// Since returns the rows that changed after cursor, in the order of their last
// change and up to a page. Rows that changed only in that this instance became
// their heartbeat receiver are returned in Beats if withHeartbeats is set, and
// left out otherwise.
func (t *Table) Since(cursor uint64, withHeartbeats bool, now time.Time) Changes {
	changes := Changes{
		From:   t.config.Self,
		Cursor: cursor,
	}
	element := t.byFeedRevision.Back()
	for element != nil && element.Value.(*Row).feedRevision > cursor {
		element = element.Prev()
	}
	if element == nil {
		element = t.byFeedRevision.Front()
	} else {
		element = element.Next()
	}
	for ; element != nil; element = element.Next() {
		if len(changes.Updates)+len(changes.Beats) >= pageRows {
			changes.More = true
			return changes
		}
		row := element.Value.(*Row)
		changes.Cursor = row.feedRevision
		switch {
		case row.contentRevision > cursor:
			changes.Updates = append(changes.Updates, t.update(row, now))
		case withHeartbeats:
			changes.Beats = append(changes.Beats, t.heartbeat(row, now))
		}
	}
	changes.Cursor = t.revision
	return changes
}

func (t *Table) heartbeat(row *Row, now time.Time) Beat {
	return Beat{
		Server:   row.Server,
		Born:     row.Born,
		Sequence: row.Sequence,
		Age:      now.Sub(t.lastHeartbeat(row)),
	}
}

func (t *Table) update(r *Row, now time.Time) Update {
	u := Update{
		Announcement: r.Announcement,
		Status:       r.Status,
		Proven:       r.Proven,
		Late:         r.Late,
		Inferred:     r.Inferred(),
		Age:          now.Sub(t.lastHeartbeat(r)),
		Heard:        r.receiver == t.config.Self && !t.config.Subscriber,
	}
	if r.Status == zf.ServerGone {
		u.Gone = now.Sub(r.goneAt)
	}
	u.Cold = max(r.ColdUntil.Sub(now), 0)
	u.Suspect = max(r.SuspectUntil.Sub(now), 0)
	return u
}

// Merge applies the changes of another instance, in the order in which they
// occurred there. Changes from an entry instance have no source.
func (t *Table) Merge(changes Changes, now time.Time) {
	if changes.From != 0 {
		t.lastReport[changes.From] = now
		t.othersReport = true
	}
	for i := range changes.Updates {
		t.merge(&changes.Updates[i], changes.From, now)
	}
	t.markRemoved(changes, now)
	for _, beat := range changes.Beats {
		row := t.rows[zf.NewServerIncarnation(beat.Server, beat.Born)]
		if row == nil || row.Proven {
			continue // An unknown one has been removed here.
		}
		if beat.Sequence <= row.Sequence {
			t.claimReceiver(row, beat.Sequence)
			continue
		}
		a := row.Announcement
		a.Sequence = beat.Sequence
		a.Cold = max(row.ColdUntil.Sub(now), 0)
		t.accept(row, a, now)
		row.LastHeartbeat = now.Add(-beat.Age)
		row.receiver = changes.From
	}
}

// markRemoved marks the rows as gone that the sender, their heartbeat receiver, has removed: they
// are missing in a bucket that it sent.
func (t *Table) markRemoved(changes Changes, now time.Time) {
	if len(changes.Buckets) == 0 || changes.From == 0 {
		return
	}
	sent := make(map[zf.ServerIncarnation]bool, len(changes.Updates))
	for i := range changes.Updates {
		sent[zf.NewServerIncarnation(changes.Updates[i].Server, changes.Updates[i].Born)] = true
	}
	for _, bucket := range changes.Buckets {
		if bucket < 0 || bucket >= bucketCount {
			continue // From another version.
		}
		for _, row := range t.buckets[bucket] {
			if row.receiver == changes.From && !sent[zf.NewServerIncarnation(row.Server, row.Born)] {
				t.markGone(row, false, now)
			}
		}
	}
}

func (t *Table) merge(u *Update, from Source, now time.Time) {
	known := t.rows[zf.NewServerIncarnation(u.Server, u.Born)]
	if known == nil && u.Status == zf.ServerGone && (!u.Proven || u.Gone >= t.config.Retention) {
		return
	}
	row, _ := t.insert(u.Announcement, now)
	if row == nil || row.Proven {
		return
	}
	switch {
	case u.Proven:
		row.Sequence = max(row.Sequence, u.Sequence)
		t.markGone(row, true, now)
		row.goneAt = now.Add(-max(u.Gone, 0))
	case known == nil || u.Sequence > row.Sequence:
		t.accept(row, u.Announcement, now)
		if !t.config.Subscriber && from != 0 { // An entry instance doesn't know the age.
			row.LastHeartbeat = now.Add(-u.Age)
		}
		t.adoptStatus(row, u, from, now)
	case u.Sequence == row.Sequence, t.config.Subscriber:
		t.adoptStatus(row, u, from, now)
	case u.Heard:
		t.claimReceiver(row, u.Sequence)
	}
	if u.Suspect > 0 {
		t.MarkSuspect(u.Server, u.Born, now.Add(u.Suspect))
	}
}

// claimReceiver reports again that this instance receives a row's heartbeats if another one
// reports the same with an earlier sequence: without that, the other one would take the
// heartbeats that it misses for overdue.
func (t *Table) claimReceiver(row *Row, sequence uint64) {
	if sequence < row.Sequence && row.receiver == t.config.Self && !t.config.Subscriber {
		t.revision++
		t.moveToBack(row)
	}
}

// adoptStatus takes Late and Status of a row from a sender that receives its
// heartbeats. A subscriber takes them from the instance that it fetches from.
func (t *Table) adoptStatus(row *Row, u *Update, from Source, now time.Time) {
	if u.Heard && !t.config.Subscriber {
		row.receiver = from
	}
	if !u.Heard && !t.config.Subscriber {
		return
	}
	changed := u.Late != row.Late || u.Inferred != row.Inferred()
	row.setLate(u.Late)
	loaded := from == 0 && !t.config.Subscriber // From disk; heartbeats may have come since.
	switch {
	case u.Inferred && u.Heard && !t.config.Subscriber:
		row.inferredThere = true
	case u.Inferred || loaded && u.Late:
		row.inferredAt = now
	}
	if changed {
		t.markChanged(row)
	}
	switch u.Status {
	case row.Status:
	case zf.ServerGone:
		t.markGone(row, false, now)
	case zf.ServerSilent:
		t.setStatus(row, row.silentStatus())
	default:
		t.setStatus(row, row.announcedStatus(now))
	}
}
