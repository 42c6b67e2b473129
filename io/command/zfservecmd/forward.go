package zfservecmd

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/fx"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfhold"
	"zinniafront/core/zfload"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfroom"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfforwardloop"
	"zinniafront/io/zfmeter"
	"zinniafront/io/zftraffic"
	"zinniafront/platform"
)

const (
	// flowSeed seeds the hash that spreads flows over backend servers. All instances
	// use the same seed, so that each sends retransmissions of an opening packet to
	// the same backend server.
	flowSeed = 0x7a66
	// lameDuckTime is how long an instance keeps forwarding after it stops being
	// ready. In that time two failed checks, half a second apart, remove it from the
	// rotation, and packets in flight arrive.
	lameDuckTime = 1250 * time.Millisecond
	// removalTime is the time that two failed checks take to remove an instance from
	// the rotation. checkSlack is how much earlier than necessary the wait for a stop
	// permit ends, in case a check is late.
	removalTime = time.Second
	checkSlack  = 500 * time.Millisecond
	// graceMargin is how long before the stop grace ends the platform requires an
	// instance to be out of the rotation: with a grace of 6 s, after 4 s.
	graceMargin = 2 * time.Second
)

// maxPermitWait returns how long an instance may wait for its stop permit if a planned
// stop may take at most stopTimeout.
func maxPermitWait(stopTimeout time.Duration, platform zfdocument.Platform) time.Duration {
	if platform.StopGrace > 0 {
		stopTimeout = min(stopTimeout, platform.StopGrace)
	}
	wait := stopTimeout - graceMargin - removalTime - checkSlack
	if platform.DrainTimeout > 0 {
		wait = min(wait, platform.DrainTimeout-checkSlack)
	}
	return max(wait, 0)
}

// forwardModule provides the forward role: an entry instance that fetches its tables
// from instances of the keeper role and forwards packets by their cookies.
func forwardModule() fx.Option {
	return fx.Module("forward",
		fx.Provide(newForwardLoop, newForwardTraffic, newReadyServer, newForwardServer),
		fx.Invoke(startForward),
	)
}

// costOf returns the cost by which a placement compares backend servers.
func costOf(placement zfdocument.Placement) zf.Cost {
	if placement == zfdocument.PlacementWait {
		return zfroom.Cost{}
	}
	return zfload.Cost{}
}

// learnsRoom reports whether a setting needs to know what backend servers can take.
func learnsRoom(load zfdocument.Load) bool {
	return load.Placement == zfdocument.PlacementWait || load.Admission || load.Leaving
}

func newForwardLoop(settings *zfdocument.Settings, reader bundleReader, source source, f *zfcmd.Factory, counters *zfcounter.Set, logger *zfevent.Logger) *zfforwardloop.Loop {
	config := zfcookie.Config{
		Seed:     flowSeed,
		Cost:     costOf(settings.Load.Placement),
		Learn:    learnsRoom(settings.Load),
		Openings: settings.Load.Placement == zfdocument.PlacementWait,
	}
	var admission *zfadmission.Callers
	if settings.Load.Admission {
		admission = zfadmission.NewCallers(zfadmission.Config{
			Seed: uint64(source),
		})
		config.Admission = admission
	}
	mapper := zfcookie.New(config)
	world := zfforward.New(zfforward.Config{
		Self:     settings.Name,
		Centre:   settings.Centre,
		Mapper:   mapper,
		Observer: mapper,
		Registry: zfregistry.DefaultConfig(zfregistry.Source(source), settings.Platform.HeartbeatInterval),
		Leaving:  settings.Load.Leaving,
	})
	return zfforwardloop.New(zfforwardloop.Config{
		World:    world,
		Source:   uint64(source),
		Decode:   reader.decode,
		Clock:    f.Clock,
		Logger:   logger,
		Meter:    newMeter(settings, counters),
		Counters: counters,

		Admission: admission,
	})
}

// newMeter returns the meter of the resources in the settings, or nil if there are none.
func newMeter(settings *zfdocument.Settings, counters *zfcounter.Set) zf.Meter {
	if settings.Resources == (zfdocument.Resources{}) {
		return nil
	}
	return zfmeter.New(zfmeter.Config{
		Limits:        settings.Resources,
		Link:          counters.Link,
		ProcessorTime: zfmeter.ProcessorTime,
		Memory:        zfmeter.Memory,
	})
}

