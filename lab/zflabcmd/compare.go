package zflabcmd

import (
	"zinniafront/io/command/zfcmd"
	"zinniafront/lab/zfcompare"
)

// CompareOptions are the flags of compare.
type CompareOptions struct {
	Seed      uint64  `name:"seed" default:"1" help:"Seed of all random choices."`
	Instances int     `name:"instances" default:"9" help:"Number of entry instances."`
	Rate      float64 `name:"rate" default:"300" help:"Flows opened each second."`
	JSON      bool    `name:"json" help:"Print one JSON document."`

	streams zfcmd.Streams
}

// Run runs the command.
func (o *CompareOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return compareRun(o)
}

func compareRun(o *CompareOptions) error {
	rows, err := zfcompare.Run(zfcompare.Config{
		Seed:      o.Seed,
		Instances: o.Instances,
		Rate:      o.Rate,
	})
	if err != nil {
		return err
	}
	if o.JSON {
		return o.streams.PrintJSON(rows)
	}
	o.streams.Printf("%s", zfcompare.FormatTable(rows))
	return nil
}
