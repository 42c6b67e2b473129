package zfbundlecmd

import (
	"context"
	"time"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfoperator"
)

// AcceptOptions holds the arguments and flags of bundle accept.
type AcceptOptions struct {
	zfcmd.ControlFlags
	Path    string        `arg:"" help:"File of the signed bundle, or - for the standard input."`
	Timeout time.Duration `name:"timeout" default:"5s" help:"Maximum time to wait for the result."`
	JSON    bool          `name:"json" help:"Print the outcome as a JSON document."`

	streams zfcmd.Streams
	client  *zfoperator.Client
}

// Help implements kong.HelpProvider.
func (*AcceptOptions) Help() string {
	return "Example:\n  zinniafront bundle accept collarcraft.jws --control 127.0.0.1:7400\n\n" + zfcmd.ExitHelp
}

// Run sends the signed bundle to a control instance and prints the outcome.
func (o *AcceptOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	o.client = f.Client(o.Control)
	return acceptRun(o)
}

func acceptRun(o *AcceptOptions) error {
	signed, err := o.streams.ReadFile(o.Path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	reply, err := o.client.Accept(ctx, zfoperator.AcceptArgs{
		Signed: signed,
	})
	if err != nil {
		return err
	}
	return o.streams.PrintOutcome(reply.Outcome, o.JSON)
}
