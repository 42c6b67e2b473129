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

// lookEvery is the time between two looks at the settings file, which may change
// without a signal.
const lookEvery = 2 * time.Second

// reloader reads the settings again when they change. Only the seeds come into
// force without a restart.
type reloader struct {
	hangup  chan os.Signal
	path    string
	clock   clock
	logger  *zfevent.Logger
	text    []byte
	seeds   []netip.AddrPort
	changed []func(seeds []netip.AddrPort)
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

// onSeeds has a function called with seeds that changed.
func (r *reloader) onSeeds(take func(seeds []netip.AddrPort)) {
	r.changed = append(r.changed, take)
}

func startReloader(lifecycle fx.Lifecycle, r *reloader) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StartStopHook(func() { go r.run(ctx) }, cancel))
}

func (r *reloader) run(ctx context.Context) {
	r.text, _ = os.ReadFile(r.path) // It was read a moment ago; else the first look reads it anew.
	for {
		look, release := r.clock.After(lookEvery)
		select {
		case <-ctx.Done():
			release()
			return
		case <-r.hangup:
			release()
			r.look(true)
		case <-look:
			r.look(false)
		}
	}
}

// look reads the settings and puts new seeds in force. signalled has it log even
// if nothing changed.
func (r *reloader) look(signalled bool) {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.logger.Entry(zfevent.SettingsRefused).Err(errors.Wrap(err, "read settings")).Msg("")
		return
	}
	same := bytes.Equal(text, r.text)
	if same && !signalled {
		return
	}
	r.text = text
	settings, err := zfdocument.ParseSettings(text, filepath.Dir(r.path))
	if err != nil {
		r.logger.Entry(zfevent.SettingsRefused).Err(err).Msg("")
		return
	}
	moved := !slices.Equal(settings.Platform.Seeds, r.seeds)
	r.logger.Entry(zfevent.SettingsReloaded).Bool("signal", signalled).Bool("same", same).Bool("seeds", moved).Msg("")
	if !moved {
		return
	}
	r.seeds = settings.Platform.Seeds
	for _, take := range r.changed {
		take(r.seeds)
	}
}
