// Package zfservecmd holds the command that runs one process of the system.
package zfservecmd

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/fx"

	"zinniafront/core/zfbundle"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfkey"
	"zinniafront/platform"
)

// Options are the flags of serve.
type Options struct {
	Settings string        `name:"settings" short:"s" required:"" help:"Settings file of this process."`
	Drain    time.Duration `name:"drain" default:"20s" help:"How long a planned stop may take."`

	factory *zfcmd.Factory
}

// Help returns the examples.
func (*Options) Help() string {
	return "Example:\n  zinniafront serve --settings examples/entry-1.json\n\n" +
		"SIGTERM or SIGINT begins a planned stop.\n\n" + zfcmd.ExitHelp
}

// Run runs the command.
func (o *Options) Run(f *zfcmd.Factory) error {
	o.factory = f
	return serveRun(o)
}

func serveRun(o *Options) error {
	debug.SetGCPercent(gcPercent)
	settings, err := readSettings(o.Settings)
	if err != nil {
		return err
	}
	logger := zfevent.New(zfevent.Config{
		Output:   o.factory.Streams.Out,
		Level:    settings.LogLevel,
		Instance: string(settings.Name),
		Queue:    logQueue,
	})
	defer logger.Close()
	app := fx.New(
		fx.NopLogger,
		fx.StopTimeout(o.Drain+stopMargin),
		fx.Supply(settings, logger, o.factory, drainTimeout(o.Drain), settingsPath(o.Settings)),
		fx.Provide(zfcounter.New, newIdentity, newReloader, newDecoder, newBundleReader, newSource),
		roleModules(settings),
		fx.Invoke(startReloader),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(dig.RootCause(err), "build process")
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		logger.Entry(zfevent.ListenFailed).Err(err).Msg("")
		return errors.Wrap(err, "start process")
	}
	logger.Entry(zfevent.ProcessStarted).Str("centre", string(settings.Centre)).Msg("")
	<-app.Wait()
	logger.Entry(zfevent.ProcessStopping).Msg("")
	ctx, cancel = context.WithTimeout(context.Background(), o.Drain+stopMargin)
	defer cancel()
	err = app.Stop(ctx)
	logger.Entry(zfevent.ProcessStopped).Msg("")
	return errors.Wrap(err, "stop process")
}

const (
	startTimeout = 15 * time.Second
	stopMargin   = 5 * time.Second
	// gcPercent has garbage collected once the heap has grown by half. The heap
	// of an instance is 2 MB, and by default none would be below 4 MB; machines have
	// 123 MB and little else to spare.
	gcPercent = 50
	// logQueue is the number of log lines that may wait for the output.
	logQueue = 256
)

// settingsPath is where the settings were read from.
type settingsPath string

// source identifies one run of a process.
type source uint64

func newSource() source { return source(rand.Uint64() | 1) }

// bundleReader reads the packed documents that instances exchange.
type bundleReader struct {
	decoder platform.Decoder
}

func newDecoder(settings *zfdocument.Settings) platform.Decoder {
	return platform.Decoder{
		Centres: settings.Platform.Centres,
	}
}

func newBundleReader(decoder platform.Decoder) bundleReader {
	return bundleReader{
		decoder: decoder,
	}
}

func (b bundleReader) decode(compressed []byte) (*zfbundle.Bundle, error) {
	document, err := zfdocument.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return b.decoder.Decode(document)
}

// digest identifies a document. One that can't be unpacked is refused by decode
// before it is compared with others.
func (b bundleReader) digest(compressed []byte) string {
	document, err := zfdocument.Decompress(compressed)
	if err != nil {
		document = compressed
	}
	return zfkey.Digest(document)
}

// drainTimeout is how long a planned stop may take.
type drainTimeout time.Duration

func readSettings(path string) (*zfdocument.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return zfdocument.ParseSettings(text, filepath.Dir(path))
}

// roleModules returns the modules of the process' roles.
func roleModules(settings *zfdocument.Settings) fx.Option {
	options := make([]fx.Option, 0, 3)
	for role, module := range map[zfdocument.Role]func() fx.Option{
		zfdocument.RoleControl: controlModule,
		zfdocument.RoleForward: forwardModule,
		zfdocument.RoleKeeper:  controllerModule,
	} {
		if settings.HasRole(role) {
			options = append(options, module())
		}
	}
	if settings.HasRole(zfdocument.RoleEntry) {
		options = append(options, entryModule())
	} else {
		options = append(options, fx.Provide(newDefaultAdmin), fx.Invoke(startAdmin))
	}
	return fx.Options(options...)
}
