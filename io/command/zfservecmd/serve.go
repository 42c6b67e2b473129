// Package zfservecmd holds the serve command, which runs one instance of the system.
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

// Options holds the flags of serve.
type Options struct {
	Settings string        `name:"settings" short:"s" required:"" help:"Settings file of the instance."`
	Drain    time.Duration `name:"drain" default:"20s" help:"Maximum duration of a planned stop; the process exits within 5s after it. With the forward role, platform.grace and platform.drain in the settings shorten the wait for a stop permit."`

	factory *zfcmd.Factory
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return "Example:\n  zinniafront serve --settings examples/settings/entry-1.json\n\n" +
		"SIGTERM or SIGINT starts a planned stop.\n\n" + zfcmd.ExitHelp
}

// Run runs the instance until a signal stops it.
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
		fx.Supply(settings, logger, o.factory, stopTimeout(o.Drain), settingsPath(o.Settings)),
		fx.Provide(zfcounter.New, newIdentity, newReloader, newDecoder, newBundleReader, newSource),
		roleModules(settings),
		fx.Invoke(startReloader),
	)
	if err := app.Err(); err != nil {
		logger.Entry(zfevent.ListenFailed).Err(dig.RootCause(err)).Msg("")
		return errors.Wrap(dig.RootCause(err), "set up process")
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
	// stopMargin is how much longer than the stop timeout stopping all roles may take.
	stopMargin = 5 * time.Second
	// gcPercent starts a garbage collection once the heap has grown by half. The
	// live heap of an instance is 2 MB, and the default of 100 collects nothing below
	// 4 MB; the hosts have 123 MB of memory and little of it free.
	gcPercent = 50
	// logQueue is the maximum number of buffered log lines.
	logQueue = 256
)

// settingsPath is the path of the settings file.
type settingsPath string

// source identifies one run of an instance of the forward or keeper role, to the
// subscribers of its feed and in the registry of backend servers. It is random and never
// 0. The entry role uses the incarnation of its identity instead.
type source uint64

func newSource() source { return source(rand.Uint64() | 1) }

// bundleReader decodes the compressed bundle documents that instances exchange.
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

// digest returns the digest of a document, or of its compressed form if it can't be
// decompressed; decode refuses such a document before its digest is compared.
func (b bundleReader) digest(compressed []byte) string {
	document, err := zfdocument.Decompress(compressed)
	if err != nil {
		document = compressed
	}
	return zfkey.Digest(document)
}

// stopTimeout is the maximum duration of a planned stop.
type stopTimeout time.Duration

func readSettings(path string) (*zfdocument.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return zfdocument.ParseSettings(text, filepath.Dir(path))
}

// roleModules returns the modules of the roles in the settings. A process without the
// entry role gets the default admin server.
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
