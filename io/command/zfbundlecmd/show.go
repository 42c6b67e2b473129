package zfbundlecmd

import (
	"context"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfoperator"
)

// ShowOptions holds the flags of bundle show.
type ShowOptions struct {
	zfcmd.ControlFlags
	JSON bool `name:"json" help:"Print the bundles as a JSON document."`

	streams zfcmd.Streams
	client  *zfoperator.Client
}

// Help implements kong.HelpProvider.
func (*ShowOptions) Help() string {
	return "Example:\n  zinniafront bundle show --control 127.0.0.1:7400 --json\n\n" + zfcmd.ExitHelp
}

// Run prints the accepted bundles and marks the one in force.
func (o *ShowOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	o.client = f.Client(o.Control)
	return showRun(o)
}

type bundleDocument struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Sequence uint64 `json:"sequence"`
	Rolled   uint64 `json:"rolled"`
	Current  bool   `json:"current"`
}

func showRun(o *ShowOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := o.client.Status(ctx)
	if err != nil {
		return err
	}
	bundles := make([]bundleDocument, 0, len(status.State.Bundles))
	for _, accepted := range status.State.Bundles {
		bundles = append(bundles, bundleDocument{
			Version:  accepted.Version,
			Digest:   accepted.Digest,
			Sequence: accepted.Sequence,
			Rolled:   accepted.Rolled,
			Current:  accepted.Version == status.State.InForce,
		})
	}
	if o.JSON {
		return o.streams.PrintJSON(bundles)
	}
	for _, bundle := range bundles {
		marker := " "
		if bundle.Current {
			marker = "*"
		}
		o.streams.Printf("%s version %d\tdigest %s\taccepted at sequence %d\trolled at sequence %d\n",
			marker, bundle.Version, bundle.Digest, bundle.Sequence, bundle.Rolled)
	}
	return nil
}

// SchemaOptions holds the arguments of bundle schema.
type SchemaOptions struct {
	Kind string `arg:"" enum:"bundle,settings,announcement" help:"Kind of document: bundle, settings or announcement."`

	streams zfcmd.Streams
}

// Run prints the JSON schema.
func (o *SchemaOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return schemaRun(o)
}

func schemaRun(o *SchemaOptions) error {
	text, err := zfdocument.Schema(zfdocument.Kind(o.Kind))
	if err != nil {
		return err
	}
	o.streams.Printf("%s", text)
	return nil
}
