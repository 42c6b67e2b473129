// Package zfcmd holds what all commands share: streams, clock, clients, errors
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

// Version is the program's version; the build may set it.
var Version = "0.1.0-dev"

// Streams are the input and outputs of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Factory gives commands what they run with.
type Factory struct {
	Streams Streams
	Clock   zf.Clock
	// Client returns a client of control instances.
	Client func(addresses []netip.AddrPort) *zfoperator.Client
}

// NewFactory returns the factory of a real process.
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

// PrintJSON writes one document to the standard output.
func (s Streams) PrintJSON(value any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write output")
}

// Printf writes to the standard output.
func (s Streams) Printf(format string, args ...any) {
	fmt.Fprintf(s.Out, format, args...)
}

// ControlFlags tell a command where the control instances are.
type ControlFlags struct {
	Control []netip.AddrPort `name:"control" short:"c" env:"ZINNIAFRONT_CONTROL" required:"" placeholder:"ADDRESS" help:"Operator address of a control instance; repeat for more."`
}

// ReadFile returns a file's content; "-" is the standard input.
func (s Streams) ReadFile(path string) ([]byte, error) {
	if path == "-" {
		text, err := io.ReadAll(s.In)
		return text, errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(path)
	return text, errors.Wrap(err, "read file")
}

// The errors that decide the exit code.
var (
	// ErrRefused tells that the control state stayed as it was.
	ErrRefused = errors.New("refused")
	// ErrTimeout tells that a state was not reached in time.
	ErrTimeout = errors.New("not reached in time")
)

// The exit codes.
const (
	ExitOK             = 0
	ExitError          = 1
	ExitInput          = 2
	ExitRefused        = 3
	ExitUnreachable    = 4
	ExitOutcomeUnknown = 5
	ExitTimeout        = 6
)

// ExitHelp describes the exit codes in help texts.
const ExitHelp = `Exit codes: 0 done; 1 failed; 2 bad usage, document or key;
3 refused, nothing changed; 4 no control instance reached, nothing sent;
5 outcome unknown, send the same command again; 6 not reached in time.`

// ExitCode returns the exit code of a command's error.
func ExitCode(err error) int {
	var document *zfdocument.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &document):
		return ExitInput
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, zfoperator.ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, zfoperator.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, ErrTimeout):
		return ExitTimeout
	default:
		return ExitError
	}
}
