// Package zfrootcmd joins the commands to one program.
package zfrootcmd

import (
	"fmt"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"zinniafront/io/command/zfbundlecmd"
	"zinniafront/io/command/zfcentrecmd"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/command/zfkeycmd"
	"zinniafront/io/command/zfservecmd"
	"zinniafront/io/command/zfstatuscmd"
	"zinniafront/io/command/zfversioncmd"
)

// Commands are the nouns of the program.
type Commands struct {
	Serve      zfservecmd.Options           `cmd:"" help:"Run one process of the system."`
	Bundle     zfbundlecmd.Commands         `cmd:"" help:"Check, sign, accept, roll and show bundles."`
	Centre     zfcentrecmd.Commands         `cmd:"" help:"Take data centres out and bring them back."`
	Status     zfstatuscmd.Options          `cmd:"" help:"Show the control state and who has it in force."`
	Key        zfkeycmd.Commands            `cmd:"" help:"Make keys."`
	Version    zfversioncmd.Options         `cmd:"" help:"Show the version."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Show how to complete commands in a shell."`
}

const description = "zinniafront is a layer-4 load balancer that keeps flows whole."

// exitPanic carries an exit code out of the parser.
type exitPanic struct{ code int }

// Main runs one command line and returns the exit code.
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
