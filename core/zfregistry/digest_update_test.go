package zfregistry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/lab/zfassert"
)

// computeDigests recomputes the digests of a table from its rows.
func computeDigests(table *Table) []uint64 {
	digests := make([]uint64, bucketCount)
	for _, row := range table.rows {
		digests[bucketOf(row.Server)] ^= row.digest()
	}
	return digests
}

// applyRandomChange applies a random change to one of a few backend servers.
func applyRandomChange(table *Table, random *rand.Rand, now time.Time) {
	n := random.IntN(20)
	a := zf.Announcement{
		Server:   zf.ServerName(fmt.Sprintf("s%d", n)),
		Born:     time.Unix(int64(1_600_000_000+random.IntN(3)), 0),
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n + random.IntN(2))}), 80),
		State:    zf.ServerWarm,
		Sequence: uint64(random.IntN(1000)),
	}
	switch random.IntN(6) {
	case 0:
		table.Leave(a.Server, a.Born, now)
		return
	case 1:
		a.State = zf.ServerDraining
	case 2:
		a.Cold = time.Second
	case 3:
		table.Tick(now, time.Unix(1, 0))
		return
	}
	table.Announce(a, now)
}

func TestDigestUpdates(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := New(DefaultConfig(1, time.Second))
		now := time.Unix(1_700_000_000, 0)
		for range 300 {
			now = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			applyRandomChange(table, random, now)
		}
		zfassert.Equal(t, fmt.Sprintf("digests of seed %d", seed), table.Digests(), computeDigests(table))
	}
}
