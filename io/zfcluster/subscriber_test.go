package zfcluster_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfevent"
	"zinniafront/lab/zfassert"
)

// fakeInstance answers each fetch with the same reply and records the calls.
type fakeInstance struct {
	reply zfcluster.FetchReply
	calls chan zfcluster.FetchArgs
	// offered receives the addresses that are passed to Offer.
	offered chan netip.AddrPort
}

func (i *fakeInstance) Deliver([]zfquorum.Message) {}

func (i *fakeInstance) Offer(address netip.AddrPort) { i.offered <- address }

func (i *fakeInstance) Explain(zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	return zfcluster.ExplainReply{}, nil
}

func (i *fakeInstance) Ask(zfcluster.AskArgs) (zfcluster.AskReply, error) {
	return zfcluster.AskReply{}, nil
}

func (i *fakeInstance) Fetch(args zfcluster.FetchArgs) (zfcluster.FetchReply, error) {
	select {
	case i.calls <- args:
	default: // Calls beyond the buffer are not recorded.
	}
	return i.reply, nil
}

func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// serve starts an instance that answers fetches with a reply from source.
func serve(t testing.TB, source uint64, reply zfcluster.FetchReply) (netip.AddrPort, *fakeInstance) {
	t.Helper()
	reply.Source = source
	i := &fakeInstance{
		reply: reply,
		calls: make(chan zfcluster.FetchArgs, 16),

		offered: make(chan netip.AddrPort, 1),
	}
	address := freeAddress(t)
	server, err := zfcluster.Listen(zfcluster.ServerConfig{
		Address: address,
		Handler: i,
	})
	zfassert.NoError(t, err)
	go server.Run()
	t.Cleanup(func() { _ = server.Close() })
	return address, i
}

// instantClock is a clock whose timers fire at once. It sends their durations.
type instantClock chan time.Duration

func (instantClock) Now() time.Time { return time.Unix(0, 0) }

func (c instantClock) After(d time.Duration) (<-chan time.Time, func()) {
	select {
	case c <- d:
	default: // Durations beyond the buffer are dropped.
	}
	over := make(chan time.Time)
	close(over)
	return over, func() {}
}

// subscribe runs a subscriber with seeds and returns the sources of the replies that
// it receives.
func subscribe(t testing.TB, centre zf.CentreName, seeds ...netip.AddrPort) <-chan uint64 {
	t.Helper()
	return subscribeWith(t, zfclock.System{}, nil, centre, seeds...)
}

// subscribeWith is subscribe with a clock, and with rows to send after each reply.
func subscribeWith(t testing.TB, clock zf.Clock, rowsToSend []zfregistry.Update, centre zf.CentreName, seeds ...netip.AddrPort) <-chan uint64 {
	t.Helper()
	subscriber, sources := newSubscriber(clock, rowsToSend, centre, seeds...)
	run(t, subscriber)
	return sources
}

// run runs a subscriber until the test ends.
func run(t testing.TB, subscriber *zfcluster.Subscriber) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go subscriber.Run(ctx)
}

// newSubscriber returns a subscriber, and the sources of the replies that it receives.
func newSubscriber(clock zf.Clock, rowsToSend []zfregistry.Update, centre zf.CentreName, seeds ...netip.AddrPort) (*zfcluster.Subscriber, <-chan uint64) {
	sources := make(chan uint64, 1024)
	subscriber := zfcluster.NewSubscriber(zfcluster.SubscriberConfig{
		Instance: "e1",
		Centre:   centre,
		Seeds:    seeds,
		Clock:    clock,
		Logger: zfevent.New(zfevent.Config{
			Output: io.Discard,
			Level:  "error",
		}),
		FetchTime:  metrics.NilTimer{},
		FetchState: func(bool) zfcluster.FetchState { return zfcluster.FetchState{} },
		ApplyReply: func(reply zfcluster.FetchReply) []zfregistry.Update {
			select {
			case sources <- reply.Source:
			default: // Sources beyond the buffer are dropped.
			}
			return rowsToSend
		},
	})
	return subscriber, sources
}

// assertReaches waits for a reply of a source.
func assertReaches(sources <-chan uint64, want uint64) {
	for <-sources != want {
		continue
	}
}

