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

// pollInterval is the time between two looks at the settings file, which may change
// without a signal.
const pollInterval = 2 * time.Second

// reloader reads the settings again when they change. Only the seeds come into
// force without a restart.
type reloader struct {
	hangup       chan os.Signal
	path         string
	clock        clock
	logger       *zfevent.Logger
	text         []byte
	seeds        []netip.AddrPort
	seedHandlers []func(seeds []netip.AddrPort)
}

// clock is the part of zinniafront.Clock that a reloader needs.
type clock interface {
	After(d time.Duration) (<-chan time.Time, func())
}

func newReloader(path settingsPath, settings *zfdocument.Settings, f *zfcmd.Factory, logger *zfevent.Logger) *reloader {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // Without it the signal would end the process.
	return &reloader{
		hangup: hangup,
		path:   string(path),
		clock:  f.Clock,
		logger: logger,
		seeds:  settings.Platform.Seeds,
	}
}

// onSeedsChanged has a function called with seeds that changed.
func (r *reloader) onSeedsChanged(handler func(seeds []netip.AddrPort)) {
	r.seedHandlers = append(r.seedHandlers, handler)
}

func startReloader(lifecycle fx.Lifecycle, r *reloader) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() { go r.run(ctx) }, cancel))
}

func (r *reloader) run(ctx context.Context) {
	r.text, _ = os.ReadFile(r.path) // It was read a moment ago; else the first look reads it anew.
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

// reload reads the settings and puts new seeds in force. signalled has it log even
// if nothing changed.
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
