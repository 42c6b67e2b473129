// Package zfflow holds the flows that an instance knows. Its table is divided
// into shards with a lock each, since with packet spraying every traffic
// goroutine handles packets of every flow. Its system removes idle rows, a few
// shards a tick.
package zfflow

import (
	"sync/atomic"
	"time"

	zf "zinniafront"
)

const (
	// shardCount is the number of shards, a power of two.
	shardCount = 256
	shardShift = 64 - 8
	// EndedTTL is how long a row is kept after a FIN or a RST. It is longer
	// than other instances trust their copies of the row.
	EndedTTL = 150 * time.Second
	// shardsPerSweep is the number of shards that one tick sweeps.
	shardsPerSweep = 8
	// maxEvictProbes bounds the search for a row to evict.
	maxEvictProbes = 64
)

// Flags describe how a row was learned and whether its flow has ended.
type Flags uint8

// The flags of a row.
const (
	// FlagOwned marks a row that this instance keeps as the flow's owner; any
	// other row is a copy that may be evicted when the table is full.
	FlagOwned Flags = 1 << iota
	// FlagTentative marks a server that was predicted by an instance other
	// than the owner.
	FlagTentative
	// FlagEnded marks a flow with a FIN or a RST.
	FlagEnded
)

// Row holds the backend server of one flow.
type Row struct {
	Server zf.ServerID
	// Version is that of the slot row under which the flow got its server, 0
	// if unknown.
	Version uint32
	Service uint16
	Flags   Flags
	// lastSeen is when the last packet arrived and lastConfirmed when the
	// owner last confirmed the server, in whole seconds since the table was
	// created.
	lastSeen      uint32
	lastConfirmed uint32
}

// Table holds flows by hash.
type Table struct {
	start       time.Time
	maxRows     int64
	count       atomic.Int64
	shards      [shardCount]shard
	sweepCursor int
}

// Config holds the constants of a table.
type Config struct {
	// Start is the origin of the table's times.
	Start time.Time
	// MaxRows is the maximum number of rows.
	MaxRows int
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{
		start:   config.Start,
		maxRows: int64(config.MaxRows),
	}
}

func (t *Table) shard(hash uint64) *shard { return &t.shards[hash>>shardShift] }

// timestamp returns now in whole seconds since the start.
func (t *Table) timestamp(now time.Time) uint32 {
	return uint32(max(0, now.Sub(t.start)) / time.Second)
}

// Age returns the time since the owner last confirmed the row's server.
func (t *Table) Age(row Row, now time.Time) time.Duration {
	return time.Duration(t.timestamp(now)-row.lastConfirmed) * time.Second
}

// Touch returns the row of a flow, with the time since the owner last
// confirmed its server, and records that a packet arrived.
func (t *Table) Touch(hash uint64, kind zf.PacketKind, now time.Time) (row Row, age time.Duration, known bool) {
	stamp := t.timestamp(now)
	key := keyOf(hash)
	s := t.shard(hash)
	s.mutex.Lock()
	found := s.find(key)
	if found == nil {
		s.mutex.Unlock()
		return Row{}, 0, false
	}
	found.lastSeen = stamp
	if kind == zf.PacketClosing || kind == zf.PacketReset {
		found.Flags |= FlagEnded
	}
	row = *found
	s.mutex.Unlock()
	return row, time.Duration(stamp-row.lastConfirmed) * time.Second, true
}

// Put replaces the row of a flow. The row counts as seen and confirmed now. It
// reports false if the table is full.
func (t *Table) Put(hash uint64, row Row, now time.Time) bool {
	row.lastSeen = t.timestamp(now)
	row.lastConfirmed = row.lastSeen
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return t.set(s, hash, row)
}

