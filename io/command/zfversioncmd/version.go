// Package zfversioncmd holds the version command.
package zfversioncmd

import "zinniafront/io/command/zfcmd"

// Options holds the flags of version.
type Options struct {
	JSON bool `name:"json" help:"Print the version as a JSON document."`

	streams zfcmd.Streams
}

// Run prints the version.
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
