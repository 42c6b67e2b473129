package zfservecmd

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
)

// pollInterval is the time between two reads of the settings file, which may change
// without a signal.
const pollInterval = 2 * time.Second

// reloader reloads the settings file when it changes. Only changed seeds take effect
// without a restart.
type reloader struct {
	hangup       chan os.Signal
	path         string
	clock        clock
	logger       *zfevent.Logger
	text         []byte
	seeds        []netip.AddrPort
	seedHandlers []func(seeds []netip.AddrPort)
}

// clock is the subset of zinniafront.Clock that a reloader uses.
type clock interface {
	After(d time.Duration) (<-chan time.Time, func())
}

func newReloader(path settingsPath, settings *zfdocument.Settings, f *zfcmd.Factory, logger *zfevent.Logger) *reloader {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // SIGHUP would otherwise terminate the process.
	return &reloader{
		hangup: hangup,
		path:   string(path),
		clock:  f.Clock,
		logger: logger,
		seeds:  settings.Platform.Seeds,
	}
}

// onSeedsChanged registers a function that is called with the new seeds when they
// change.
func (r *reloader) onSeedsChanged(handler func(seeds []netip.AddrPort)) {
	r.seedHandlers = append(r.seedHandlers, handler)
}

func startReloader(lifecycle fx.Lifecycle, r *reloader) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() { go r.run(ctx) }, cancel))
}

func (r *reloader) run(ctx context.Context) {
	r.text, _ = os.ReadFile(r.path) // Start-up has read it; after an error the first poll reloads it.
	for {
		poll, release := r.clock.After(pollInterval)
		select {
		case <-ctx.Done():
			release()
			return
		case <-r.hangup:
			release()
			r.reload(true)
		case <-poll:
			r.reload(false)
		}
	}
}

// reload reads the settings file and applies changed seeds. It logs an unchanged file
// only if signalled is set.
func (r *reloader) reload(signalled bool) {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.logger.Entry(zfevent.SettingsRefused).Err(errors.Wrap(err, "read settings")).Msg("")
		return
	}
	unchanged := bytes.Equal(text, r.text)
	if unchanged && !signalled {
		return
	}
	r.text = text
	settings, err := zfdocument.ParseSettings(text, filepath.Dir(r.path))
	if err != nil {
		r.logger.Entry(zfevent.SettingsRefused).Err(err).Msg("")
		return
	}
	seedsChanged := !slices.Equal(settings.Platform.Seeds, r.seeds)
	r.logger.Entry(zfevent.SettingsReloaded).Bool("signal", signalled).Bool("same", unchanged).Bool("seeds", seedsChanged).Msg("")
	if !seedsChanged {
		return
	}
	r.seeds = settings.Platform.Seeds
	for _, handler := range r.seedHandlers {
		handler(r.seeds)
	}
}
