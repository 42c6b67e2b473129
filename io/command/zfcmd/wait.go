package zfcmd

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"zinniafront/io/zfoperator"
)

// WaitFlags holds the flags that bound how long a command waits.
type WaitFlags struct {
	Timeout time.Duration `name:"timeout" default:"5s" help:"Maximum time to wait for the result."`
	Wait    time.Duration `name:"wait" default:"0s" help:"Maximum time to wait until the change is in force on every entry instance that has reported in the last 5s; 0s does not wait."`
}

const (
	// pollInterval is the time between two status requests.
	pollInterval = 100 * time.Millisecond
	// silenceTimeout is the time since the last report after which an instance is
	// no longer waited for.
	silenceTimeout = 5 * time.Second
)

// WaitInForce returns a function that waits until every instance that has reported to
// the control instance within silenceTimeout has the given sequence, or a later one, in
// force.
func (f *Factory) WaitInForce(client *zfoperator.Client) func(ctx context.Context, sequence uint64) error {
	return func(ctx context.Context, sequence uint64) error {
		for {
			status, err := client.Status(ctx)
			if err == nil && countBehind(status, sequence) == 0 {
				return nil
			}
			poll, release := f.Clock.After(pollInterval)
			select {
			case <-poll:
			case <-ctx.Done():
				release()
				return errors.Wrapf(ErrTimeout, "sequence %d is not in force on %d instance(s)", sequence, countBehind(status, sequence))
			}
		}
	}
}

// countBehind returns the number of instances that have reported within silenceTimeout
// and have an earlier sequence in force.
func countBehind(status zfoperator.Status, sequence uint64) int {
	n := 0
	for _, instance := range status.Instances {
		if instance.Silent < silenceTimeout && instance.Sequence < sequence {
			n++
		}
	}
	return n
}
