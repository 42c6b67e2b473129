package zfflow

import (
	"math/bits"
	"sync"
)

// shard is a part of the table: an open-addressing hash table with linear
// probing in one slice without pointers, so that a lookup costs one cache miss.
type shard struct {
	mutex   sync.Mutex
	entries []entry
	count   int
}

// entry is a row with its hash; hash 0 marks an empty entry.
type entry struct {
	hash uint64
	row  Row
}

const (
	// entryBytes is the size of an entry.
	entryBytes = 32
	// minEntries is the initial size of a shard, allocated with its first row.
	minEntries = 8
	// A shard grows by half when it is more than four fifths full, so that a
	// row takes at most 60 bytes.
	growthNumerator, growthDenominator   = 3, 2
	maxLoadNumerator, maxLoadDenominator = 4, 5
)

// keyOf replaces the hash that marks an empty entry.
func keyOf(hash uint64) uint64 {
	if hash == 0 {
		return 1
	}
	return hash
}

// homeIndex returns the index at which the probe for a key starts.
func (s *shard) homeIndex(key uint64) int {
	high, _ := bits.Mul64(key*0x9e3779b97f4a7c15, uint64(len(s.entries)))
	return int(high)
}

func (s *shard) next(i int) int {
	if i++; i < len(s.entries) {
		return i
	}
	return 0
}

// find returns the row of a key, or nil.
func (s *shard) find(key uint64) *Row {
	if len(s.entries) == 0 {
		return nil
	}
	for i := s.homeIndex(key); ; i = s.next(i) {
		switch s.entries[i].hash {
		case key:
			return &s.entries[i].row
		case 0:
			return nil
		}
	}
}

// insert adds the row of a key that is not present.
func (s *shard) insert(key uint64, row Row) {
	if (s.count+1)*maxLoadDenominator > len(s.entries)*maxLoadNumerator {
		s.grow()
	}
	s.place(key, row)
	s.count++
}

func (s *shard) place(key uint64, row Row) {
	i := s.homeIndex(key)
	for s.entries[i].hash != 0 {
		i = s.next(i)
	}
	s.entries[i] = entry{
		hash: key,
		row:  row,
	}
}

func (s *shard) grow() {
	old := s.entries
	s.entries = make([]entry, max(minEntries, len(old)*growthNumerator/growthDenominator))
	for _, e := range old {
		if e.hash != 0 {
			s.place(e.hash, e.row)
		}
	}
}

// remove empties the entry at i and shifts later entries of the same probe run
// back.
func (s *shard) remove(i int) {
	s.count--
	for j := s.next(i); s.entries[j].hash != 0; j = s.next(j) {
		if s.distance(s.homeIndex(s.entries[j].hash), j) >= s.distance(i, j) {
			s.entries[i] = s.entries[j]
			i = j
		}
	}
	s.entries[i] = entry{}
}

// distance returns the number of probe steps from one index to another.
func (s *shard) distance(from, to int) int {
	if to >= from {
		return to - from
	}
	return to - from + len(s.entries)
}

// deleteKey removes the row of a key; it reports whether there was one.
func (s *shard) deleteKey(key uint64) bool {
	if len(s.entries) == 0 {
		return false
	}
	for i := s.homeIndex(key); s.entries[i].hash != 0; i = s.next(i) {
		if s.entries[i].hash == key {
			s.remove(i)
			return true
		}
	}
	return false
}
