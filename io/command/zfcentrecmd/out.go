package zfcentrecmd

import "zinniafront/io/command/zfcmd"

// OutOptions holds the arguments and flags of centre out.
type OutOptions struct {
	Options
}

// Help implements kong.HelpProvider.
func (*OutOptions) Help() string {
	return "Example:\n  zinniafront centre out chaguanas --control 127.0.0.1:7400 --wait 3s\n\n" + zfcmd.ExitHelp
}

// Run takes the data centre out of service.
func (o *OutOptions) Run(f *zfcmd.Factory) error {
	o.complete(f)
	return centreRun(&o.Options, true)
}
