package zfservecmd

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/fx"

	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfdeparture"
	"zinniafront/core/zfoutlier"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcontrollerloop"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfstore"
	"zinniafront/platform"
)

// The files in the data folder: the replicated record, the table of backend
// servers, and the addresses of the subscribed entry instances.
const (
	recordFile      = "record"
	serversFile     = "servers"
	subscribersFile = "followers"
)

// controllerModule provides the keeper role: a control instance that replicates the
// control state and the table of backend servers (zfcontrollerloop), and serves backend
// servers, operators and instances of the forward role.
func controllerModule() fx.Option {
	return fx.Module("keeper",
		fx.Provide(openFolder, newTransport, newControllerLoop, newControllerServer, newCallServer),
		fx.Invoke(startController),
	)
}

func newTransport(f *zfcmd.Factory) *zfcluster.Transport { return zfcluster.NewTransport(f.Clock) }

// controllerLoopParams holds the dependencies of newControllerLoop.
type controllerLoopParams struct {
	fx.In

	Settings  *zfdocument.Settings
	Folder    *zfstore.Folder
	Source    source
	Bundles   bundleReader
	Transport *zfcluster.Transport
	Factory   *zfcmd.Factory
	Counters  *zfcounter.Set
	Logger    *zfevent.Logger
}

func newControllerLoop(p controllerLoopParams) (*zfcontrollerloop.Loop, error) {
	store := p.Folder.File(recordFile)
	record, found, err := zfcontrollerloop.LoadRecord(store)
	if err != nil {
		return nil, err
	}
	self := zfquorum.Node{
		ID:      record.Self,
		Address: p.Settings.Listen.Advertise,
		Centre:  p.Settings.Centre,
	}
	seeds := zfcluster.PeerAddresses(p.Settings.Platform.Seeds, self.Address)
	if !found {
		self.ID = zfquorum.ID(p.Source)
		record, self.ID = initialRecord(p.Settings.Platform.FirstStart, self, seeds)
	}
	p.Logger.Entry(zfevent.RecordLoaded).Bool("known", found).Uint64("id", uint64(self.ID)).
		Uint64("term", record.Term).Uint64("index", record.Entry.Index).Msg("")
	world := zfcontroller.New(zfcontroller.Config{
		Quorum: zfquorum.Config{
			Self:        self,
			Random:      rand.New(rand.NewPCG(uint64(p.Source), uint64(self.ID))),
			Record:      record,
			Seeds:       seeds,
			VoterTarget: 2*p.Settings.Platform.MaxDiskLosses + 1,
		},
		Registry: zfregistry.DefaultConfig(zfregistry.Source(p.Source), p.Settings.Platform.HeartbeatInterval),
		Outlier:  zfoutlier.DefaultConfig(),
		Decode:   p.Bundles.decode,

		Departure: departureConfig(p.Settings, p.Source),
		Admission: p.Settings.Load.Admission,
	}, p.Factory.Clock.Now())
	loop := zfcontrollerloop.New(zfcontrollerloop.Config{
		World:       world,
		Source:      uint64(p.Source),
		RecordStore: store,
		ServerStore: p.Folder.File(serversFile),
		Transport:   p.Transport,
		Decode:      p.Bundles.decode,
		Digest:      p.Bundles.digest,
		Clock:       p.Factory.Clock,
		Counters:    p.Counters,
		Logger:      p.Logger,
		CountRoom:   learnsRoom(p.Settings.Load),

		SubscriberStore: p.Folder.File(subscribersFile),
	})
	if err := loop.LoadServers(p.Factory.Clock.Now()); err != nil {
		return nil, err
	}
	return loop, loop.LoadSubscribers()
}

// assumedDelay is the assumed round trip to a data centre until it is measured.
const assumedDelay = 10 * time.Millisecond

// departureConfig returns nil if the settings ask for no decisions by the rooms of all data
// centres.
func departureConfig(settings *zfdocument.Settings, source source) *zfdeparture.Config {
	if !settings.Load.Leaving && !settings.Load.Admission {
		return nil
	}
	return &zfdeparture.Config{
		Self:     settings.Centre,
		Source:   uint64(source),
		Leave:    settings.Load.Leaving,
		Kilobyte: settings.Load.Kilobyte,
		Delay:    assumedDelay,
	}
}

// initialRecord returns the record and the ID of an instance with a new disk. On the
// first start of the whole system, the instances at the seeds are the voters. Their
// IDs are hashes of their addresses, so that all instances derive the same IDs.
func initialRecord(firstStart bool, self zfquorum.Node, seeds []netip.AddrPort) (zfquorum.Record, zfquorum.ID) {
	record := zfquorum.Record{}
	if !firstStart {
		return record, self.ID
	}
	for _, seed := range seeds {
		node := zfquorum.Node{
			ID:      zfquorum.ID(xxh3.HashString(seed.String())),
			Address: seed,
		}
		if seed == self.Address {
			self.ID = node.ID
		}
		record.Entry.Voters = append(record.Entry.Voters, node)
	}
	return record, self.ID
}

func newControllerServer(settings *zfdocument.Settings, loop *zfcontrollerloop.Loop) (*zfcluster.Server, error) {
	return zfcluster.Listen(zfcluster.ServerConfig{
		Address: settings.Listen.Cluster,
		Handler: loop,
	})
}

// callServer serves the HTTP calls of backend servers and operators on Listen.Calls.
type callServer struct{ *platform.Server }

func newCallServer(settings *zfdocument.Settings, loop *zfcontrollerloop.Loop, decoder platform.Decoder, logger *zfevent.Logger) (callServer, error) {
	server, err := platform.ListenControl(platform.ControlConfig{
		Address: settings.Listen.Calls,
		Handler: loop,
		Decoder: decoder,
		Logger:  logger,
	})
	return callServer{
		Server: server,
	}, err
}

// controllerParams holds the dependencies of startController, which start and stop
// together.
type controllerParams struct {
	fx.In

	Settings  *zfdocument.Settings
	Factory   *zfcmd.Factory
	Reloader  *reloader
	Loop      *zfcontrollerloop.Loop
	Transport *zfcluster.Transport
	Server    *zfcluster.Server
	Calls     callServer
}

func startController(lifecycle fx.Lifecycle, p controllerParams) {
	ctx, cancel := context.WithCancel(context.Background())
	poller := zfcontrollerloop.NewPeerPoller(p.Loop, p.Settings.Name, p.Factory.Clock)
	p.Reloader.onSeedsChanged(func(seeds []netip.AddrPort) {
		p.Loop.SetSeeds(zfcluster.PeerAddresses(seeds, p.Settings.Listen.Advertise))
	})
	lifecycle.Append(fx.StartStopHook(
		func() {
			go p.Loop.Run(ctx)
			go p.Server.Run()
			go p.Calls.Run()
			go poller.Run()
		},
		func() error {
			err := p.Calls.Close()
			p.Loop.PrepareStop()
			cancel()
			p.Transport.Close()
			if closeErr := p.Server.Close(); err == nil {
				err = closeErr
			}
			return err
		},
	))
}
