package zflabcmd

import (
	"fmt"

	"github.com/alecthomas/kong"

	"zinniafront/io/command/zfcmd"
)

// Commands are the commands of zinnialab.
type Commands struct {
	Plan     PlanOptions     `cmd:"" help:"Write keys, settings and topology of a run."`
	Fabric   FabricOptions   `cmd:"" help:"Stand in for the fabric."`
	Backend  BackendOptions  `cmd:"" help:"Stand in for a backend server."`
	Caller   CallerOptions   `cmd:"" help:"Stand in for the callers."`
	Servers  ServersOptions  `cmd:"" help:"Print the names of the backend servers."`
	Wait     WaitOptions     `cmd:"" help:"Wait for a state of a run."`
	Compare  CompareOptions  `cmd:"" help:"Compare the flow mappers under a fake clock."`
	Capacity CapacityOptions `cmd:"" help:"Extrapolate the measurements of a sweep to another size."`
	Collect  CollectOptions  `cmd:"" help:"Save the counters of all instances."`
	Report   ReportOptions   `cmd:"" help:"Print the measures of a run that has ended."`
}

// Main runs one command line and returns the exit code.
func Main(f *zfcmd.Factory, args []string) int {
	var commands Commands
	parser, err := kong.New(&commands,
		kong.Name("zinnialab"),
		kong.Description("zinnialab runs stand-ins for the users' platform on loopback."),
		kong.Writers(f.Streams.Out, f.Streams.Err),
		kong.Bind(f),
	)
	if err == nil {
		var context *kong.Context
		context, err = parser.Parse(args)
		if err == nil {
			err = context.Run(f)
		}
	}
	if err != nil {
		fmt.Fprintf(f.Streams.Err, "zinnialab: %v\n", err)
	}
	return zfcmd.ExitCode(err)
}
