package zfcentrecmd

import "zinniafront/io/command/zfcmd"

// OutOptions are the flags of centre out.
type OutOptions struct {
	Options
}

// Help returns the examples.
func (*OutOptions) Help() string {
	return "Example:\n  zinniafront centre out chaguanas --control 127.0.0.1:7400 --wait 3s\n\n" + zfcmd.ExitHelp
}

// Run runs the command.
func (o *OutOptions) Run(f *zfcmd.Factory) error {
	o.complete(f)
	return centreRun(&o.Options, true)
}
