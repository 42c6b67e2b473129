package zfcontrollerloop_test

import (
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"

	"zinniafront/lab/zfassert"
)

// fullStore is a store whose saves fail while the disk is full.
type fullStore struct {
	full     atomic.Bool
	failures atomic.Int64
}

func (*fullStore) Load() ([]byte, error) { return nil, nil }

func (s *fullStore) Save([]byte) error {
	if !s.full.Load() {
		return nil
	}
	s.failures.Add(1)
	return syscall.ENOSPC
}

// TestFullDisk guards against changes that are refused after the disk was full and has room
// again.
func TestFullDisk(t *testing.T) {
	const minFailures = 5
	store := &fullStore{}
	loop := newLoop(store, &memoryStore{})
	run(t, loop)
	version := 0
	// put submits changes until one is acknowledged or, on a full disk, minFailures saves
	// have failed.
	put := func() (acknowledged bool) {
		for {
			version++
			outcome, err := loop.PutBundle([]byte(strconv.Itoa(version)))
			switch {
			case err == nil:
				return outcome.Status.Succeeded()
			case store.full.Load() && store.failures.Load() >= minFailures:
				return false
			}
		}
	}
	zfassert.True(t, "a change is acknowledged at first", put())
	for range 3 {
		store.failures.Store(0)
		store.full.Store(true)
		zfassert.True(t, "none is acknowledged while the disk is full", !put())
		store.full.Store(false)
		zfassert.True(t, "a change is acknowledged afterwards", put())
	}
}
