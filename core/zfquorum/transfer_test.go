package zfquorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniafront/core/zfquorum"
	"zinniafront/lab/zfassert"
)

// transferLeadership has the leaders hand their lead over.
func (c *cluster) transferLeadership() bool {
	yielded := false
	for _, i := range c.running() {
		m := c.machines[i]
		if c.now.Before(m.frozen) {
			continue
		}
		yielded = m.replica.TransferLeadership(c.clock(m)) || yielded
		c.flush(i)
	}
	return yielded
}

// leaderless advances until a machine other than one leads, and returns how long
// that took.
func leaderless(t testing.TB, c *cluster, than int) time.Duration {
	t.Helper()
	start := c.now
	for c.now.Sub(start) < 3*time.Second {
		c.advance()
		for i, m := range c.machines {
			if i != than && m.replica != nil && m.replica.Leading() {
				return c.now.Sub(start)
			}
		}
	}
	t.Fatal("no other machine leads")
	return 0
}

func TestTransferLeadership(t *testing.T) {
	calm := func(t testing.TB) *cluster {
		c := newCluster(t, 1, 3, 1)
		c.calm = true
		c.runFor(0, 3*time.Second)
		for !c.whole() {
			c.advance()
		}
		return c
	}
	t.Run("another one leads at once", func(t *testing.T) {
		c := calm(t)
		leader := lead(t, c)
		zfassert.True(t, "there is one", c.transferLeadership())
		// Two messages each way and three records, of 10 to 40 ms each.
		zfassert.AtMost(t, "seconds without a leader", leaderless(t, c, leader).Seconds(), 0.25)
	})
	t.Run("no one else does so unasked", func(t *testing.T) {
		c := calm(t)
		leader := lead(t, c)
		follower := c.machines[(leader+1)%3].replica
		zfassert.True(t, "a follower has no lead to hand over", !follower.TransferLeadership(c.now))
		term := follower.Term()
		stranger := zfquorum.Message{
			Kind: zfquorum.KindTimeoutNow,
			From: zfquorum.Node{
				ID: c.machines[(leader+2)%3].id,
			},
			Term:      term,
			LastTerm:  term,
			LastIndex: 1000,
		}
		follower.Receive(stranger, c.now)
		zfassert.Equal(t, "term after the word of another follower", follower.Term(), term)
	})
	t.Run("not to one that lacks the newest entry", func(t *testing.T) {
		c := calm(t)
		leader := lead(t, c)
		for i, m := range c.machines {
			if i != leader {
				m.cut = c.now.Add(time.Hour)
			}
		}
		c.actAt(leader)
		c.advance()
		zfassert.True(t, "none", !c.transferLeadership())
	})
}

// TestTransferSchedules hands the lead over at random moments of random schedules.
func TestTransferSchedules(t *testing.T) {
	yields := 0
	for _, size := range sizes {
		for seed := range uint64(40) {
			c := newCluster(t, seed, size.machines, size.losses)
			random := rand.New(rand.NewPCG(seed, 2))
			for range 100 {
				c.runFor(time.Duration(50+random.IntN(200))*time.Millisecond, 0)
				c.calm = false
				if c.transferLeadership() {
					yields++
				}
			}
			c.runFor(0, 8*time.Second)
			assertRecovered(t, c)
			assertLinearizable(t, c)
		}
	}
	zfassert.True(t, "leads were handed over", yields > 1000)
}