func TestSubscriber(t *testing.T) {
	t.Run("an instance that doesn't answer is skipped", func(t *testing.T) {
		good, _ := serve(t, 2, zfcluster.FetchReply{})
		assertReaches(subscribe(t, "one", freeAddress(t), good), 2)
	})
	t.Run("a control instance without contact to a majority is left", func(t *testing.T) {
		stale, _ := serve(t, 1, zfcluster.FetchReply{
			Contact: zfcluster.MaxContactAge,
		})
		good, _ := serve(t, 2, zfcluster.FetchReply{})
		assertReaches(subscribe(t, "one", stale, good), 2)
	})
	t.Run("a peer is used if no control instance has contact to a majority", func(t *testing.T) {
		peer, _ := serve(t, 3, zfcluster.FetchReply{})
		stale, _ := serve(t, 1, zfcluster.FetchReply{
			Contact: zfcluster.MaxContactAge,
			Peers:   []netip.AddrPort{peer},
		})
		assertReaches(subscribe(t, "one", stale), 3)
	})
	t.Run("a peer whose contact is stale too is left at once", func(t *testing.T) {
		peer, i := serve(t, 3, zfcluster.FetchReply{
			Contact: zfcluster.MaxContactAge,
		})
		stale, _ := serve(t, 1, zfcluster.FetchReply{
			Contact: zfcluster.MaxContactAge,
			Peers:   []netip.AddrPort{peer},
		})
		assertReaches(subscribe(t, "one", stale), 3)
		for range 2 {
			zfassert.Equal(t, "hold", (<-i.calls).Hold, time.Duration(0))
		}
	})
	t.Run("a control instance of the own data centre is preferred", func(t *testing.T) {
		near, _ := serve(t, 4, zfcluster.FetchReply{})
		far, _ := serve(t, 5, zfcluster.FetchReply{
			Controls: []zfquorum.Node{{
				ID:      1,
				Address: near,
				Centre:  "one",
			}},
		})
		assertReaches(subscribe(t, "one", far), 4)
	})
	t.Run("a started control instance that offers itself is used, though it is no seed", func(t *testing.T) {
		started, i := serve(t, 8, zfcluster.FetchReply{})
		subscriber, sources := newSubscriber(zfclock.System{}, nil, "one", freeAddress(t))
		run(t, subscriber)
		subscriber.Offer(started)
		assertReaches(sources, 8)
		zfassert.True(t, "it was called", len(i.calls) > 0)
	})
	t.Run("an offer is ignored during a session", func(t *testing.T) {
		present, _ := serve(t, 9, zfcluster.FetchReply{})
		started, i := serve(t, 8, zfcluster.FetchReply{})
		subscriber, sources := newSubscriber(zfclock.System{}, nil, "one", present)
		run(t, subscriber)
		assertReaches(sources, 9)
		subscriber.Offer(started)
		assertReaches(sources, 9)
		assertReaches(sources, 9)
		zfassert.Equal(t, "calls", len(i.calls), 0)
	})
	t.Run("a control state that can't be decoded is not fetched again", func(t *testing.T) {
		address, i := serve(t, 7, zfcluster.FetchReply{
			Index: 9,
		})
		sources := subscribe(t, "one", address)
		<-sources
		<-sources
		first, second := <-i.calls, <-i.calls
		zfassert.Equal(t, "first index", first.Index, uint64(0))
		zfassert.Equal(t, "second index", second.Index, uint64(9))
	})
	t.Run("the pause between rounds without a reply starts short and doubles up to its bound", func(t *testing.T) {
		clock := make(instantClock, 6)
		subscribeWith(t, clock, nil, "one", freeAddress(t))
		for _, want := range []time.Duration{25, 50, 100, 200, 200} {
			zfassert.Equal(t, "pause", <-clock, want*time.Millisecond)
		}
	})
	t.Run("the next fetch continues at the cursor of the last reply", func(t *testing.T) {
		address, i := serve(t, 6, zfcluster.FetchReply{
			Changes: zfregistry.Changes{
				Cursor: 17,
			},
		})
		sources := subscribe(t, "one", address)
		<-sources
		<-sources
		first, second := <-i.calls, <-i.calls
		zfassert.Equal(t, "first cursor", first.Cursor, uint64(0))
		zfassert.Equal(t, "second cursor", second.Cursor, uint64(17))
		zfassert.Equal(t, "second source", second.Source, uint64(6))
	})
	t.Run("a session begins with the last page", func(t *testing.T) {
		address, i := serve(t, 6, zfcluster.FetchReply{
			Changes: zfregistry.Changes{
				Cursor: 17,
				More:   true,
				Next:   9,
			},
		})
		sources := subscribe(t, "one", address)
		<-sources
		<-sources
		first, second := <-i.calls, <-i.calls
		zfassert.Equal(t, "bucket of the first fetch", first.Bucket, 0)
		zfassert.Equal(t, "bucket of the second fetch", second.Bucket, 9)
		zfassert.Equal(t, "source of the second fetch", second.Source, uint64(0))
		zfassert.Equal(t, "cursor of the second fetch", second.Cursor, uint64(0))
	})
	t.Run("backend servers that the other instance lacks are sent with the next fetch", func(t *testing.T) {
		address, i := serve(t, 6, zfcluster.FetchReply{})
		sources := subscribeWith(t, zfclock.System{}, []zfregistry.Update{{
			Late: true,
		}}, "one", address)
		<-sources
		<-sources
		first, second := <-i.calls, <-i.calls
		zfassert.Equal(t, "rows of the first fetch", len(first.Rows), 0)
		zfassert.Equal(t, "rows of the second fetch", len(second.Rows), 1)
	})
}

func TestClient(t *testing.T) {
	t.Run("Offer passes the address of a started control instance", func(t *testing.T) {
		address, i := serve(t, 1, zfcluster.FetchReply{})
		client := zfcluster.NewClient(address, zfclock.System{})
		defer client.Close()
		started := netip.MustParseAddrPort("10.0.0.9:7000")
		zfassert.NoError(t, client.Offer(started, time.Minute))
		zfassert.Equal(t, "address", <-i.offered, started)
	})
	t.Run("a call to a silent instance times out", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		zfassert.NoError(t, err)
		defer listener.Close()
		client := zfcluster.NewClient(netip.MustParseAddrPort(listener.Addr().String()), zfclock.System{})
		defer client.Close()
		_, err = client.Fetch(zfcluster.FetchArgs{}, 50*time.Millisecond)
		zfassert.ErrorIs(t, err, zfcluster.ErrUnreachable)
	})
	t.Run("a closed connection is replaced", func(t *testing.T) {
		address, i := serve(t, 1, zfcluster.FetchReply{})
		client := zfcluster.NewClient(address, zfclock.System{})
		_, err := client.Fetch(zfcluster.FetchArgs{}, time.Minute)
		zfassert.NoError(t, err)
		client.Close()
		_, err = client.Fetch(zfcluster.FetchArgs{}, time.Minute)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "calls", len(i.calls), 2)
	})
}
