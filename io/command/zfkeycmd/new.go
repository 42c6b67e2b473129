// Package zfkeycmd holds the commands on keys.
package zfkeycmd

import (
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfkey"
)

// Commands are the verbs of key.
type Commands struct {
	New NewOptions `cmd:"" help:"Make a key."`
}

// NewOptions are the flags of key new.
type NewOptions struct {
	Kind string `arg:"" enum:"sign,shared" help:"sign: a key pair for an operator; shared: a secret for machines."`
	Out  string `name:"out" short:"o" required:"" help:"File to write; a key pair also writes FILE.pub."`
	JSON bool   `name:"json" help:"Print one JSON document."`

	streams zfcmd.Streams
}

// Help returns the examples.
func (*NewOptions) Help() string {
	return "Examples:\n  zinniafront key new sign --out ops.key\n  zinniafront key new shared --out peers.key\n\n" + zfcmd.ExitHelp
}

// Run runs the command.
func (o *NewOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return newRun(o)
}

type keyDocument struct {
	Kind string `json:"kind"`
	ID   string `json:"id"`
	Path string `json:"path"`
}

func newRun(o *NewOptions) error {
	generate := zfkey.GenerateSharedKey
	if o.Kind == "sign" {
		generate = zfkey.GenerateSigningKey
	}
	id, err := generate(o.Out)
	if err != nil {
		return err
	}
	if o.JSON {
		return o.streams.PrintJSON(keyDocument{
			Kind: o.Kind,
			ID:   id,
			Path: o.Out,
		})
	}
	o.streams.Printf("made %s key %s in %s\n", o.Kind, id, o.Out)
	return nil
}
