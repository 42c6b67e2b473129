package zfregistry

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// bucketCount is the number of buckets in which two tables are compared. At
// 10,000 rows, one changed row costs the transfer of 40 rows, and the digests
// are 2 KB.
const bucketCount = 256

func bucketOf(server zf.ServerName) int {
	return int(xxh3.HashString(string(server)) % bucketCount)
}

// Digests returns a digest of each bucket of rows. Tables with the same state of
// all backend servers have the same digests, whichever heartbeats they received.
func (t *Table) Digests() []uint64 { return slices.Clone(t.digests[:]) }

// digest returns a hash of the row's identity, service, data centre, status,
// Proven, Late, Inferred, addresses, capacity and number, without the sequence and times
// other than Born. It is 0 for a row that is gone without proof: Merge doesn't add such a
// row to a table that lacks it, so with another value the digests of the two
// tables would never become equal.
func (r *Row) digest() uint64 {
	if r.Status == zf.ServerGone && !r.Proven {
		return 0
	}
	buffer := make([]byte, 0, 128)
	buffer = append(buffer, r.Server...)
	buffer = append(buffer, 0)
	buffer = append(buffer, r.Service...)
	buffer = append(buffer, 0)
	buffer = append(buffer, r.Centre...)
	buffer = append(buffer, 0, byte(r.Status), boolByte(r.Proven), boolByte(r.Late)|boolByte(r.Inferred())<<1)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(r.Born.UnixMilli()))
	for _, address := range []netip.AddrPort{r.Address, r.Web} {
		ip := address.Addr().As16()
		buffer = append(buffer, ip[:]...)
		buffer = binary.BigEndian.AppendUint16(buffer, address.Port())
	}
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(r.Capacity.Slots))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(r.Capacity.Connections))
	buffer = binary.BigEndian.AppendUint64(buffer, r.Number)
	return xxh3.Hash(buffer)
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// Diff returns the rows in the buckets from first on whose digests differ from
// those of another table, up to a page. If withHeartbeats is set, the last page
// also has the heartbeats that this instance receives for other rows.
func (t *Table) Diff(digests []uint64, first int, withHeartbeats bool, now time.Time) Changes {
	changes := Changes{
		From:   t.config.Self,
		Cursor: t.revision,
	}
	if len(digests) != bucketCount { // From another version: send all rows at once.
		changes.Updates = t.All(now)
		return changes
	}
	for bucket := max(first, 0); bucket < bucketCount; bucket++ {
		if t.digests[bucket] == digests[bucket] {
			continue
		}
		if len(changes.Updates) >= pageRows {
			changes.More = true
			changes.Next = bucket
			return changes
		}
		changes.Buckets = append(changes.Buckets, bucket)
		for _, row := range t.buckets[bucket] {
			changes.Updates = append(changes.Updates, t.update(row, now))
		}
	}
	if withHeartbeats {
		changes.Beats = t.receivedHeartbeats(changes.Buckets, now)
	}
	return changes
}

// receivedHeartbeats returns the heartbeats that this instance receives for rows
// that are not in the excluded buckets.
func (t *Table) receivedHeartbeats(excluded []int, now time.Time) []Beat {
	var beats []Beat
	for bucket, rows := range t.buckets {
		if slices.Contains(excluded, bucket) {
			continue
		}
		for _, row := range rows {
			if row.receiver == t.config.Self && row.Status != zf.ServerGone {
				beats = append(beats, t.heartbeat(row, now))
			}
		}
	}
	return beats
}

// MissingFrom returns the rows that the sender of changes, a result of Diff,
// doesn't have or has with an earlier sequence.
func (t *Table) MissingFrom(changes Changes, now time.Time) []Update {
	if len(changes.Buckets) == 0 {
		return nil
	}
	known := make(map[zf.ServerIncarnation]uint64, len(changes.Updates))
	for i := range changes.Updates {
		u := &changes.Updates[i]
		known[zf.NewServerIncarnation(u.Server, u.Born)] = u.Sequence
	}
	var missing []Update
	for _, bucket := range changes.Buckets {
		if bucket < 0 || bucket >= bucketCount {
			continue // From another version.
		}
		for _, row := range t.buckets[bucket] {
			sequence, ok := known[zf.NewServerIncarnation(row.Server, row.Born)]
			if !ok || sequence < row.Sequence {
				missing = append(missing, t.update(row, now))
			}
		}
	}
	return missing
}
