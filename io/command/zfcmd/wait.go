package zfcmd

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"zinniafront/io/zfoperator"
)

// WaitFlags tell a command how long to wait.
type WaitFlags struct {
	Timeout time.Duration `name:"timeout" default:"5s" help:"How long to wait for the answer."`
	Wait    time.Duration `name:"wait" default:"0s" help:"How long to wait until every instance has it in force; 0s does not wait."`
}

const (
	// pollInterval is the time between two looks at the instances.
	pollInterval = 100 * time.Millisecond
	// silenceTimeout is the silence after which an instance is not waited for.
	silenceTimeout = 5 * time.Second
)

// WaitInForce returns a function that waits until every instance that reports to
// the control instances has a sequence in force.
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
				return errors.Wrapf(ErrTimeout, "sequence %d is not in force at %d instance(s)", sequence, countBehind(status, sequence))
			}
		}
	}
}

func countBehind(status zfoperator.Status, sequence uint64) int {
	n := 0
	for _, instance := range status.Instances {
		if instance.Silent < silenceTimeout && instance.Sequence < sequence {
			n++
		}
	}
	return n
}
