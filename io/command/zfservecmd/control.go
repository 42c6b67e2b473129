package zfservecmd

import (
	"context"

	"go.uber.org/fx"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfadmin"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfkey"
	"zinniafront/io/zfoperator"
	"zinniafront/io/zfstore"
)

// stateFile is the file of the control state in the data folder.
const stateFile = "control.json"

// controlModule provides the control role: a control instance that stores the control
// state on its own disk only, and serves operators and instances of the entry role.
func controlModule() fx.Option {
	return fx.Module("control",
		fx.Provide(openFolder, newOperatorServer),
		fx.Invoke(func(*zfoperator.Server) {}),
	)
}

func openFolder(lifecycle fx.Lifecycle, settings *zfdocument.Settings) (*zfstore.Folder, error) {
	folder, err := zfstore.Open(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(folder.Close))
	return folder, nil
}

func newOperatorServer(lifecycle fx.Lifecycle, settings *zfdocument.Settings, folder *zfstore.Folder, f *zfcmd.Factory, logger *zfevent.Logger) (*zfoperator.Server, error) {
	trusted, err := zfkey.ReadTrustedKeys(settings.Keys.Trusted)
	if err != nil {
		return nil, err
	}
	server, err := zfoperator.Listen(zfoperator.ServerConfig{
		Address:  settings.Listen.Operator,
		Store:    folder.File(stateFile),
		Verifier: trusted,
		Clock:    f.Clock,
		Logger:   logger,
	})
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StartStopHook(func() { go server.Run() }, server.Close))
	return server, nil
}

// newDefaultAdmin returns the admin server of a process without the entry role. It always
// reports ready; the readiness of the forward role is served by readyServer.
func newDefaultAdmin(settings *zfdocument.Settings, counters *zfcounter.Set) (*zfadmin.Server, error) {
	return zfadmin.Listen(zfadmin.Config{
		Address:  settings.Listen.Admin,
		Registry: counters.Registry,
		Ready:    func() bool { return true },
		State: func(context.Context) (any, error) {
			return struct {
				Name  string            `json:"name"`
				Roles []zfdocument.Role `json:"roles"`
			}{
				Name:  string(settings.Name),
				Roles: settings.Roles,
			}, nil
		},
	})
}

func startAdmin(lifecycle fx.Lifecycle, server *zfadmin.Server) {
	lifecycle.Append(fx.StartStopHook(func() { go server.Run() }, server.Close))
}
