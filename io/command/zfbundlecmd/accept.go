package zfbundlecmd

import (
	"context"
	"time"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfoperator"
)

// AcceptOptions are the flags of bundle accept.
type AcceptOptions struct {
	zfcmd.ControlFlags
	Path    string        `arg:"" help:"Signed bundle, or - for the standard input."`
	Timeout time.Duration `name:"timeout" default:"5s" help:"How long to wait for the answer."`
	JSON    bool          `name:"json" help:"Print one JSON document."`

	streams zfcmd.Streams
	client  *zfoperator.Client
}

// Help returns the examples.
func (*AcceptOptions) Help() string {
	return "Example:\n  zinniafront bundle accept collarcraft.jws --control 127.0.0.1:7400\n\n" + zfcmd.ExitHelp
}

// Run runs the command.
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