func newForwardTraffic(settings *zfdocument.Settings, loop *zfforwardloop.Loop, f *zfcmd.Factory, counters *zfcounter.Set, logger *zfevent.Logger) (*zftraffic.Sockets, error) {
	decisionLog := zftraffic.NewDecisionLog(logger, loop.StateAge)
	loop.OnStrainChanged(decisionLog.SetStrain)
	return zftraffic.Listen(zftraffic.Config{
		Traffic:    settings.Listen.Traffic,
		Threads:    settings.Threads,
		Framing:    func() zf.Framing { return platform.NewFraming(settings.Listen.Traffic) },
		Mapper:     loop.Mapper(),
		Held:       heldPackets(settings.Load),
		Clock:      f.Clock,
		Counters:   counters,
		Admit:      loop.Admit,
		OnDecision: decisionLog.Log,
	})
}

// heldPackets returns the table of packets that arrive before an instance knows its tables,
// or nil if they are dropped.
func heldPackets(load zfdocument.Load) *zfhold.Table {
	if !load.Hold {
		return nil
	}
	return zfhold.New()
}

func newForwardServer(settings *zfdocument.Settings, loop *zfforwardloop.Loop) (*zfcluster.Server, error) {
	return zfcluster.Listen(zfcluster.ServerConfig{
		Address: settings.Listen.Cluster,
		Handler: loop,
	})
}

// readyServer serves the platform's readiness check on Listen.Ready.
type readyServer struct{ *platform.Server }

func newReadyServer(settings *zfdocument.Settings, loop *zfforwardloop.Loop) (readyServer, error) {
	server, err := platform.ListenReady(settings.Listen.Ready, loop.Ready)
	return readyServer{
		Server: server,
	}, err
}

// forwardParams holds the dependencies of startForward, which start and stop together.
type forwardParams struct {
	fx.In

	Settings    *zfdocument.Settings
	StopTimeout stopTimeout
	Factory     *zfcmd.Factory
	Logger      *zfevent.Logger
	Counters    *zfcounter.Set
	Reloader    *reloader
	Loop        *zfforwardloop.Loop
	Traffic     *zftraffic.Sockets
	Server      *zfcluster.Server
	Ready       readyServer
}

func startForward(lifecycle fx.Lifecycle, p forwardParams) {
	ctx, cancel := context.WithCancel(context.Background())
	subscriber := zfcluster.NewSubscriber(zfcluster.SubscriberConfig{
		Instance:   p.Settings.Name,
		Centre:     p.Settings.Centre,
		Size:       p.Settings.Resources.Processor,
		Address:    p.Settings.Listen.Advertise,
		Seeds:      zfcluster.PeerAddresses(p.Settings.Platform.Seeds, p.Settings.Listen.Advertise),
		Clock:      p.Factory.Clock,
		Logger:     p.Logger,
		FetchTime:  p.Counters.FetchTime,
		Link:       p.Counters.Link,
		FetchState: p.Loop.FetchState,
		ApplyReply: p.Loop.ApplyReply,
	})
	p.Loop.OnFlowsEnded(p.Traffic.SendResets)
	p.Loop.OnRoutable(p.Traffic.ReleaseHeld)
	p.Loop.OnControlOffered(subscriber.Offer)
	p.Reloader.onSeedsChanged(func(seeds []netip.AddrPort) {
		subscriber.SetSeeds(zfcluster.PeerAddresses(seeds, p.Settings.Listen.Advertise))
	})
	lifecycle.Append(fx.StartStopHook(
		func() {
			go p.Loop.Run(ctx)
			go subscriber.Run(ctx)
			go p.Server.Run()
			go p.Ready.Run()
			p.Traffic.Start()
		},
		func() error {
			p.Loop.Stop(maxPermitWait(time.Duration(p.StopTimeout), p.Settings.Platform))
			lameDuckEnd, release := p.Factory.Clock.After(lameDuckTime)
			defer release()
			<-lameDuckEnd
			cancel()
			p.Traffic.Close()
			err := p.Server.Close()
			if closeErr := p.Ready.Close(); err == nil {
				err = closeErr
			}
			return err
		},
	))
}
