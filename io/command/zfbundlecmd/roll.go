package zfbundlecmd

import (
	"context"
	"time"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfoperator"
)

// RollOptions holds the arguments and flags of bundle roll.
type RollOptions struct {
	zfcmd.ControlFlags
	zfcmd.WaitFlags
	Version uint64 `arg:"" help:"Version of the accepted bundle."`
	JSON    bool   `name:"json" help:"Print the outcome as a JSON document."`

	streams zfcmd.Streams
	client  *zfoperator.Client
	wait    func(ctx context.Context, sequence uint64) error
}

// Help implements kong.HelpProvider.
func (*RollOptions) Help() string {
	return "Example:\n  zinniafront bundle roll 2 --control 127.0.0.1:7400 --wait 4s\n\n" + zfcmd.ExitHelp
}

// Run puts the accepted bundle in force and prints the outcome.
func (o *RollOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	o.client = f.Client(o.Control)
	o.wait = f.WaitInForce(o.client)
	return rollRun(o)
}

func rollRun(o *RollOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	reply, err := o.client.Roll(ctx, zfoperator.RollArgs{
		Version: o.Version,
	})
	if err != nil {
		return err
	}
	if err := o.streams.PrintOutcome(reply.Outcome, o.JSON); err != nil || o.Wait <= 0 {
		return err
	}
	ctx, cancel = context.WithTimeout(context.Background(), o.Wait)
	defer cancel()
	return o.wait(ctx, reply.Outcome.Sequence)
}

// statusTimeout bounds the wait for the status, for commands without a timeout flag.
const statusTimeout = 5 * time.Second
