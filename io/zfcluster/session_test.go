package zfcluster_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfevent"
	"zinniafront/lab/zfassert"
)

// manyServers is a number of backend servers that takes three pages.
const manyServers = 1200

// changingInstance answers fetches from a table of backend servers, which changes after each
// of its first replies.
type changingInstance struct {
	fakeInstance
	mutex sync.Mutex
	data  *testFeedData
	feed  *zfcluster.Feed
	// changes are made one after each reply. done is closed when a fetch comes in
	// that begins after the reply with the last change.
	changes []func(*changingInstance)
	done    chan struct{}
	after   int
}

// Fetch implements zfcluster.Handler.
func (i *changingInstance) Fetch(args zfcluster.FetchArgs) (zfcluster.FetchReply, error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	reply := make(chan zfcluster.FetchReply, 1)
	i.feed.AddFetch(args, reply, start)
	i.feed.AnswerFetches(start.Add(time.Second)) // No fetch is held back as long.
	if len(i.changes) > 0 {
		i.changes[0](i)
		i.changes = i.changes[1:]
	} else if i.after++; i.after == 3 {
		close(i.done)
	}
	return <-reply, nil
}

// drain has the n-th backend server announce that it drains.
func drain(n int) func(*changingInstance) {
	return func(i *changingInstance) {
		a := i.data.registry.Find(manyName(n)).Announcement
		a.Sequence += manyServers
		a.State = zf.ServerDraining
		i.data.registry.Announce(a, start)
	}
}

// unchanged leaves the table as it is.
func unchanged(*changingInstance) {}

// restart has another process take over the address, with a feed of its own.
func restart(i *changingInstance) {
	i.feed = zfcluster.NewFeed(zfcluster.FeedConfig{
		Source: 8,
		Data:   i.data,
	})
}

// all makes several changes.
func all(changes ...func(*changingInstance)) func(*changingInstance) {
	return func(i *changingInstance) {
		for _, change := range changes {
			change(i)
		}
	}
}

// fetchAll runs a subscriber against an instance whose table changes after each reply, until
// it has fetched all changes. It returns the subscriber's table and the instance's.
func fetchAll(t testing.TB, changes ...func(*changingInstance)) (got, want *zfregistry.Table) {
	t.Helper()
	data := newTestFeedData()
	announceMany(data, manyServers)
	i := &changingInstance{
		data:    data,
		feed:    newFeed(data),
		changes: changes,
		done:    make(chan struct{}),
	}
	address := freeAddress(t)
	server, err := zfcluster.Listen(zfcluster.ServerConfig{
		Address: address,
		Handler: i,
	})
	zfassert.NoError(t, err)
	go server.Run()
	defer server.Close()
	config := zfregistry.DefaultConfig(2, time.Second)
	config.Subscriber = true
	table := zfregistry.New(config)
	ctx, cancel := context.WithCancel(t.Context())
	subscriber := zfcluster.NewSubscriber(zfcluster.SubscriberConfig{
		Instance: "e1",
		Centre:   "one",
		Seeds:    []netip.AddrPort{address},
		Clock:    zfclock.System{},
		Logger: zfevent.New(zfevent.Config{
			Output: io.Discard,
			Level:  "error",
		}),
		FetchTime: metrics.NilTimer{},
		FetchState: func(withDigests bool) zfcluster.FetchState {
			if !withDigests {
				return zfcluster.FetchState{}
			}
			return zfcluster.FetchState{
				Digests: table.Digests(),
			}
		},
		ApplyReply: func(reply zfcluster.FetchReply) []zfregistry.Update {
			table.Merge(reply.Changes, start)
			return nil
		},
	})
	stopped := make(chan struct{})
	go func() {
		subscriber.Run(ctx)
		close(stopped)
	}()
	<-i.done
	cancel()
	<-stopped
	return table, data.registry
}

// TestSessionStart guards against backend servers that change between two pages of the first
// table and keep their old state at the subscriber.
func TestSessionStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes []func(*changingInstance)
	}{
		{
			name: "nothing changes",
		},
		{
			name:    "some drain after the first page",
			changes: []func(*changingInstance){all(drain(1), drain(600), drain(1199))},
		},
		{
			name:    "some drain after the second page",
			changes: []func(*changingInstance){unchanged, all(drain(1), drain(600), drain(1199))},
		},
		{
			name:    "another process takes over the address after the first page",
			changes: []func(*changingInstance){all(restart, drain(1), drain(600), drain(1199))},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, want := fetchAll(t, c.changes...)
			zfassert.Equal(t, "digests", got.Digests(), want.Digests())
		})
	}
}
