package zfbundlecmd

import (
	"os"

	"github.com/pkg/errors"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfkey"
)

// SignOptions holds the arguments and flags of bundle sign.
type SignOptions struct {
	Path string `arg:"" help:"Bundle file, or - for the standard input."`
	Key  string `name:"key" short:"k" required:"" help:"File of the private signing key."`
	Out  string `name:"out" short:"o" required:"" help:"File to write the signed bundle to."`
	JSON bool   `name:"json" help:"Print the version, digest and path of the signed bundle as a JSON document."`

	streams zfcmd.Streams
}

// Help implements kong.HelpProvider.
func (*SignOptions) Help() string {
	return "Example:\n  zinniafront bundle sign examples/collarcraft.json --key ops.key --out collarcraft.jws\n\n" + zfcmd.ExitHelp
}

// Run validates and signs the bundle and writes the signed bundle.
func (o *SignOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return signRun(o)
}

type signDocument struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Path    string `json:"path"`
}

const signedFileMode = 0o644

func signRun(o *SignOptions) error {
	text, err := o.streams.ReadFile(o.Path)
	if err != nil {
		return err
	}
	bundle, err := zfdocument.ParseBundle(text)
	if err != nil {
		return err
	}
	key, err := zfkey.ReadSigningKey(o.Key)
	if err != nil {
		return err
	}
	signed, err := key.Sign(text)
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.Out, signed, signedFileMode); err != nil {
		return errors.Wrap(err, "write signed bundle")
	}
	if o.JSON {
		return o.streams.PrintJSON(signDocument{
			Version: bundle.Version,
			Digest:  zfkey.Digest(text),
			Path:    o.Out,
		})
	}
	o.streams.Printf("signed version %d, digest %s, to %s\n", bundle.Version, zfkey.Digest(text), o.Out)
	return nil
}
