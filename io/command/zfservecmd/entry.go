package zfservecmd

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
	"go.uber.org/fx"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfinstance"
	"zinniafront/core/zfmember"
	"zinniafront/core/zfpicker"
	"zinniafront/core/zfslot"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfadmin"
	"zinniafront/io/zfannounce"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfentryloop"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfkey"
	"zinniafront/io/zfoperator"
	"zinniafront/io/zfpacket"
	"zinniafront/io/zfpeer"
	"zinniafront/io/zfproxy"
	"zinniafront/io/zftraffic"
	"zinniafront/io/zfwire"
)

// identity identifies one run of an instance by its name, addresses and incarnation.
type identity struct {
	member zf.MemberView
	start  time.Time
}

func newIdentity(settings *zfdocument.Settings, f *zfcmd.Factory) identity {
	start := f.Clock.Now()
	return identity{
		start: start,
		member: zf.MemberView{
			Name:        settings.Name,
			Centre:      settings.Centre,
			Relay:       settings.Listen.Relay,
			Control:     settings.Listen.Control,
			Incarnation: uint64(start.UnixMilli()),
		},
	}
}

// instanceKeys holds the keys of an instance of the entry role: the public keys of
// operators, the key shared by all instances of this role and the key shared with the
// backend servers.
type instanceKeys struct {
	trusted  *zfkey.TrustedKeys
	peers    zfkey.SharedKey
	announce zfkey.SharedKey
}

func readKeys(settings *zfdocument.Settings) (instanceKeys, error) {
	trusted, err := zfkey.ReadTrustedKeys(settings.Keys.Trusted)
	if err != nil {
		return instanceKeys{}, err
	}
	peers, err := zfkey.ReadSharedKey(settings.Keys.Peers)
	if err != nil {
		return instanceKeys{}, err
	}
	announce, err := zfkey.ReadSharedKey(settings.Keys.Announce)
	return instanceKeys{
		trusted:  trusted,
		peers:    peers,
		announce: announce,
	}, err
}

// sharedState is the part of the control goroutine's state that other goroutines read.
type sharedState struct {
	ready  atomic.Bool
	bundle atomic.Pointer[zfbundle.Bundle]
}

func newSharedState() *sharedState { return &sharedState{} }

func newRandom(id identity) zf.Random {
	return rand.New(rand.NewPCG(id.member.Incarnation, xxh3.HashString(string(id.member.Name))))
}

func newMapper(k instanceKeys, id identity) zf.Mapper {
	seed := xxh3.Hash(append([]byte("flows "), k.peers...))
	return zfslot.New(zfslot.DefaultConfig(seed, id.start))
}

func newWorld(settings *zfdocument.Settings, id identity, mapper zf.Mapper, random zf.Random) *zfinstance.World {
	return zfinstance.New(zfinstance.Config{
		Member: zfmember.DefaultConfig(id.member, settings.Peers),
		Mapper: mapper,
		Picker: zfpicker.TwoChoices{},
		Random: random,
	})
}

// entryModule provides the entry role: an entry instance that replicates its tables with
// other instances of this role and forwards packets and HTTP requests.
func entryModule() fx.Option {
	return fx.Module("entry",
		fx.Provide(readKeys, newSharedState, newRandom, newMapper, newWorld, newPeerMessenger, newEntryLoop, newEntryTraffic,
			newAnnouncementListener, newProxy, newEntryAdmin),
		fx.Invoke(startEntry, startAdmin),
	)
}

// peerMessenger connects the control loop with the socket for messages between
// instances. The socket is created first; messages received before newEntryLoop
// sets the handler are dropped.
type peerMessenger struct {
	socket  *zfpeer.Socket
	handler atomic.Pointer[func(zf.Envelope)]
}

// Send implements zfentryloop.Messenger.
func (p *peerMessenger) Send(envelopes []zf.Envelope) { p.socket.Send(envelopes) }

func newPeerMessenger(settings *zfdocument.Settings, k instanceKeys, counters *zfcounter.Set) (*peerMessenger, error) {
	codec, err := zfwire.New(zfwire.Config{
		Key:  k.peers,
		Self: settings.Name,
	})
	if err != nil {
		return nil, err
	}
	p := &peerMessenger{}
	p.socket, err = zfpeer.Listen(zfpeer.Config{
		Address:  settings.Listen.Control,
		Codec:    codec,
		Counters: counters,
		OnMessage: func(envelope zf.Envelope) {
			if handler := p.handler.Load(); handler != nil {
				(*handler)(envelope)
			}
		},
	})
	return p, err
}

func newEntryLoop(world *zfinstance.World, p *peerMessenger, f *zfcmd.Factory, counters *zfcounter.Set, logger *zfevent.Logger, state *sharedState) *zfentryloop.Loop {
	loop := zfentryloop.New(zfentryloop.Config{
		World:     world,
		Messenger: p,
		Clock:     f.Clock,
		Counters:  counters,
		Logger:    logger,
		Ready:     &state.ready,
	})
	handler := loop.Receive
	p.handler.Store(&handler)
	return loop
}

