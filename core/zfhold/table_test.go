package zfhold_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfhold"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

func packet(port uint16, sequence uint32) *zf.Packet {
	return &zf.Packet{
		Flow: zf.Flow{
			Source: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port),
		},
		Sequence: sequence,
	}
}

func assertReleased(t testing.TB, table *zfhold.Table, now time.Time, want ...string) {
	t.Helper()
	got := make([]string, 0, len(want))
	for _, frame := range table.Release(now) {
		got = append(got, string(frame))
	}
	zfassert.Equal(t, "released frames", got, append([]string{}, want...))
}

func TestStartUnderTraffic(t *testing.T) {
	t.Run("packets are released once, in their order", func(t *testing.T) {
		table := zfhold.New()
		table.Add(packet(1, 1), []byte("a"), start)
		table.Add(packet(2, 1), []byte("b"), start.Add(time.Millisecond))
		table.Add(packet(1, 9), []byte("c"), start.Add(2*time.Millisecond))
		assertReleased(t, table, start.Add(100*time.Millisecond), "a", "b", "c")
		assertReleased(t, table, start.Add(100*time.Millisecond))
	})
	t.Run("a retransmission replaces the packet", func(t *testing.T) {
		table := zfhold.New()
		table.Add(packet(1, 1), []byte("first"), start)
		table.Add(packet(1, 1), []byte("copy"), start.Add(200*time.Millisecond))
		assertReleased(t, table, start.Add(300*time.Millisecond), "copy")
	})
	t.Run("the frame is copied", func(t *testing.T) {
		table, frame := zfhold.New(), []byte("a")
		table.Add(packet(1, 1), frame, start)
		frame[0] = 'x'
		assertReleased(t, table, start, "a")
	})
	t.Run("packets that their callers have sent again are not released", func(t *testing.T) {
		table := zfhold.New()
		table.Add(packet(1, 1), []byte("old"), start)
		assertReleased(t, table, start.Add(600*time.Millisecond))
	})
	t.Run("nothing is held after the release", func(t *testing.T) {
		table := zfhold.New()
		table.Release(start)
		zfassert.True(t, "refused", !table.Add(packet(1, 1), []byte("a"), start))
	})
	t.Run("an opening packet is not released around its copy", func(t *testing.T) {
		for retransmissions, ages := range map[int]map[int]bool{
			0: {100: true, 190: false, 210: false, 300: true, 590: false},
			1: {210: true, 390: false, 410: false, 500: true},
			2: {210: true, 410: true, 590: true},
		} {
			for age, released := range ages {
				opening, table := packet(1, 1), zfhold.New()
				opening.Kind = zf.PacketOpening
				opening.Retransmissions = retransmissions
				table.Add(opening, []byte("a"), start)
				frames := table.Release(start.Add(time.Duration(age) * time.Millisecond))
				zfassert.Equal(t, fmt.Sprintf("released after %d copies at age %d ms", retransmissions, age), len(frames) == 1, released)
			}
		}
	})
	t.Run("old packets give way in a long wait for the tables", func(t *testing.T) {
		table, now := zfhold.New(), start
		for sequence := range uint32(5000) {
			now = now.Add(time.Millisecond)
			zfassert.True(t, "held", table.Add(packet(1, sequence), []byte("a"), now))
		}
	})
	t.Run("a flood is bounded", func(t *testing.T) {
		table, held := zfhold.New(), 0
		for sequence := range uint32(100_000) {
			if table.Add(packet(1, sequence), make([]byte, 100), start) {
				held++
			}
		}
		zfassert.Equal(t, "held", held, 1024)
	})
}
