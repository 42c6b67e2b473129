// Package zfversioncmd holds the command that tells the version.
package zfversioncmd

import "zinniafront/io/command/zfcmd"

// Options are the flags of version.
type Options struct {
	JSON bool `name:"json" help:"Print one JSON document."`

	streams zfcmd.Streams
}

// Run runs the command.
func (o *Options) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return versionRun(o)
}

type versionDocument struct {
	Version string `json:"version"`
}

func versionRun(o *Options) error {
	if o.JSON {
		return o.streams.PrintJSON(versionDocument{
			Version: zfcmd.Version,
		})
	}
	o.streams.Printf("zinniafront %s\n", zfcmd.Version)
	return nil
}
