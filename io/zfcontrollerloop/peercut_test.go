package zfcontrollerloop_test

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
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

const beatInterval = 50 * time.Millisecond

// peerAddress returns a free address.
func peerAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	zfassert.NoError(t, listener.Close())
	return address
}

// runPeer runs the loop of a control instance on the system clock, alone in its quorum, that
// misses heartbeats soon.
func runPeer(t testing.TB, node zfquorum.Node) *zfcontrollerloop.Loop {
	t.Helper()
	loop := zfcontrollerloop.New(zfcontrollerloop.Config{
		World: zfcontroller.New(zfcontroller.Config{
			Quorum: zfquorum.Config{
				Self:        node,
				Random:      rand.New(rand.NewPCG(1, uint64(node.ID))),
				VoterTarget: 1,
				Record: zfquorum.Record{
					Self: node.ID,
					Entry: zfquorum.Entry{
						Voters: []zfquorum.Node{node},
					},
				},
			},
			Registry: zfregistry.Config{
				Self:          zfregistry.Source(node.ID),
				LateTimeout:   4 * beatInterval,
				ReportGrace:   600 * time.Millisecond,
				SilentTimeout: time.Minute,
				GoneTimeout:   time.Hour,
				Retention:     time.Hour,
				MaxRows:       10,
			},
			Decode: decodeVersion,
		}, time.Now()),
		Source:          uint64(node.ID),
		RecordStore:     &memoryStore{},
		ServerStore:     &memoryStore{},
		SubscriberStore: &memoryStore{},
		Transport:       zfcluster.NewTransport(zfclock.System{}),
		Decode:          decodeVersion,
		Digest:          func(document []byte) string { return string(document) },
		Clock:           zfclock.System{},
		Counters:        zfcounter.New(),
		Logger: zfevent.New(zfevent.Config{
			Output: io.Discard,
			Level:  "error",
		}),
	})
	run(t, loop)
	return loop
}

// answer has a loop answer the calls of other instances until the returned function is called.
func answer(t testing.TB, address netip.AddrPort, loop *zfcontrollerloop.Loop) func() {
	t.Helper()
	server, err := zfcluster.Listen(zfcluster.ServerConfig{
		Address: address,
		Handler: loop,
	})
	zfassert.NoError(t, err)
	go server.Run()
	return func() { _ = server.Close() }
}

// isLate reports whether a loop tells entry instances that its only backend server is late.
func isLate(t testing.TB, loop *zfcontrollerloop.Loop) (known, late bool) {
	t.Helper()
	reply, err := loop.Fetch(zfcluster.FetchArgs{})
	zfassert.NoError(t, err)
	for _, update := range reply.Changes.Updates {
		return true, update.Late
	}
	return false, false
}

// A backend server stayed late for good at control instances that were cut off from its
// heartbeat receiver for a while.
func TestPeerCutOff(t *testing.T) {
	receiver := zfquorum.Node{
		ID:      2,
		Address: peerAddress(t),
		Centre:  "one",
	}
	here, there := runPeer(t, receiver), runPeer(t, self)
	poller := zfcontrollerloop.NewPeerPoller(there, "there", zfclock.System{})
	go poller.Run()
	sequence := uint64(0)
	// beat sends heartbeats to the receiver for a while, and contacts of it to the other instance.
	beat := func(until func() bool, limit time.Duration) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(beatInterval) {
			sequence++
			_, _, err := here.Announce(zf.Announcement{
				Server:   "a",
				Service:  "orders",
				Centre:   "one",
				Address:  netip.MustParseAddrPort("10.0.0.1:80"),
				State:    zf.ServerWarm,
				Sequence: sequence,
				Born:     start,
				Number:   1,
			})
			zfassert.NoError(t, err)
			there.Deliver([]zfquorum.Message{{
				Kind: zfquorum.KindHello,
				From: receiver,
			}})
			if until() {
				return true
			}
		}
		return false
	}
	known := func(wantLate bool) func() bool {
		return func() bool {
			known, late := isLate(t, there)
			return known && late == wantLate
		}
	}
	stop := answer(t, receiver.Address, here)
	zfassert.True(t, "the backend server is reported", beat(known(false), 5*time.Second))
	stop()
	zfassert.True(t, "it is late while no reports come", beat(known(true), 5*time.Second))
	t.Cleanup(answer(t, receiver.Address, here))
	zfassert.True(t, "it is not late once they come again", beat(known(false), 5*time.Second))
	_, late := isLate(t, here)
	zfassert.True(t, "it never was at its receiver", !late)
}
