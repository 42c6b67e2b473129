// Package zfcmd provides what all commands share: streams, clock, clients, errors
// and exit codes.
package zfcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfoperator"
)

// Version is the program's version; a build can override it with -ldflags -X.
var Version = "0.1.0-dev"

// Streams are the input and outputs of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Factory holds the dependencies of the commands.
type Factory struct {
	Streams Streams
	Clock   zf.Clock
	// Client returns a client of control instances.
	Client func(addresses []netip.AddrPort) *zfoperator.Client
}

// NewFactory returns a Factory with the process's standard streams, the system clock
// and clients that connect over the network.
func NewFactory() *Factory {
	return &Factory{
		Streams: Streams{
			In:  os.Stdin,
			Out: os.Stdout,
			Err: os.Stderr,
		},
		Clock:  zfclock.System{},
		Client: zfoperator.NewClient,
	}
}

// PrintJSON writes value to the standard output as an indented JSON document.
func (s Streams) PrintJSON(value any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write output")
}

// Printf writes formatted text to the standard output.
func (s Streams) Printf(format string, args ...any) {
	fmt.Fprintf(s.Out, format, args...)
}

// ControlFlags holds the flag for the addresses of the control instances.
type ControlFlags struct {
	Control []netip.AddrPort `name:"control" short:"c" env:"ZINNIAFRONT_CONTROL" required:"" placeholder:"ADDRESS" help:"Address of an instance with the control role (listen.operator in its settings); repeat for more."`
}

// ReadFile returns the content of a file, or of the standard input if path is "-".
func (s Streams) ReadFile(path string) ([]byte, error) {
	if path == "-" {
		text, err := io.ReadAll(s.In)
		return text, errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(path)
	return text, errors.Wrap(err, "read file")
}

// Errors with an exit code of their own.
var (
	// ErrRefused is returned if a command was refused and the control state is unchanged.
	ErrRefused = errors.New("refused")
	// ErrTimeout is returned if a change was not in force everywhere before the timeout.
	ErrTimeout = errors.New("timed out")
	// ErrInput is returned if an argument has an invalid value.
	ErrInput = errors.New("invalid argument")
	// ErrUnreachable is returned if no instance answered.
	ErrUnreachable = errors.New("no instance answered")
	// ErrUnknown is returned if the object of a command doesn't exist.
	ErrUnknown = errors.New("not found")
)

// Exit codes, described for users in ExitHelp.
const (
	ExitOK             = 0
	ExitError          = 1
	ExitInput          = 2
	ExitRefused        = 3
	ExitUnreachable    = 4
	ExitOutcomeUnknown = 5
	ExitTimeout        = 6
	ExitUnknown        = 7
)

// ExitHelp describes the exit codes in the help texts of commands.
const ExitHelp = `Exit codes: 0 success; 1 other failure; 2 invalid usage or document;
3 refused, nothing changed; 4 no control instance reachable, nothing sent;
5 outcome unknown, repeat the same command; 6 timed out, not yet in force;
7 the route or data centre that was asked for doesn't exist.`

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var document *zfdocument.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &document), errors.Is(err, ErrInput):
		return ExitInput
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrUnknown):
		return ExitUnknown
	case errors.Is(err, zfoperator.ErrUnreachable), errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, zfoperator.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, ErrTimeout):
		return ExitTimeout
	default:
		return ExitError
	}
}
