package zflabcmd

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	zf "zinniafront"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfkey"
	"zinniafront/lab/zfbackend"
	"zinniafront/lab/zfcaller"
	"zinniafront/lab/zffabric"
	"zinniafront/lab/zfreport"
	"zinniafront/lab/zftopology"
)

// signalContext returns a context that SIGTERM or SIGINT cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// FabricOptions are the flags of fabric.
type FabricOptions struct {
	Dir string `name:"dir" required:"" help:"Folder of the run."`

	clock zf.Clock
}

// Run runs the command.
func (o *FabricOptions) Run(f *zfcmd.Factory) error {
	o.clock = f.Clock
	return fabricRun(o)
}

func fabricRun(o *FabricOptions) error {
	topology, err := zftopology.Read(o.Dir)
	if err != nil {
		return err
	}
	fabric, err := zffabric.Listen(topology, o.clock)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	return zftopology.WriteDocument(o.Dir, "fabric.json", fabric.Run(ctx))
}

// BackendOptions are the flags of backend.
type BackendOptions struct {
	Dir       string              `name:"dir" required:"" help:"Folder of the run."`
	Name      string              `name:"name" required:"" help:"Name of the backend server."`
	Cold      bool                `name:"cold" help:"Start cold."`
	LoadFault zfbackend.LoadFault `name:"lie" enum:"none,zero,full,stuck" default:"none" help:"Fault of the reported load: none, zero, full or stuck."`
	LoadLag   time.Duration       `name:"lag" default:"0s" help:"Age of the reported load."`

	clock zf.Clock
}

// Help describes the effect of signals.
func (*BackendOptions) Help() string {
	return "SIGUSR1 makes the backend server drain, SIGUSR2 makes it cold without an announcement, SIGTERM makes it write its statistics and exit."
}

// Run runs the command.
func (o *BackendOptions) Run(f *zfcmd.Factory) error {
	o.clock = f.Clock
	return backendRun(o)
}

func backendRun(o *BackendOptions) error {
	topology, err := zftopology.Read(o.Dir)
	if err != nil {
		return err
	}
	key, err := zfkey.ReadSharedKey(filepath.Join(o.Dir, announceKeyFile))
	if err != nil {
		return err
	}
	state := zf.ServerWarm
	if o.Cold {
		state = zf.ServerCold
	}
	server, err := zfbackend.Listen(zfbackend.Config{
		Topology:  topology,
		Name:      o.Name,
		State:     state,
		LoadFault: o.LoadFault,
		LoadLag:   o.LoadLag,
		Signer:    key,
		Clock:     o.clock,
	})
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	stateSignals := make(chan os.Signal, 4)
	signal.Notify(stateSignals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for received := range stateSignals {
			if received == syscall.SIGUSR1 {
				server.Drain()
			} else {
				server.SetCold()
			}
		}
	}()
	stats, keys := server.Run(ctx)
	return zftopology.WriteDocument(o.Dir, "server-"+o.Name+".json", zfreport.ServerFile{
		Stats: stats,
		Keys:  keys,
	})
}

// CallerOptions are the flags of caller.
type CallerOptions struct {
	Dir          string        `name:"dir" required:"" help:"Folder of the run."`
	Rate         int           `name:"rate" default:"60" help:"Flows opened each second."`
	MeanLifetime time.Duration `name:"life" default:"20s" help:"Mean lifetime of a flow."`
	Requests     int           `name:"requests" default:"40" help:"Requests each second."`

	clock zf.Clock
}

// Run runs the command.
func (o *CallerOptions) Run(f *zfcmd.Factory) error {
	o.clock = f.Clock
	return callerRun(o)
}

func callerRun(o *CallerOptions) error {
	topology, err := zftopology.Read(o.Dir)
	if err != nil {
		return err
	}
	callers, err := zfcaller.Listen(zfcaller.CallersConfig{
		Folder:       o.Dir,
		Topology:     topology,
		Clock:        o.clock,
		FlowRate:     o.Rate,
		MeanLifetime: o.MeanLifetime,
		RequestRate:  o.Requests,
	})
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	return zftopology.WriteDocument(o.Dir, "caller.json", callers.Run(ctx))
}

// CollectOptions are the flags of collect.
type CollectOptions struct {
	Dir    string `name:"dir" required:"" help:"Folder of the run."`
	Prefix string `name:"prefix" enum:"start,end" default:"end" help:"start: before the callers start; end: when they stop."`
}

// Run runs the command.
func (o *CollectOptions) Run(*zfcmd.Factory) error {
	topology, err := zftopology.Read(o.Dir)
	if err != nil {
		return err
	}
	zfreport.Collect(o.Dir, o.Prefix, topology)
	return nil
}

// ReportOptions are the flags of report.
type ReportOptions struct {
	Dir     string        `name:"dir" required:"" help:"Folder of the run."`
	Events  string        `name:"events" help:"Events of the run, separated by commas."`
	Elapsed time.Duration `name:"elapsed" required:"" help:"How long the instances ran."`
	JSON    bool          `name:"json" help:"Print one JSON document."`

	streams zfcmd.Streams
}

// Run runs the command.
func (o *ReportOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return reportRun(o)
}

func reportRun(o *ReportOptions) error {
	topology, err := zftopology.Read(o.Dir)
	if err != nil {
		return err
	}
	report, err := zfreport.Build(zfreport.Config{
		Folder:   o.Dir,
		Topology: topology,
		Events:   strings.FieldsFunc(o.Events, func(r rune) bool { return r == ',' }),
		Elapsed:  o.Elapsed,
	})
	if err != nil {
		return err
	}
	if o.JSON {
		err = o.streams.PrintJSON(report)
	} else {
		o.streams.Printf("%s", report)
	}
	if err == nil && len(report.Promises) > 0 {
		return errPromiseBroken
	}
	return err
}
