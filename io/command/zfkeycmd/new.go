// Package zfkeycmd holds the key commands, which generate key files.
package zfkeycmd

import (
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfkey"
)

// Commands holds the subcommands of key.
type Commands struct {
	New NewOptions `cmd:"" help:"Generate a key."`
}

// NewOptions holds the arguments and flags of key new.
type NewOptions struct {
	Kind string `arg:"" enum:"sign,shared" help:"sign: a key pair for signing bundles; shared: a secret key for instances and backend servers."`
	Out  string `name:"out" short:"o" required:"" help:"File to write the key to; the public key of a key pair is written to FILE.pub."`
	JSON bool   `name:"json" help:"Print the kind, ID and path of the key as a JSON document."`

	streams zfcmd.Streams
}

// Help implements kong.HelpProvider.
func (*NewOptions) Help() string {
	return "Examples:\n  zinniafront key new sign --out ops.key\n  zinniafront key new shared --out peers.key\n\n" + zfcmd.ExitHelp
}

// Run generates the key and prints its ID.
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
	o.streams.Printf("generated %s key %s in %s\n", o.Kind, id, o.Out)
	return nil
}
