// Package zfcentrecmd holds the centre commands, which manage data centres.
package zfcentrecmd

import (
	"context"

	zf "zinniafront"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfoperator"
)

// Commands holds the subcommands of centre.
type Commands struct {
	Out OutOptions `cmd:"" help:"Take a data centre out of service; packets of flows to its backend servers are dropped."`
	In  InOptions  `cmd:"" help:"Bring a data centre back into service."`
}

// Options holds the arguments and flags that both subcommands share.
type Options struct {
	zfcmd.ControlFlags
	zfcmd.WaitFlags
	Centre string `arg:"" help:"Name of the data centre."`
	JSON   bool   `name:"json" help:"Print the outcome as a JSON document."`

	streams zfcmd.Streams
	client  *zfoperator.Client
	wait    func(ctx context.Context, sequence uint64) error
}

func (o *Options) complete(f *zfcmd.Factory) {
	o.streams = f.Streams
	o.client = f.Client(o.Control)
	o.wait = f.WaitInForce(o.client)
}

func centreRun(o *Options, out bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	reply, err := o.client.Centre(ctx, zfoperator.CentreArgs{
		Centre: zf.CentreName(o.Centre),
		Out:    out,
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
