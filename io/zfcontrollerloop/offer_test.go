package zfcontrollerloop_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"zinniafront/core/zfcontroller"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfcontrollerloop"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfevent"
	"zinniafront/lab/zfassert"
)

// memory is a store whose saves can be waited for.
type memory struct {
	text  []byte
	saves chan []byte
}

func (m *memory) Load() ([]byte, error) { return m.text, nil }

func (m *memory) Save(document []byte) error {
	select {
	case m.saves <- document:
	default: // Enough has been seen.
	}
	return nil
}

// hasty is a clock whose waits take a thousandth of their time.
type hasty struct {
	mutex sync.Mutex
	ahead time.Duration
}

func (h *hasty) Now() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Add(h.ahead)
}

func (h *hasty) After(d time.Duration) (<-chan time.Time, func()) {
	fired := make(chan time.Time, 1)
	timer := time.AfterFunc(d/1000, func() {
		h.mutex.Lock()
		h.ahead += d
		h.mutex.Unlock()
		fired <- time.Time{}
	})
	return fired, func() { timer.Stop() }
}

// entry is an entry instance that notes what it is offered.
type entry struct{ offered chan netip.AddrPort }

func (entry) Deliver([]zfquorum.Message) {}

func (entry) Ask(zfcluster.AskArgs) (zfcluster.AskReply, error) { return zfcluster.AskReply{}, nil }

func (entry) Fetch(zfcluster.FetchArgs) (zfcluster.FetchReply, error) {
	return zfcluster.FetchReply{}, nil
}

func (e entry) Offer(address netip.AddrPort) { e.offered <- address }

var (
	start = time.Unix(1_700_000_000, 0)
	self  = zfquorum.Node{
		ID:      1,
		Address: netip.MustParseAddrPort("127.0.0.1:7000"),
		Centre:  "one",
	}
)

// newLoop returns the loop of a control instance that is alone.
func newLoop(followers *memory) *zfcontrollerloop.Loop {
	clock := &hasty{}
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
		}, start),
		Source:          1,
		RecordStore:     &memory{},
		ServerStore:     &memory{},
		SubscriberStore: followers,
		Transport:       zfcluster.NewTransport(zfclock.System{}),
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
func serve(t testing.TB) (netip.AddrPort, entry) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	zfassert.NoError(t, listener.Close())
	e := entry{
		offered: make(chan netip.AddrPort, 1),
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
	t.Run("those that followed before hear of the start", func(t *testing.T) {
		address, e := serve(t)
		var text bytes.Buffer
		zfassert.NoError(t, gob.NewEncoder(&text).Encode([]netip.AddrPort{address}))
		loop := newLoop(&memory{
			text: text.Bytes(),
		})
		zfassert.NoError(t, loop.LoadSubscribers())
		run(t, loop)
		zfassert.Equal(t, "address", <-e.offered, self.Address)
	})
	t.Run("those that follow are saved", func(t *testing.T) {
		followers := &memory{
			saves: make(chan []byte, 1),
		}
		loop := newLoop(followers)
		zfassert.NoError(t, loop.LoadSubscribers())
		run(t, loop)
		follower := netip.MustParseAddrPort("10.0.0.1:7000")
		_, err := loop.Fetch(zfcluster.FetchArgs{
			Instance: "e1",
			Centre:   "one",
			Address:  follower,
		})
		zfassert.NoError(t, err)
		var saved []netip.AddrPort
		zfassert.NoError(t, gob.NewDecoder(bytes.NewReader(<-followers.saves)).Decode(&saved))
		zfassert.Equal(t, "followers", saved, []netip.AddrPort{follower})
	})
	t.Run("damaged addresses are an error", func(t *testing.T) {
		loop := newLoop(&memory{
			text: []byte("damaged"),
		})
		zfassert.True(t, "an error", loop.LoadSubscribers() != nil)
	})
}
