package zfregistry

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// bucketCount is the number of parts in which two tables are compared. At 10,000
// rows one changed row costs 40 rows, and the digests are 2 KB.
const bucketCount = 256

func bucketOf(server zf.ServerName) int {
	return int(xxh3.HashString(string(server)) % bucketCount)
}

// Digests returns a digest of each bucket of rows. Tables that know the same of
// all backend servers have the same digests, whatever heartbeats each has seen.
func (t *Table) Digests() []uint64 {
	digests := make([]uint64, bucketCount)
	for _, row := range t.rows {
		if row.Status == zf.ServerGone && !row.Proven {
			continue // It is not told to those who don't know it.
		}
		digests[bucketOf(row.Server)] ^= row.digest()
	}
	return digests
}

// digest identifies what a row tells, but for times and the sequence.
func (r *Row) digest() uint64 {
	buffer := make([]byte, 0, 128)
	buffer = append(buffer, r.Server...)
	buffer = append(buffer, 0)
	buffer = append(buffer, r.Service...)
	buffer = append(buffer, 0)
	buffer = append(buffer, r.Centre...)
	buffer = append(buffer, 0, byte(r.Status), flag(r.Proven), flag(r.Late))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(r.Born.UnixMilli()))
	address := r.Address.Addr().As16()
	buffer = append(buffer, address[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, r.Address.Port())
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(r.Capacity.Slots))
	return xxh3.Hash(buffer)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// buckets tells for each bucket whether it is in a set.
type buckets [bucketCount]bool

// Differing returns the rows in the buckets from first on for which another table
// has other digests, up to a page. With the last page come the heartbeats of other
// rows that are heard here, if beats is set.
func (t *Table) Differing(digests []uint64, first int, beats bool, now time.Time) Changes {
	changes := Changes{
		From:   t.config.Self,
		Cursor: t.revision,
	}
	told := t.page(digests, first, &changes)
	for place := t.recent.Front(); place != nil; place = place.Next() {
		switch row := place.Value.(*Row); {
		case told[bucketOf(row.Server)]:
			changes.Updates = append(changes.Updates, t.update(row, now))
		case beats && !changes.More && row.hearer == t.config.Self:
			changes.Beats = append(changes.Beats, t.beat(row, now))
		}
	}
	return changes
}

// page returns the buckets to tell. It notes them in changes, with the bucket at
// which the next page begins.
func (t *Table) page(digests []uint64, first int, changes *Changes) buckets {
	var told buckets
	if len(digests) != bucketCount { // Of another version: all rows at once.
		for bucket := range told {
			told[bucket] = true
		}
		return told
	}
	var sizes [bucketCount]int
	for _, row := range t.rows {
		sizes[bucketOf(row.Server)]++
	}
	rows := 0
	for bucket, digest := range t.Digests() {
		if bucket < first || digest == digests[bucket] {
			continue
		}
		if rows >= pageRows {
			changes.More = true
			changes.Next = bucket
			break
		}
		rows += sizes[bucket]
		told[bucket] = true
		changes.Buckets = append(changes.Buckets, bucket)
	}
	return told
}

// Lacking returns the rows that the sender of differing rows doesn't have, or
// has from earlier heartbeats.
func (t *Table) Lacking(changes Changes, now time.Time) []Update {
	if len(changes.Buckets) == 0 {
		return nil
	}
	var differs buckets
	for _, bucket := range changes.Buckets {
		if bucket >= 0 && bucket < bucketCount {
			differs[bucket] = true
		}
	}
	known := make(map[zf.Life]uint64, len(changes.Updates))
	for i := range changes.Updates {
		u := &changes.Updates[i]
		known[zf.LifeOf(u.Server, u.Born)] = u.Sequence
	}
	var lacking []Update
	for _, row := range t.Rows() {
		sequence, ok := known[zf.LifeOf(row.Server, row.Born)]
		if differs[bucketOf(row.Server)] && (!ok || sequence < row.Sequence) {
			lacking = append(lacking, t.update(row, now))
		}
	}
	return lacking
}
