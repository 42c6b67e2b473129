package zfcontrollerloop_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcontrollerloop"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
	"zinniafront/lab/zfassert"
)

// memoryStore is a store in memory whose saves tests can wait for.
type memoryStore struct {
	text  []byte
	saves chan []byte
}

func (m *memoryStore) Load() ([]byte, error) { return m.text, nil }

func (m *memoryStore) Save(document []byte) error {
	select {
	case m.saves <- document:
	default: // Saves beyond the buffer are dropped.
	}
	return nil
}

// fastClock is a clock whose timers fire after a thousandth of their duration and then
// advance the clock by the whole of it.
type fastClock struct {
	mutex sync.Mutex
	ahead time.Duration
}

func (c *fastClock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Now().Add(c.ahead)
}

func (c *fastClock) After(d time.Duration) (<-chan time.Time, func()) {
	fired := make(chan time.Time, 1)
	timer := time.AfterFunc(d/1000, func() {
		c.mutex.Lock()
		c.ahead += d
		c.mutex.Unlock()
		fired <- time.Time{}
	})
	return fired, func() { timer.Stop() }
}

// fakeEntry is an entry instance that records the addresses offered to it.
type fakeEntry struct {
	offered chan netip.AddrPort
	// centre is the only data centre that it explains flows of.
	centre zf.CentreName
}

func (fakeEntry) Deliver([]zfquorum.Message) {}

func (fakeEntry) Ask(zfcluster.AskArgs) (zfcluster.AskReply, error) { return zfcluster.AskReply{}, nil }

func (fakeEntry) Fetch(zfcluster.FetchArgs) (zfcluster.FetchReply, error) {
	return zfcluster.FetchReply{}, nil
}

// Explain implements zfcluster.Handler.
func (e fakeEntry) Explain(args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	switch {
	case args.All:
		return zfcluster.ExplainReply{}, errors.New("only one")
	case args.Centre != e.centre:
		return zfcluster.ExplainReply{}, nil
	}
	return zfcluster.ExplainReply{
		Explanations: []zf.Explanation{{
			Flow: args.Flow,
		}},
	}, nil
}

func (e fakeEntry) Offer(address netip.AddrPort) { e.offered <- address }

var (
	start = time.Unix(1_700_000_000, 0)
	self  = zfquorum.Node{
		ID:      1,
		Address: netip.MustParseAddrPort("127.0.0.1:7000"),
		Centre:  "one",
	}
)

// decodeVersion returns a bundle whose version is the document.
func decodeVersion(compressed []byte) (*zfbundle.Bundle, error) {
	document, err := zfdocument.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	version, err := strconv.ParseUint(string(document), 10, 64)
	return &zfbundle.Bundle{
		Version: version,
		Centres: []zfbundle.Centre{{
			Name: "one",
		}},
	}, err
}

// newLoop returns the loop of a control instance without peers.
func newLoop(records, subscribers zf.Store) *zfcontrollerloop.Loop {
	return newLoopWith(&fastClock{}, records, subscribers)
}

func newLoopWith(clock zf.Clock, records, subscribers zf.Store) *zfcontrollerloop.Loop {
	return zfcontrollerloop.New(zfcontrollerloop.Config{
		World: zfcontroller.New(zfcontroller.Config{
			Quorum: zfquorum.Config{
				Self:        self,
				Random:      rand.New(rand.NewPCG(1, 1)),
				VoterTarget: 1,
				Record: zfquorum.Record{
					Entry: zfquorum.Entry{
						Voters: []zfquorum.Node{self},
					},
				},
			},
			Registry: zfregistry.DefaultConfig(1, time.Second),
			Decode:   decodeVersion,
		}, start),
		Source:          1,
		RecordStore:     records,
		ServerStore:     &memoryStore{},
		SubscriberStore: subscribers,
		Transport:       zfcluster.NewTransport(zfclock.System{}),
		Decode:          decodeVersion,
		Digest:          func(document []byte) string { return string(document) },
		Clock:           clock,
		Counters:        zfcounter.New(),
		Logger: zfevent.New(zfevent.Config{
			Output: io.Discard,
			Level:  "error",
		}),
	})
}

func run(t testing.TB, loop *zfcontrollerloop.Loop) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go loop.Run(ctx)
}

// serve starts an entry instance.
func serve(t testing.TB) (netip.AddrPort, fakeEntry) {
	t.Helper()
	return serveIn(t, "one")
}

// serveIn starts an entry instance of a data centre.
func serveIn(t testing.TB, centre zf.CentreName) (netip.AddrPort, fakeEntry) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	zfassert.NoError(t, listener.Close())
	e := fakeEntry{
		offered: make(chan netip.AddrPort, 1),
		centre:  centre,
	}
	server, err := zfcluster.Listen(zfcluster.ServerConfig{
		Address: address,
		Handler: e,
	})
	zfassert.NoError(t, err)
	go server.Run()
	t.Cleanup(func() { _ = server.Close() })
	return address, e
}

func TestOffer(t *testing.T) {
	t.Run("earlier subscribers are offered the started instance", func(t *testing.T) {
		address, e := serve(t)
		var text bytes.Buffer
		zfassert.NoError(t, gob.NewEncoder(&text).Encode([]netip.AddrPort{address}))
		loop := newLoop(&memoryStore{}, &memoryStore{
			text: text.Bytes(),
		})
		zfassert.NoError(t, loop.LoadSubscribers())
		run(t, loop)
		zfassert.Equal(t, "address", <-e.offered, self.Address)
	})
	t.Run("the addresses of subscribers are saved", func(t *testing.T) {
		subscribers := &memoryStore{
			saves: make(chan []byte, 1),
		}
		loop := newLoop(&memoryStore{}, subscribers)
		zfassert.NoError(t, loop.LoadSubscribers())
		run(t, loop)
		subscriber := netip.MustParseAddrPort("10.0.0.1:7000")
		_, err := loop.Fetch(zfcluster.FetchArgs{
			Instance: "e1",
			Centre:   "one",
			Address:  subscriber,
		})
		zfassert.NoError(t, err)
		var saved []netip.AddrPort
		zfassert.NoError(t, gob.NewDecoder(bytes.NewReader(<-subscribers.saves)).Decode(&saved))
		zfassert.Equal(t, "followers", saved, []netip.AddrPort{subscriber})
	})
	t.Run("corrupt addresses are an error", func(t *testing.T) {
		loop := newLoop(&memoryStore{}, &memoryStore{
			text: []byte("damaged"),
		})
		zfassert.True(t, "an error", loop.LoadSubscribers() != nil)
	})
}
