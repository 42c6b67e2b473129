package zfwire_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	zf "zinniafront"
	"zinniafront/io/zfwire"
	"zinniafront/lab/zfassert"
)

func newCodec(t testing.TB, self zf.InstanceName, key string) *zfwire.Codec {
	t.Helper()
	codec, err := zfwire.New(zfwire.Config{
		Key:  []byte(key),
		Self: self,
	})
	zfassert.NoError(t, err)
	return codec
}

func envelope(message zf.Message) zf.Envelope {
	return zf.Envelope{
		From:        "a",
		Incarnation: 3,
		To:          "b",
		Message:     message,
	}
}

func assertReason(t testing.TB, err error, want zf.Reason) {
	t.Helper()
	var wire *zf.WireError
	zfassert.True(t, "wire error", errors.As(err, &wire))
	zfassert.Equal(t, "reason", wire.Reason.String(), want.String())
}

func encode(t testing.TB, codec *zfwire.Codec, message zf.Message) []byte {
	t.Helper()
	datagram, err := codec.Encode(envelope(message))
	zfassert.NoError(t, err)
	return datagram
}

// samples holds one message of each kind.
func samples() []zf.Message {
	return []zf.Message{
		zf.Heartbeat{
			Centre:      "one",
			Control:     netip.MustParseAddrPort("10.0.0.1:1"),
			Relay:       netip.MustParseAddrPort("[2001:db8::1]:2"),
			Beat:        1,
			SlotDigests: []zf.SlotDigest{{Service: "orders", Digest: 7}},
			Servers: []zf.Announcement{{
				Server:  "s",
				Service: "orders",
				Centre:  "one",
				Address: netip.MustParseAddrPort("10.0.0.3:1"),
				Web:     netip.MustParseAddrPort("10.0.0.3:2"),
				Capacity: zf.Capacity{
					Slots:       2,
					Connections: 2000,
				},
				State:    zf.ServerDraining,
				Load:     0.5,
				Sequence: 9,
			}},
			ServerHeartbeats:   []zf.ServerHeartbeat{{Server: "t", State: zf.ServerWarm, Sequence: 5, Load: 0.25}},
			Members:            []netip.AddrPort{netip.MustParseAddrPort("10.0.0.9:1")},
			NeedsAnnouncements: true,
			Ready:              true,
		},
		zf.SlotAck{Service: "orders", Round: 3, Busy: []uint16{1, 2}},
		zf.SlotAsk{Service: "orders", Round: 3, Slots: []uint16{1, 2}},
		zf.SlotPull{
			Service: "orders",
		},
		zf.FlowAck{
			Batch: 4,
		},
		zf.FlowRows{
			Rows:  []zf.FlowRow{{Hash: 1, Server: "s", Service: "orders", Version: 2, Age: time.Minute, Tentative: true}},
			Batch: 1,
			View:  2,
			Last:  true,
		},
		zf.Leave{},
	}
}

func TestCodec(t *testing.T) {
	for _, message := range samples() {
		t.Run("round trip of "+message.Kind().String(), func(t *testing.T) {
			got, err := newCodec(t, "b", "k").Decode(encode(t, newCodec(t, "a", "k"), message))
			zfassert.NoError(t, err)
			zfassert.Equal(t, "message", got.Message, message)
			zfassert.Equal(t, "from", got.From, zf.InstanceName("a"))
		})
	}
	t.Run("round trip of any slot rows", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			names := []zf.ServerName{"", "s1", "s2", "s3"}
			message := zf.SlotRows{
				Service: "orders",
			}
			for slot := range rapid.IntRange(1, 300).Draw(rt, "rows") {
				message.Rows = append(message.Rows, zf.SlotRow{
					Slot:    uint16(slot * 100),
					Base:    rapid.SampledFrom(names).Draw(rt, "base"),
					Active:  rapid.SampledFrom(names).Draw(rt, "active"),
					Next:    rapid.SampledFrom(names).Draw(rt, "next"),
					Moved:   rapid.Bool().Draw(rt, "moved"),
					Version: rapid.Uint32Range(1, 3).Draw(rt, "version"),
					Writer:  1,
				})
			}
			got, err := newCodec(t, "b", "k").Decode(encode(t, newCodec(t, "a", "k"), message))
			zfassert.NoError(t, err)
			zfassert.Equal(t, "message", got.Message, zf.Message(message))
		})
	})
	t.Run("a replay is refused", func(t *testing.T) {
		datagram := encode(t, newCodec(t, "a", "k"), zf.Leave{})
		b := newCodec(t, "b", "k")
		_, err := b.Decode(datagram)
		zfassert.NoError(t, err)
		_, err = b.Decode(datagram)
		assertReason(t, err, zf.ReasonReplay)
	})
	t.Run("messages may arrive out of order", func(t *testing.T) {
		a, b := newCodec(t, "a", "k"), newCodec(t, "b", "k")
		first, second := encode(t, a, zf.Leave{}), encode(t, a, zf.Leave{})
		_, err := b.Decode(second)
		zfassert.NoError(t, err)
		_, err = b.Decode(first)
		zfassert.NoError(t, err)
	})
	t.Run("a datagram under another key is refused", func(t *testing.T) {
		_, err := newCodec(t, "b", "other").Decode(encode(t, newCodec(t, "a", "k"), zf.Leave{}))
		assertReason(t, err, zf.ReasonBadSignature)
	})
	t.Run("a message for another instance is refused", func(t *testing.T) {
		_, err := newCodec(t, "c", "k").Decode(encode(t, newCodec(t, "a", "k"), zf.Leave{}))
		assertReason(t, err, zf.ReasonWrongReceiver)
	})
	t.Run("a change of any byte is refused", func(t *testing.T) {
		datagram := encode(t, newCodec(t, "a", "k"), samples()[0])
		for i := range datagram {
			changed := append([]byte(nil), datagram...)
			changed[i] ^= 1
			_, err := newCodec(t, "b", "k").Decode(changed)
			assertReason(t, err, zf.ReasonBadSignature)
		}
	})
	t.Run("size limits", func(t *testing.T) {
		_, err := newCodec(t, "b", "k").Decode(make([]byte, zfwire.MaxDatagramBytes+1))
		assertReason(t, err, zf.ReasonTooLarge)
		_, err = newCodec(t, "b", "k").Decode(nil)
		assertReason(t, err, zf.ReasonBadEncoding)
	})
}

// FuzzDecode decodes arbitrary bodies under a valid HMAC.
func FuzzDecode(f *testing.F) {
	for _, message := range samples() {
		codec, _ := zfwire.New(zfwire.Config{
			Key:  []byte("k"),
			Self: "a",
		})
		datagram, _ := codec.Encode(envelope(message))
		f.Add(datagram[:len(datagram)-16])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		codec := newCodec(t, "b", "k")
		_, err := codec.Decode(codec.Seal(body))
		var wire *zf.WireError
		if err != nil && !errors.As(err, &wire) {
			t.Fatalf("error of another kind: %v", err)
		}
	})
}
