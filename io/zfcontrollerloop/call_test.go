package zfcontrollerloop_test

import (
	"strconv"
	"testing"

	"zinniafront/core/zfcontrol"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

// TestForwardedOrder guards against an order that an instance of an earlier version forwards:
// it would take an order that was not carried out for one that was.
func TestForwardedOrder(t *testing.T) {
	loop := newLoop(&memoryStore{}, &memoryStore{})
	run(t, loop)
	for version := 1; ; version++ {
		if _, err := loop.PutBundle([]byte(strconv.Itoa(version))); err == nil {
			break
		}
	}
	args := zfcluster.AskArgs{
		Centre: "one",
		Out:    true,
	}
	t.Run("of an earlier version is refused", func(t *testing.T) {
		reply, err := loop.Ask(args)
		zfassert.NoError(t, err)
		zfassert.True(t, "refused", reply.Refused)
	})
	t.Run("of this version has to be confirmed", func(t *testing.T) {
		args.Guarded = true
		for {
			reply, err := loop.Ask(args)
			zfassert.NoError(t, err)
			if reply.Refused {
				continue // Not confirmed by a majority in time.
			}
			zfassert.Equal(t, "status", reply.Outcome.Status, zfcontrol.StatusUnconfirmed)
			zfassert.True(t, "the sequence to confirm", reply.Outcome.Sequence > 0)
			return
		}
	})
}
