package zfcentrecmd

import "zinniafront/io/command/zfcmd"

// InOptions holds the arguments and flags of centre in.
type InOptions struct {
	Options
}

// Help implements kong.HelpProvider.
func (*InOptions) Help() string {
	return "Example:\n  zinniafront centre in chaguanas --control 127.0.0.1:7400\n\n" + zfcmd.ExitHelp
}

// Run brings the data centre back into service.
func (o *InOptions) Run(f *zfcmd.Factory) error {
	o.complete(f)
	return centreRun(&o.Options, false)
}