func newEntryTraffic(settings *zfdocument.Settings, mapper zf.Mapper, f *zfcmd.Factory, counters *zfcounter.Set) (*zftraffic.Sockets, error) {
	return zftraffic.Listen(zftraffic.Config{
		Traffic:  settings.Listen.Traffic,
		Relay:    settings.Listen.Relay,
		Threads:  settings.Threads,
		Framing:  func() zf.Framing { return zfpacket.NewDecoder() },
		Mapper:   mapper,
		Clock:    f.Clock,
		Counters: counters,
	})
}

func newAnnouncementListener(settings *zfdocument.Settings, k instanceKeys, loop *zfentryloop.Loop, f *zfcmd.Factory, counters *zfcounter.Set) (*zfannounce.Listener, error) {
	return zfannounce.Listen(zfannounce.ListenerConfig{
		Address: settings.Listen.Announce,
		Decoder: zfannounce.NewDecoder(zfannounce.DecoderConfig{
			Verifier: k.announce,
			Clock:    f.Clock,
		}),
		Counters:       counters,
		OnAnnouncement: loop.Announce,
	})
}

func newProxy(settings *zfdocument.Settings, id identity, loop *zfentryloop.Loop, f *zfcmd.Factory, counters *zfcounter.Set, logger *zfevent.Logger, state *sharedState) (*zfproxy.Proxy, error) {
	return zfproxy.Listen(zfproxy.Config{
		Address:     settings.Listen.Front,
		Instance:    settings.Name,
		Incarnation: id.member.Incarnation,
		Loop:        loop,
		Bundle:      state.bundle.Load,
		Clock:       f.Clock,
		Counters:    counters,
		Logger:      logger,
	})
}

func newEntryAdmin(settings *zfdocument.Settings, counters *zfcounter.Set, loop *zfentryloop.Loop, state *sharedState) (*zfadmin.Server, error) {
	return zfadmin.Listen(zfadmin.Config{
		Address:  settings.Listen.Admin,
		Registry: counters.Registry,
		Ready:    state.ready.Load,
		State: func(ctx context.Context) (any, error) {
			return loop.Report(ctx)
		},
	})
}

// entryParams holds the dependencies of startEntry, which start and stop together.
type entryParams struct {
	fx.In

	Settings      *zfdocument.Settings
	Keys          instanceKeys
	State         *sharedState
	Random        zf.Random
	Factory       *zfcmd.Factory
	Logger        *zfevent.Logger
	Loop          *zfentryloop.Loop
	Messenger     *peerMessenger
	Traffic       *zftraffic.Sockets
	Announcements *zfannounce.Listener
	Proxy         *zfproxy.Proxy
	StopTimeout   stopTimeout
}

func startEntry(lifecycle fx.Lifecycle, p entryParams) {
	ctx, cancel := context.WithCancel(context.Background())
	subscriber := zfoperator.NewSubscriber(zfoperator.SubscriberConfig{
		Instance:  p.Settings.Name,
		Centre:    p.Settings.Centre,
		Addresses: p.Settings.Controls,
		Verifier:  p.Keys.trusted,
		Clock:     p.Factory.Clock,
		Random:    rand.New(rand.NewPCG(p.Random.Uint64(), p.Random.Uint64())),
		Logger:    p.Logger,
		Ready:     p.State.ready.Load,
		ApplyState: func(state zfinstance.State) {
			p.Loop.ApplyState(state)
			p.State.bundle.Store(state.Bundle)
		},
	})
	lifecycle.Append(fx.StartStopHook(
		func() {
			go p.Loop.Run(ctx)
			go p.Messenger.socket.Run()
			go p.Announcements.Run()
			go p.Proxy.Run()
			go subscriber.Run(ctx)
			p.Traffic.Start()
		},
		func(stopCtx context.Context) error {
			defer cancel()
			return p.stop(stopCtx)
		},
	))
}

// stop hands over what the instance owns, then closes its sockets.
func (p entryParams) stop(ctx context.Context) error {
	p.Loop.Stop()
	timeout, release := p.Factory.Clock.After(time.Duration(p.StopTimeout))
	defer release()
	select {
	case <-p.Loop.Stopped():
	case <-timeout:
		p.Logger.Entry(zfevent.StopIncomplete).Msg("")
	case <-ctx.Done():
		p.Logger.Entry(zfevent.StopIncomplete).Msg("")
	}
	err := p.Proxy.Close(ctx)
	p.Traffic.Close()
	for _, closeSocket := range []func() error{p.Announcements.Close, p.Messenger.socket.Close} {
		if closeErr := closeSocket(); err == nil {
			err = closeErr
		}
	}
	return errors.Wrap(err, "stop entry instance")
}
