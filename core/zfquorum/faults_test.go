package zfquorum_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"zinniafront/lab/zfassert"
)

// faultFreeTime is the time after the first start without faults.
const faultFreeTime = time.Second

// injectFault injects a random fault.
func (c *cluster) injectFault() {
	if c.now.Sub(c.start) < faultFreeTime {
		return
	}
	i := c.random.IntN(len(c.instances))
	duration := time.Duration(200+c.random.IntN(2500)) * time.Millisecond
	switch c.random.IntN(10) {
	case 8, 9:
		c.instances[i].suspendedUntil = c.now.Add(duration)
	case 0:
		c.crash(i, false, duration)
	case 1:
		c.crash(i, true, duration)
	case 2, 3:
		c.instances[i].isolatedUntil = c.now.Add(duration)
	case 4:
		c.instances[i].slowUntil = c.now.Add(duration)
	case 5:
		for j := range c.instances {
			c.crash(j, true, duration)
		}
	case 6:
		for j := range c.instances {
			if c.random.IntN(2) == 0 {
				c.instances[j].isolatedUntil = c.now.Add(duration)
			}
		}
	default:
		c.loseDisks()
	}
}

// loseDisks wipes as many disks as may be lost at once, unless earlier losses have
// not been repaired yet.
func (c *cluster) loseDisks() {
	if c.now.Before(c.nextWipe) || !c.fullyReplicated() {
		return
	}
	outcome := c.random.IntN(3)
	for _, i := range c.random.Perm(len(c.instances))[:c.maxDiskLosses] {
		c.wipeDisk(i, time.Second)
	}
	for j := range c.instances {
		if outcome == 0 {
			c.crash(j, true, time.Second)
		}
	}
	c.nextWipe = c.now.Add(4 * time.Second)
}

// fullyReplicated reports whether a leader without uncommitted entries has the target
// number of voters, all with a saved record.
func (c *cluster) fullyReplicated() bool {
	for _, inst := range c.instances {
		if inst.replica == nil || !inst.replica.Leading() || inst.replica.Pending() {
			continue
		}
		alive := 0
		for _, voter := range inst.replica.Voters() {
			for _, other := range c.instances {
				if other.id == voter.ID && other.disk.initialized {
					alive++
				}
			}
		}
		return alive == len(inst.replica.Voters()) && alive >= min(2*c.maxDiskLosses+1, len(c.instances))
	}
	return false
}

// register is the sequential model: a register that is written and read.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		if input.(uint64) != 0 {
			return true, input
		}
		return output == state, state
	},
}

func assertLinearizable(t testing.TB, c *cluster) {
	t.Helper()
	result, _ := porcupine.CheckOperationsVerbose(register, c.history, 20*time.Second)
	if result != porcupine.Ok {
		t.Fatalf("history of %d operations is not linearizable: %v", len(c.history), result)
	}
}

// runFor runs operations with faults for a while, then over a reliable network
// without new faults.
func (c *cluster) runFor(faulty, healthy time.Duration) {
	for end := c.now.Add(faulty); c.now.Before(end); {
		c.advance()
		if c.random.IntN(6) == 0 {
			c.startOperation()
		}
		if c.random.IntN(60) == 0 {
			c.injectFault()
		}
	}
	c.reliable = true
	for end := c.now.Add(healthy); c.now.Before(end); {
		c.advance()
		if c.random.IntN(6) == 0 {
			c.startOperation()
		}
	}
}

func assertRecovered(t testing.TB, c *cluster) {
	t.Helper()
	before := c.ackedWrites
	for end := c.now.Add(3 * time.Second); c.now.Before(end); {
		c.advance()
		for _, i := range c.running() {
			c.startOperationAt(i)
		}
	}
	zfassert.True(t, "writes are acknowledged again", c.ackedWrites > before)
}
