package zfquorum_test

import (
	"fmt"
	"testing"
	"time"

	"zinniafront/lab/zfassert"
)

// slowDiskSeeds is the number of first starts on slow disks for each size.
const slowDiskSeeds = 20

// assertElected fails the test unless a leader commits its first entry within limit.
func assertElected(t testing.TB, c *cluster, limit time.Duration) {
	t.Helper()
	elected := false
	for end := c.now.Add(limit); c.now.Before(end) && !elected; c.advance() {
		for _, inst := range c.instances {
			elected = elected || inst.replica.Leading()
		}
	}
	zfassert.True(t, fmt.Sprintf("a leader within %s", limit), elected)
}

// TestSlowDisks guards against elections that repeat for ever where each save of a record
// takes longer than the first election timeouts.
func TestSlowDisks(t *testing.T) {
	for _, saveTime := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond} {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d instances", saveTime, size.instances), func(t *testing.T) {
				for seed := *first; seed < *first+slowDiskSeeds; seed++ {
					c := newCluster(t, seed, size.instances, size.maxDiskLosses)
					c.reliable = true
					for _, inst := range c.instances {
						inst.saveTime = saveTime
					}
					assertElected(t, c, 12*time.Second)
				}
			})
		}
	}
}