// Merge sets the row of a flow that another instance confirmed age ago, unless
// the present row takes precedence. It reports whether the flow was new or its
// server changed.
func (t *Table) Merge(hash uint64, row Row, age time.Duration, now time.Time) bool {
	row.lastSeen = t.timestamp(now)
	row.lastConfirmed = row.lastSeen - min(row.lastSeen, uint32(age/time.Second))
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.find(keyOf(hash))
	if old == nil {
		return t.set(s, hash, row)
	}
	if old.takesPrecedence(row) {
		return false
	}
	changed := old.Server != row.Server
	row.Flags |= old.Flags & (FlagOwned | FlagEnded)
	*old = row
	return changed
}

// set stores a row in a locked shard; it reports false if the table is full.
func (t *Table) set(s *shard, hash uint64, row Row) bool {
	if old := s.find(keyOf(hash)); old != nil {
		*old = row
		return true
	}
	if t.count.Load() >= t.maxRows && !t.evict(s, hash) {
		return false
	}
	t.count.Add(1)
	s.insert(keyOf(hash), row)
	return true
}

// Delete removes the row of a flow.
func (t *Table) Delete(hash uint64) {
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.deleteKey(keyOf(hash)) {
		t.count.Add(-1)
	}
}

// evict removes a copy from a locked shard, searching from a hash's home
// index.
func (t *Table) evict(s *shard, hash uint64) bool {
	if len(s.entries) == 0 {
		return false
	}
	i := s.homeIndex(keyOf(hash))
	for range min(maxEvictProbes, len(s.entries)) {
		if e := &s.entries[i]; e.hash != 0 && e.row.Flags&FlagOwned == 0 {
			s.remove(i)
			t.count.Add(-1)
			return true
		}
		i = s.next(i)
	}
	return false
}

// takesPrecedence reports whether the row is kept over other. A tentative row
// loses to one that is not; otherwise the higher version is kept, and of equal
// versions the row confirmed later.
func (r Row) takesPrecedence(other Row) bool {
	if tentative := r.Flags & FlagTentative; tentative != other.Flags&FlagTentative {
		return tentative == 0
	}
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.lastConfirmed > other.lastConfirmed
}

// Confirm sets the time of the row's last confirmation to now, for the owner to
// send the row to its backup. It reports false and changes nothing if the last
// confirmation is less than minAge ago or there is no row.
func (t *Table) Confirm(hash uint64, minAge time.Duration, now time.Time) bool {
	s := t.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row := s.find(keyOf(hash))
	if row == nil || t.Age(*row, now) < minAge {
		return false
	}
	row.lastConfirmed = t.timestamp(now)
	return true
}

// Len returns the number of rows.
func (t *Table) Len() int { return int(t.count.Load()) }

// Bytes returns the memory allocated for entries, used or empty.
func (t *Table) Bytes() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mutex.Lock()
		n += len(s.entries) * entryBytes
		s.mutex.Unlock()
	}
	return n
}

// Each calls visit for every row and removes the row if visit returns false. A
// shard is locked while its rows are visited.
func (t *Table) Each(visit func(hash uint64, row Row) bool) {
	for i := range t.shards {
		t.eachInShard(i, visit)
	}
}

func (t *Table) eachInShard(i int, visit func(hash uint64, row Row) bool) {
	s := &t.shards[i]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for j := 0; j < len(s.entries); {
		e := s.entries[j]
		if e.hash == 0 || visit(e.hash, e.row) {
			j++
			continue
		}
		s.remove(j) // A later row may move to this index; it is visited next.
		t.count.Add(-1)
	}
}

// Sweep removes rows that have been idle for too long, in a part of the
// shards. ttlOf returns how long a row is kept without a packet.
func (t *Table) Sweep(now time.Time, ttlOf func(hash uint64, row Row) time.Duration) {
	stamp := t.timestamp(now)
	for range shardsPerSweep {
		t.eachInShard(t.sweepCursor, func(hash uint64, row Row) bool {
			ttl := ttlOf(hash, row)
			if row.Flags&FlagEnded != 0 {
				ttl = min(ttl, EndedTTL)
			}
			return time.Duration(stamp-row.lastSeen)*time.Second < ttl
		})
		t.sweepCursor = (t.sweepCursor + 1) % shardCount
	}
}
