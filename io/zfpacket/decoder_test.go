package zfpacket_test

import (
	"net/netip"
	"testing"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfpacket"
	"zinniafront/lab/zfassert"
	"zinniafront/lab/zfsegment"
)

func segment() zfsegment.Segment {
	return zfsegment.Segment{
		Source:      netip.MustParseAddrPort("10.0.0.1:1000"),
		Destination: netip.MustParseAddrPort("198.51.100.1:443"),
		Payload:     []byte("x"),
	}
}

func encode(t testing.TB, s zfsegment.Segment) []byte {
	t.Helper()
	data, err := s.Encode()
	zfassert.NoError(t, err)
	return append([]byte(nil), data...)
}

func assertReason(t testing.TB, err error, want zf.Reason) {
	t.Helper()
	var wire *zf.WireError
	zfassert.True(t, "wire error", errors.As(err, &wire))
	zfassert.Equal(t, "reason", wire.Reason.String(), want.String())
}

func TestDecode(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *zfsegment.Segment)
		want   zf.PacketKind
	}{
		"opening": {
			change: func(s *zfsegment.Segment) { s.SYN = true },
			want:   zf.PacketOpening,
		},
		"answer": {
			change: func(s *zfsegment.Segment) { s.SYN, s.ACK = true, true },
			want:   zf.PacketMidFlow,
		},
		"middle": {
			change: func(s *zfsegment.Segment) { s.ACK = true },
			want:   zf.PacketMidFlow,
		},
		"closing": {
			change: func(s *zfsegment.Segment) { s.FIN, s.ACK = true, true },
			want:   zf.PacketClosing,
		},
		"reset": {
			change: func(s *zfsegment.Segment) { s.RST = true },
			want:   zf.PacketReset,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := segment()
			c.change(&s)
			packet, err := zfpacket.NewDecoder().Decode(encode(t, s))
			zfassert.NoError(t, err)
			zfassert.Equal(t, "kind", packet.Kind, c.want)
			zfassert.Equal(t, "flow", packet.Flow, s.Flow())
		})
	}
	t.Run("malformed", func(t *testing.T) {
		data := encode(t, segment())
		for n := range 40 {
			_, err := zfpacket.NewDecoder().Decode(data[:n])
			assertReason(t, err, zf.ReasonMalformed)
		}
	})
	t.Run("a later fragment", func(t *testing.T) {
		data := encode(t, segment())
		data[7] = 1
		_, err := zfpacket.NewDecoder().Decode(data)
		assertReason(t, err, zf.ReasonFragment)
	})
	t.Run("no state of an earlier packet remains", func(t *testing.T) {
		decoder := zfpacket.NewDecoder()
		data := encode(t, segment())
		_, err := decoder.Decode(data)
		zfassert.NoError(t, err)
		data[9] = 1 // ICMP
		_, err = decoder.Decode(data)
		assertReason(t, err, zf.ReasonMalformed)
	})
	t.Run("does not allocate", func(t *testing.T) {
		decoder := zfpacket.NewDecoder()
		data := encode(t, segment())
		zfassert.Equal(t, "allocations", testing.AllocsPerRun(100, func() { _, _ = decoder.Decode(data) }), 0.0)
	})
}

func FuzzDecode(f *testing.F) {
	data, _ := segment().Encode()
	f.Add(data)
	f.Add([]byte{0x60, 0, 0, 0, 0, 0, 6, 64})
	decoder := zfpacket.NewDecoder()
	f.Fuzz(func(t *testing.T, data []byte) {
		packet, err := decoder.Decode(data)
		var wire *zf.WireError
		switch {
		case err != nil && !errors.As(err, &wire):
			t.Fatalf("error of another kind: %v", err)
		case err == nil && !packet.Flow.Source.IsValid():
			t.Fatalf("no source in %+v", packet)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	decoder := zfpacket.NewDecoder()
	data := encode(b, segment())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decoder.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
