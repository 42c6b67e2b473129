package zfcontroller_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfcontroller"
	"zinniafront/lab/zfassert"
)

// TestRepeatedCommandSurvivesLeader guards against a new leader that carries out a delayed command
// although a later one has succeeded, which changed nothing.
func TestRepeatedCommandSurvivesLeader(t *testing.T) {
	c := newCluster(t)
	leader := c.leader(t)
	c.submit(t, leader, put(1, "a"), false)
	c.submit(t, leader, takeOut("one", 2), false)
	delayed := zfcontrol.CentreCommand{
		Centre: "one",
		AsOf:   c.submit(t, leader, nil, false).State.Sequence,
	}
	repeated := c.submit(t, leader, takeOut("one", 0), false)
	zfassert.Equal(t, "status", repeated.Outcome.Status, zfcontrol.StatusAlready)
	c.down[leader] = true
	c.run(5 * time.Second)
	result := c.submit(t, c.leader(t), delayed, false)
	zfassert.Equal(t, "status", result.Outcome.Status, zfcontrol.StatusUnconfirmed)
	zfassert.Equal(t, "out", zfcontroller.CentresOut(result.State), []zf.CentreName{"one"})
}
