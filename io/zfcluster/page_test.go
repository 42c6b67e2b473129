package zfcluster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

// manyName returns the name of the n-th backend server of announceMany.
func manyName(n int) zf.ServerName {
	return zf.ServerName(fmt.Sprintf("i-%010x", 0x9a414a11ac+n*7919))
}

// announceMany announces warm backend servers with names of the usual form.
func announceMany(s *testFeedData, count int) {
	for n := range count {
		s.registry.Announce(zf.Announcement{
			Server:   manyName(n),
			Service:  "orders",
			Centre:   "one",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 8367),
			State:    zf.ServerWarm,
			Sequence: uint64(n + 1),
			Born:     start.Add(time.Duration(n) * time.Millisecond),
			Number:   uint64(0x9a414a11ac + n*7919),
		}, start)
	}
}

func TestPages(t *testing.T) {
	s := newTestFeedData()
	announceMany(s, 400)
	feed := newFeed(s)
	first := assertAnswered(t, feed, zfcluster.FetchArgs{})
	t.Run("many backend servers are compressed", func(t *testing.T) {
		zfassert.Equal(t, "uncompressed rows", len(first.Changes.Updates), 0)
		zfassert.AtMost(t, "bytes a row", float64(len(first.Rows))/400, 40)
	})
	t.Run("one page serves all that start at once", func(t *testing.T) {
		again := assertAnswered(t, feed, zfcluster.FetchArgs{
			Instance: "e2",
		})
		zfassert.True(t, "the same bytes", &again.Rows[0] == &first.Rows[0])
	})
	t.Run("but not a fetch with other digests", func(t *testing.T) {
		other := assertAnswered(t, feed, zfcluster.FetchArgs{
			Digests: s.registry.Digests(),
		})
		zfassert.Equal(t, "rows", len(other.Rows)+len(other.Changes.Updates), 0)
	})
	t.Run("nor a fetch after a change", func(t *testing.T) {
		s.announce(1)
		later := assertAnswered(t, feed, zfcluster.FetchArgs{})
		zfassert.True(t, "other bytes", &later.Rows[0] != &first.Rows[0])
	})
	t.Run("nor a fetch after a while, as a page contains ages", func(t *testing.T) {
		before := assertAnswered(t, feed, zfcluster.FetchArgs{})
		later, _ := fetch(feed, zfcluster.FetchArgs{}, start.Add(time.Second))
		zfassert.True(t, "other bytes", &later.Rows[0] != &before.Rows[0])
	})
	t.Run("few backend servers are not compressed", func(t *testing.T) {
		few := newTestFeedData()
		announceMany(few, 3)
		reply := assertAnswered(t, newFeed(few), zfcluster.FetchArgs{})
		zfassert.Equal(t, "rows", len(reply.Changes.Updates), 3)
	})
}

func TestCompressedRows(t *testing.T) {
	s := newTestFeedData()
	announceMany(s, 100)
	compressed := assertAnswered(t, newFeed(s), zfcluster.FetchArgs{})
	call := func(reply zfcluster.FetchReply) (zfcluster.FetchReply, error) {
		address, _ := serve(t, 7, reply)
		client := zfcluster.NewClient(address, zfclock.System{})
		defer client.Close()
		return client.Fetch(zfcluster.FetchArgs{}, time.Minute)
	}
	t.Run("the receiver decodes the same rows", func(t *testing.T) {
		reply, err := call(compressed)
		zfassert.NoError(t, err)
		table := zfregistry.New(zfregistry.DefaultConfig(2, time.Second))
		table.Merge(reply.Changes, start)
		zfassert.Equal(t, "digests", table.Digests(), s.registry.Digests())
	})
	t.Run("truncated rows are an error", func(t *testing.T) {
		truncated := compressed
		truncated.Rows = compressed.Rows[:len(compressed.Rows)/2]
		_, err := call(truncated)
		zfassert.ErrorIs(t, err, zfcluster.ErrCorruptRows)
	})
}
