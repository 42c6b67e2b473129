package zfquorum_test

import (
	"fmt"
	"testing"
	"time"
)

// fullDiskSeeds is the number of random schedules with full disks for each size.
const fullDiskSeeds = 20

// fillDisks lets the disks of control instances be full for some seconds each, one after
// another, while operations go on.
func (c *cluster) fillDisks(count int) {
	for n := range count {
		i := n % len(c.instances)
		if c.random.IntN(3) == 0 {
			i = c.leaderIndex(i)
		}
		full := c.now.Add(time.Duration(1000+c.random.IntN(8000)) * time.Millisecond)
		c.instances[i].fullUntil = full
		pause := time.Duration(c.random.IntN(1000)) * time.Millisecond
		for end := full.Add(pause); c.now.Before(end); {
			c.advance()
			if c.random.IntN(6) == 0 {
				c.startOperation()
			}
		}
	}
}

// leaderIndex returns the index of the leader, or another one if there is none.
func (c *cluster) leaderIndex(other int) int {
	for i, inst := range c.instances {
		if inst.replica != nil && inst.replica.Leading() {
			return i
		}
	}
	return other
}

// TestFullDisks guards against changes that stay unanswered after disks were full one after
// another and have room again.
func TestFullDisks(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d instances", size.instances), func(t *testing.T) {
			for seed := *first; seed < *first+fullDiskSeeds; seed++ {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					c := newCluster(t, seed, size.instances, size.maxDiskLosses)
					c.runFor(0, time.Second)
					c.fillDisks(2 * size.instances)
					assertRecovered(t, c)
					assertLinearizable(t, c)
				})
			}
		})
	}
}
