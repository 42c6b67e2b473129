// Package zfrootcmd assembles the command line of zinniafront.
package zfrootcmd

import (
	"fmt"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"zinniafront/io/command/zfbundlecmd"
	"zinniafront/io/command/zfcentrecmd"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/command/zfexplaincmd"
	"zinniafront/io/command/zfkeycmd"
	"zinniafront/io/command/zfservecmd"
	"zinniafront/io/command/zfstatuscmd"
	"zinniafront/io/command/zfversioncmd"
)

// Commands holds the top-level commands.
type Commands struct {
	Serve      zfservecmd.Options           `cmd:"" help:"Run an instance with the roles in its settings file."`
	Bundle     zfbundlecmd.Commands         `cmd:"" help:"Validate, sign and submit bundles, put them in force and show them."`
	Centre     zfcentrecmd.Commands         `cmd:"" help:"Take data centres out of service and bring them back."`
	Explain    zfexplaincmd.Options         `cmd:"" help:"Show where a new flow would go now, and why, without sending it."`
	Status     zfstatuscmd.Options          `cmd:"" help:"Show the control state and the sequence that each instance has in force."`
	Key        zfkeycmd.Commands            `cmd:"" help:"Generate keys."`
	Version    zfversioncmd.Options         `cmd:"" help:"Show the version."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print the shell code that enables command completion."`
}

const description = "zinniafront is a layer-4 load balancer that keeps each flow on its backend server."

// exitPanic is the panic value that carries the exit code from the parser to Main.
type exitPanic struct{ code int }

// Main parses and runs a command line and returns the exit code.
func Main(f *zfcmd.Factory, args []string) (code int) {
	defer func() {
		recovered := recover()
		if exit, ok := recovered.(exitPanic); ok {
			code = exit.code
		} else if recovered != nil {
			panic(recovered)
		}
	}()
	var commands Commands
	parser, err := kong.New(&commands,
		kong.Name("zinniafront"),
		kong.Description(description+"\n\n"+zfcmd.ExitHelp),
		kong.Writers(f.Streams.Out, f.Streams.Err),
		kong.Exit(func(code int) {
			panic(exitPanic{
				code: code,
			})
		}),
		kong.Bind(f),
	)
	if err != nil {
		return fail(f, err, zfcmd.ExitError)
	}
	kongplete.Complete(parser)
	command, err := parser.Parse(args)
	if err != nil {
		return fail(f, err, zfcmd.ExitInput)
	}
	if err := command.Run(f); err != nil {
		return fail(f, err, zfcmd.ExitCode(err))
	}
	return zfcmd.ExitOK
}

func fail(f *zfcmd.Factory, err error, code int) int {
	fmt.Fprintf(f.Streams.Err, "zinniafront: %v\n", err)
	return code
}
