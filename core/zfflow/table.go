// Package zfflow holds the flows that an instance knows. Its table is divided
// into shards with a lock each, since under spray every traffic goroutine
// meets every flow; its system forgets idle rows, a few shards a tick.
package zfflow

import (
	"sync"
	"sync/atomic"
	"time"

	zf "zinniafront"
)

const (
	// shardCount is the number of shards, a power of two.
	shardCount = 256
	shardShift = 64 - 8
	// rowBytes is the memory of one row in its map: key, row and control byte,
	// at the lowest load factor between two growths.
	rowBytes = 57
	// EndedLinger is how long a row outlives a FIN or a RST. It is longer than
	// other instances trust their copies of the row.
	EndedLinger = 150 * time.Second
	// sweepShards is the number of shards that one tick looks through.
	sweepShards = 8
	// evictTries bounds the search for a row to drop.
	evictTries = 16
)

// Flags tell how a row was learned and what its flow did.
type Flags uint8

// The flags of a row.
const (
	// FlagOwned marks a row that this instance keeps as the flow's owner; any
	// other row is a copy that may be dropped for want of room.
	FlagOwned Flags = 1 << iota
	// FlagTentative marks a server that was predicted by an instance other
	// than the owner.
	FlagTentative
	// FlagEnded marks a flow that sent a FIN or a RST.
	FlagEnded
)

// Row is one flow.
type Row struct {
	Server zf.ServerID
	// Version is that of the slot row under which the flow got its server, 0
	// if nobody knew.
	Version uint32
	Service uint16
	Flags   Flags
	// seen is when the last packet came by and confirmed when the owner last
	// told the server, in whole seconds since the table was made.
	seen      uint32
	confirmed uint32
}

// Table holds flows by hash.
type Table struct {
	start  time.Time
	most   int64
	count  atomic.Int64
	shards [shardCount]shard
	cursor int
}

type shard struct {
	mutex sync.Mutex
	rows  map[uint64]Row
	_     [48]byte
}

// Config holds the constants of a table.
type Config struct {
	// Start is the origin of the table's times.
	Start time.Time
	// Most is the number of rows that the table takes.
	Most int
}

// New returns an empty table.
func New(config Config) *Table {
	table := &Table{
		start: config.Start,
		most:  int64(config.Most),
	}
	for i := range table.shards {
		table.shards[i].rows = make(map[uint64]Row)
	}
	return table
}

func (t *Table) shard(hash uint64) *shard { return &t.shards[hash>>shardShift] }

// stamp returns now in whole seconds since the start.
func (t *Table) stamp(now time.Time) uint32 {
	return uint32(max(0, now.Sub(t.start)) / time.Second)
}

// Age returns the time since the owner last told the row's server.
func (t *Table) Age(row Row, now time.Time) time.Duration {
	return time.Duration(t.stamp(now)-row.confirmed) * time.Second
}

// ConfirmedAfter reports whether the owner told the row's server in a later
// second than that of at.
func (t *Table) ConfirmedAfter(row Row, at time.Time) bool {
	return row.confirmed > t.stamp(at) || !at.After(t.start)
}

// Touch returns the row of a flow and notes that a packet came by.
func (t *Table) Touch(hash uint64, kind zf.PacketKind, now time.Time) (Row, bool) {
	stamp := t.stamp(now)
	ends := kind == zf.PacketClosing || kind == zf.PacketReset
	s := t.shard(hash)
	s.mutex.Lock()
	row, ok := s.rows[hash]
	if ok && (row.seen != stamp || ends) {
		row.seen = stamp
		if ends {
			row.Flags |= FlagEnded
		}
		s.rows[hash] = row
	}
	s.mutex.Unlock()
	return row, ok
}

// Learn sets the row of a flow, seen and confirmed just now, whatever was known
// of it. It reports false if the table is full.
func (t *Table) Learn(hash uint64, row Row, now time.Time) bool {
	row.seen = t.stamp(now)
	row.confirmed = row.seen
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return t.put(s, hash, row)
}

// Merge sets the row of a flow that another instance confirmed a while ago,
// unless the present one prevails. It reports whether the flow's server was
// news.
func (t *Table) Merge(hash uint64, row Row, age time.Duration, now time.Time) bool {
	row.seen = t.stamp(now)
	row.confirmed = row.seen - min(row.seen, uint32(age/time.Second))
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, ok := s.rows[hash]
	if ok && old.prevails(row) {
		return false
	}
	if ok {
		row.Flags |= old.Flags & (FlagOwned | FlagEnded)
	}
	return t.put(s, hash, row) && (!ok || old.Server != row.Server)
}

// put sets a row in a locked shard; it reports false if the table is full.
func (t *Table) put(s *shard, hash uint64, row Row) bool {
	_, ok := s.rows[hash]
	if !ok {
		if t.count.Load() >= t.most && !t.evict(s) {
			return false
		}
		t.count.Add(1)
	}
	s.rows[hash] = row
	return true
}

// Forget removes the row of a flow.
func (t *Table) Forget(hash uint64) {
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.rows[hash]; ok {
		delete(s.rows, hash)
		t.count.Add(-1)
	}
}

// evict drops a copy from a locked shard; a map is visited in random order.
func (t *Table) evict(s *shard) bool {
	tries := 0
	for hash, row := range s.rows {
		if row.Flags&FlagOwned == 0 {
			delete(s.rows, hash)
			t.count.Add(-1)
			return true
		}
		if tries++; tries == evictTries {
			break
		}
	}
	return false
}

// prevails reports whether the row is kept when other comes in. A predicted row
// gives way; of two others the one decided later stays.
func (r Row) prevails(other Row) bool {
	if tentative := r.Flags & FlagTentative; tentative != other.Flags&FlagTentative {
		return tentative == 0
	}
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.confirmed > other.confirmed
}

// Confirm notes that another instance was told of the row just now. It reports
// whether that was due, the last time being longer ago than every.
func (t *Table) Confirm(hash uint64, every time.Duration, now time.Time) bool {
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row, ok := s.rows[hash]
	if !ok || t.Age(row, now) < every {
		return false
	}
	row.confirmed = t.stamp(now)
	s.rows[hash] = row
	return true
}

// Len returns the number of rows.
func (t *Table) Len() int { return int(t.count.Load()) }

// Bytes returns an upper bound of the memory that the rows take.
func (t *Table) Bytes() int { return t.Len() * rowBytes }

// Each calls visit for every row, in no order; visit returns false to remove
// the row. A shard is locked while its rows are visited.
func (t *Table) Each(visit func(hash uint64, row Row) bool) {
	for i := range t.shards {
		t.eachOf(i, visit)
	}
}

func (t *Table) eachOf(i int, visit func(hash uint64, row Row) bool) {
	s := &t.shards[i]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for hash, row := range s.rows {
		if !visit(hash, row) {
			delete(s.rows, hash)
			t.count.Add(-1)
		}
	}
}

// Sweep forgets rows that have been idle for too long, in a part of the
// shards. limit returns how long a row lives without a packet.
func (t *Table) Sweep(now time.Time, limit func(hash uint64, row Row) time.Duration) {
	stamp := t.stamp(now)
	for range sweepShards {
		t.eachOf(t.cursor, func(hash uint64, row Row) bool {
			most := limit(hash, row)
			if row.Flags&FlagEnded != 0 {
				most = min(most, EndedLinger)
			}
			return time.Duration(stamp-row.seen)*time.Second < most
		})
		t.cursor = (t.cursor + 1) % shardCount
	}
}
