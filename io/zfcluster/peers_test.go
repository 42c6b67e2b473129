package zfcluster_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

func subscriberArgs(i int, centre zf.CentreName) zfcluster.FetchArgs {
	return zfcluster.FetchArgs{
		Instance: zf.InstanceName(fmt.Sprintf("e%d", i)),
		Centre:   centre,
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
	}
}

func TestPeersBySize(t *testing.T) {
	feed := newFeed(newTestFeedData())
	// peersOf has eight instances fetch, the last two of them three times as large, and
	// returns those that the first is told of.
	peersOf := func(strain zf.Strain) []netip.AddrPort {
		for i := 8; i >= 1; i-- {
			args := subscriberArgs(i, "one")
			args.Size = 0.16
			if i >= 7 {
				args.Size = 0.48
				args.Strain = strain
			}
			if i == 1 {
				return assertAnswered(t, feed, args).Peers
			}
			assertAnswered(t, feed, args)
		}
		return nil
	}
	address := func(i int) netip.AddrPort { return subscriberArgs(i, "one").Address }
	t.Run("larger instances are named first", func(t *testing.T) {
		zfassert.Equal(t, "peers", peersOf(zf.StrainNone), []netip.AddrPort{address(7), address(8), address(2)})
	})
	t.Run("unless they are overloaded", func(t *testing.T) {
		zfassert.Equal(t, "peers", peersOf(zf.StrainOverloaded), []netip.AddrPort{address(2), address(3), address(4)})
	})
}

// TestPositions checks that no two of all entry instances have the same position.
func TestPositions(t *testing.T) {
	const subscribers, others = 7, 4
	for name, source := range map[string]uint64{
		"before those of another feed": 9,
		"after those of another feed":  3,
	} {
		t.Run(name, func(t *testing.T) {
			feed := newFeed(newTestFeedData())
			feed.RecordRemote(netip.MustParseAddrPort("10.9.0.9:7000"), zfcluster.FetchReply{
				Source:  source,
				Entries: others,
			}, start)
			for range 2 {
				for i := range subscribers {
					assertAnswered(t, feed, subscriberArgs(i+1, "one"))
				}
			}
			first := 1
			if source < 7 {
				first += others
			}
			for i := range subscribers {
				zfassert.Equal(t, "position", assertAnswered(t, feed, subscriberArgs(i+1, "one")).Position, first+i)
			}
			zfassert.Equal(t, "position of a control instance", assertAnswered(t, feed, zfcluster.FetchArgs{
				Control: true,
			}).Position, 0)
		})
	}
}

// TestEntriesAfterStart checks that entry instances don't take the whole rate of a cold
// backend server while control instances that have just started don't know each other's.
func TestEntriesAfterStart(t *testing.T) {
	data := newTestFeedData()
	data.controls = make([]zfquorum.Node, 4)
	feed := newFeed(data)
	assertEntries := func(t *testing.T, at time.Time, count, position int) {
		t.Helper()
		for i := range 5 {
			fetch(feed, subscriberArgs(i+1, "one"), at)
		}
		reply, _ := fetch(feed, subscriberArgs(1, "one"), at)
		zfassert.Equal(t, "entry instances", reply.Entries, count)
		zfassert.Equal(t, "position", reply.Position, position)
	}
	t.Run("the others count as much", func(t *testing.T) { assertEntries(t, start, 20, 0) })
	t.Run("as the mean of those that were heard", func(t *testing.T) {
		feed.RecordRemote(netip.MustParseAddrPort("10.9.0.9:7000"), zfcluster.FetchReply{
			Source:  9,
			Entries: 7,
		}, start)
		assertEntries(t, start, 24, 0)
	})
	t.Run("lost ones don't count later", func(t *testing.T) {
		assertEntries(t, start.Add(9*time.Second), 24, 0)
		feed.RecordRemote(netip.MustParseAddrPort("10.9.0.9:7000"), zfcluster.FetchReply{
			Source:  9,
			Entries: 7,
		}, start.Add(9*time.Second))
		assertEntries(t, start.Add(10*time.Second), 12, 1)
	})
}

func TestPeers(t *testing.T) {
	feed := newFeed(newTestFeedData())
	for i := range 6 {
		assertAnswered(t, feed, subscriberArgs(i+1, "one"))
	}
	assertAnswered(t, feed, subscriberArgs(7, "two"))
	remote := netip.MustParseAddrPort("10.9.0.1:7000")
	feed.RecordRemote(netip.MustParseAddrPort("10.9.0.9:7000"), zfcluster.FetchReply{
		Peers:   []netip.AddrPort{remote},
		Entries: 4,
	}, start)
	reply := assertAnswered(t, feed, subscriberArgs(1, "one"))
	peers := reply.Peers
	t.Run("all entry instances are counted", func(t *testing.T) {
		zfassert.Equal(t, "entry instances", reply.Entries, 11)
	})
	t.Run("a control instance gets the count of this feed only", func(t *testing.T) {
		zfassert.Equal(t, "entry instances", assertAnswered(t, feed, zfcluster.FetchArgs{
			Control: true,
		}).Entries, 7)
	})
	t.Run("three of the own data centre and two of others", func(t *testing.T) {
		zfassert.Equal(t, "peers", peers, []netip.AddrPort{
			subscriberArgs(2, "").Address,
			subscriberArgs(3, "").Address,
			subscriberArgs(4, "").Address,
			subscriberArgs(7, "").Address,
			remote,
		})
	})
	t.Run("each subscriber gets different peers", func(t *testing.T) {
		zfassert.Equal(t, "first peer", assertAnswered(t, feed, subscriberArgs(6, "one")).Peers[0], subscriberArgs(1, "").Address)
	})
	t.Run("control instances of one data centre know all of its entry instances", func(t *testing.T) {
		here, there := newFeed(newTestFeedData()), newFeed(newTestFeedData())
		assertAnswered(t, here, subscriberArgs(1, "one"))
		for i := range 6 {
			assertAnswered(t, there, subscriberArgs(i+2, "one"))
		}
		reply := assertAnswered(t, there, zfcluster.FetchArgs{
			Control: true,
		})
		here.RecordRemote(netip.MustParseAddrPort("10.9.0.9:7000"), reply, start)
		zfassert.Equal(t, "subscribers", len(here.Subscribers()), 7)
		reply.Near = false
		here.RecordRemote(netip.MustParseAddrPort("10.9.0.9:7000"), reply, start)
		zfassert.Equal(t, "subscribers without those of another data centre's feed", len(here.Subscribers()), 1)
	})
	t.Run("a subscriber of two feeds is no peer of its own", func(t *testing.T) {
		self := subscriberArgs(9, "one")
		feed := newFeed(newTestFeedData())
		feed.RecordRemote(netip.MustParseAddrPort("10.9.0.8:7000"), zfcluster.FetchReply{
			Peers: []netip.AddrPort{self.Address},
		}, start)
		zfassert.True(t, "not among its peers", !slices.Contains(assertAnswered(t, feed, self).Peers, self.Address))
	})
	t.Run("a subscriber that has not fetched for a while is no peer", func(t *testing.T) {
		reply, _ := fetch(feed, subscriberArgs(1, "one"), start.Add(time.Minute))
		zfassert.Equal(t, "peers", len(reply.Peers), 1)
	})
}
