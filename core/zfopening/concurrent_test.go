package zfopening_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniafront/lab/zfassert"
)

// rounds is the number of times that a concurrent load is repeated.
const rounds = 10_000

// together runs functions on goroutines of their own, as traffic goroutines do, and waits
// for them.
func together(functions ...func()) {
	var group sync.WaitGroup
	for _, function := range functions {
		group.Go(function)
	}
	group.Wait()
}

func TestConcurrentEvidence(t *testing.T) {
	t.Run("evidence that is added while it is cleared does not outlive the next clear", func(t *testing.T) {
		w := newWorld("one", "two")
		s := w.servers["one"][0]
		for range rounds {
			first, second := w.open(s, 1), w.open(s, 2)
			w.now = w.now.Add(time.Millisecond)
			w.table.Unopened(first, w.now)
			together(
				func() { w.table.Unopened(second, w.now) },
				func() {
					for range 10 {
						s.RecordOpened(w.now)
					}
				},
			)
			s.RecordOpened(w.now)
			w.table.Unopened(w.open(s, 3), w.now)
			for n := range byte(6) {
				w.follow(w.servers["two"][n%4], n)
			}
			assertMay(t, w, s, true)
			w.follow(s, 9)
		}
	})
	t.Run("a return after a long outage begins with its first step", func(t *testing.T) {
		w := newWorld("one", "two")
		s := w.servers["one"][3]
		for range rounds / 10 {
			for range 12 {
				w.refuse()
				for n := range byte(6) {
					w.follow(w.servers["two"][n%4], n)
				}
				w.now = w.now.Add(time.Second)
			}
			var done atomic.Bool
			together(
				func() { s.RecordOpened(w.now); done.Store(true) },
				func() {
					for !done.Load() {
						w.table.CentreChanges(w.now)
					}
				},
			)
			zfassert.AtMost(t, "share", w.shareOf("one"), 0.2)
		}
	})
}
