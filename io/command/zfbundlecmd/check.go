// Package zfbundlecmd holds the bundle commands, which check and sign bundles and submit
// them to instances with the control role. Instances with the keeper role take bundles
// over the HTTP calls of package platform instead.
package zfbundlecmd

import (
	"github.com/pkg/errors"

	"zinniafront/core/zfbundle"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfkey"
)

// Commands holds the subcommands of bundle.
type Commands struct {
	Check  CheckOptions  `cmd:"" help:"Validate a bundle and print every fault."`
	Sign   SignOptions   `cmd:"" help:"Validate and sign a bundle."`
	Accept AcceptOptions `cmd:"" help:"Submit a signed bundle to the control instances."`
	Roll   RollOptions   `cmd:"" help:"Put an accepted bundle in force."`
	Show   ShowOptions   `cmd:"" help:"Show the accepted bundles and the one in force."`
	Schema SchemaOptions `cmd:"" help:"Print the JSON schema of bundles, settings or announcements."`
}

// CheckOptions holds the arguments and flags of bundle check.
type CheckOptions struct {
	Path string `arg:"" help:"Bundle file, or - for the standard input."`
	JSON bool   `name:"json" help:"Print the result as a JSON document."`

	streams zfcmd.Streams
}

// Help implements kong.HelpProvider.
func (*CheckOptions) Help() string {
	return "Example:\n  zinniafront bundle check examples/collarcraft.json\n\n" + zfcmd.ExitHelp
}

// Run validates the bundle and prints its faults.
func (o *CheckOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return checkRun(o)
}

type checkDocument struct {
	Valid  bool            `json:"valid"`
	Name   string          `json:"name,omitempty"`
	Digest string          `json:"digest,omitempty"`
	Faults []faultDocument `json:"faults"`
}

type faultDocument struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed,omitempty"`
}

func checkRun(o *CheckOptions) error {
	text, err := o.streams.ReadFile(o.Path)
	if err != nil {
		return err
	}
	bundle, err := zfdocument.ParseBundle(text)
	if !o.JSON {
		if err == nil {
			o.streams.Printf("%s: version %d of %s is valid, digest %s\n", o.Path, bundle.Version, bundle.Name, zfkey.Digest(text))
		}
		return err
	}
	document := checkDocument{
		Valid:  err == nil,
		Faults: make([]faultDocument, 0),
	}
	var invalid *zfdocument.Error
	switch {
	case err == nil:
		document.Name = bundle.Name
		document.Digest = zfkey.Digest(text)
	case errors.As(err, &invalid):
		document.Faults = faultDocuments(invalid.Faults)
	default:
		return err
	}
	if printErr := o.streams.PrintJSON(document); printErr != nil {
		return printErr
	}
	return err
}

func faultDocuments(faults []zfbundle.Fault) []faultDocument {
	documents := make([]faultDocument, 0, len(faults))
	for _, fault := range faults {
		documents = append(documents, faultDocument{
			Path:    fault.Path,
			Problem: fault.Problem,
			Allowed: fault.Allowed,
		})
	}
	return documents
}
