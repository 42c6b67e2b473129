package zfcentrecmd

import "zinniafront/io/command/zfcmd"

// InOptions are the flags of centre in.
type InOptions struct {
	Options
}

// Help returns the examples.
func (*InOptions) Help() string {
	return "Example:\n  zinniafront centre in chaguanas --control 127.0.0.1:7400\n\n" + zfcmd.ExitHelp
}

// Run runs the command.
func (o *InOptions) Run(f *zfcmd.Factory) error {
	o.complete(f)
	return centreRun(&o.Options, false)
}
