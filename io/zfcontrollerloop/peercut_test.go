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

const (
	beatInterval = 50 * time.Millisecond
	// cutTime is longer than a session between control instances outlasts without replies.
	cutTime = 2500 * time.Millisecond
)

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
// misses heartbeats soon. Backend servers that are silent for gone are removed soon after.
func runPeer(t testing.TB, node zfquorum.Node, gone, retention time.Duration) *zfcontrollerloop.Loop {
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
				SilentTimeout: gone,
				GoneTimeout:   gone,
				Retention:     retention,
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

// TestPeerCutOff guards against backend servers that stay late, or unknown, at a control
// instance that was cut off from their heartbeat receiver for a while.
func TestPeerCutOff(t *testing.T) {
	for _, c := range []struct {
		name string
		gone time.Duration
		// lost reports whether the backend server is lost to the instance that is cut off.
		lost func(known, late bool) bool
	}{
		{
			name: "until it is late",
			gone: time.Hour,
			lost: func(_, late bool) bool { return late },
		},
		{
			name: "until it is removed",
			gone: 4 * beatInterval,
			lost: func(known, _ bool) bool { return !known },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			receiver := zfquorum.Node{
				ID:      2,
				Address: peerAddress(t),
				Centre:  "one",
			}
			here, there := runPeer(t, receiver, c.gone, beatInterval), runPeer(t, self, c.gone, beatInterval)
			go zfcontrollerloop.NewPeerPoller(there, "there", zfclock.System{}).Run()
			usable := func(known, late bool) bool { return known && !late }
			stop := answer(t, receiver.Address, here)
			zfassert.True(t, "it is reported", sendHeartbeats(t, here, there, receiver, usable))
			stop()
			healed := time.Now().Add(cutTime)
			lost := func(known, late bool) bool { return c.lost(known, late) && time.Now().After(healed) }
			zfassert.True(t, "it is lost while no reports come", sendHeartbeats(t, here, there, receiver, lost))
			t.Cleanup(answer(t, receiver.Address, here))
			zfassert.True(t, "it is not once they come again", sendHeartbeats(t, here, there, receiver, usable))
			known, late := isLate(t, here)
			zfassert.True(t, "it never was at its receiver", usable(known, late))
		})
	}
}

// sendHeartbeats sends heartbeats of a backend server to one control instance, and contacts of
// that one to another, until the state of the backend server there is as wanted. It gives up
// after 5 s.
func sendHeartbeats(t testing.TB, here, there *zfcontrollerloop.Loop, receiver zfquorum.Node, wanted func(known, late bool) bool) bool {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(beatInterval) {
		_, _, err := here.Announce(zf.Announcement{
			Server:   "a",
			Service:  "orders",
			Centre:   "one",
			Address:  netip.MustParseAddrPort("10.0.0.1:80"),
			State:    zf.ServerWarm,
			Sequence: uint64(time.Since(start)),
			Born:     start,
			Number:   1,
		})
		zfassert.NoError(t, err)
		there.Deliver([]zfquorum.Message{{
			Kind: zfquorum.KindHello,
			From: receiver,
		}})
		if wanted(isLate(t, there)) {
			return true
		}
	}
	return false
}

// TestDeathDuringPeerCut guards against a backend server that died during a cut between two control
// instances being taken for alive after it.
func TestDeathDuringPeerCut(t *testing.T) {
	receiver := zfquorum.Node{
		ID:      2,
		Address: peerAddress(t),
		Centre:  "one",
	}
	gone := 8 * beatInterval
	here, there := runPeer(t, receiver, gone, time.Hour), runPeer(t, self, gone, time.Hour)
	go zfcontrollerloop.NewPeerPoller(there, "there", zfclock.System{}).Run()
	stop := answer(t, receiver.Address, here)
	usable := func(known, late bool) bool { return known && !late }
	zfassert.True(t, "it is reported", sendHeartbeats(t, here, there, receiver, usable))
	stop()
	state := func(loop *zfcontrollerloop.Loop) zf.ServerState {
		there.Deliver([]zfquorum.Message{{
			Kind: zfquorum.KindHello,
			From: receiver,
		}})
		reply, err := loop.Fetch(zfcluster.FetchArgs{})
		zfassert.NoError(t, err)
		return reply.Changes.Updates[0].Status
	}
	for healed := time.Now().Add(cutTime); time.Now().Before(healed); time.Sleep(beatInterval) {
		state(there)
	}
	zfassert.Equal(t, "state at the receiver", state(here), zf.ServerGone)
	zfassert.Equal(t, "state elsewhere", state(there), zf.ServerGone)
	t.Cleanup(answer(t, receiver.Address, here))
	for range 60 {
		time.Sleep(beatInterval)
		state(there)
	}
	zfassert.Equal(t, "state elsewhere after the cut", state(there), zf.ServerGone)
}
