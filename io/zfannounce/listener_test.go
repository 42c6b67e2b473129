package zfannounce_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfannounce"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfkey"
	"zinniafront/lab/zfassert"
)

// clock is a fake clock whose time tests set.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) After(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

var key = zfkey.SharedKey("0123456789abcdef0123456789abcdef")

func newDecoder() *zfannounce.Decoder {
	return newDecoderAt(&clock{
		now: time.Unix(1, 0),
	})
}

func newDecoderAt(c *clock) *zfannounce.Decoder {
	return zfannounce.NewDecoder(zfannounce.DecoderConfig{
		Verifier: key,
		Clock:    c,
	})
}

func datagram(t testing.TB, server zf.ServerName) []byte {
	t.Helper()
	text, err := zfdocument.FormatAnnouncement(zf.Announcement{
		Server:  server,
		Service: "orders",
		Centre:  "one",
		Address: netip.MustParseAddrPort("10.0.0.1:1"),
		Web:     netip.MustParseAddrPort("10.0.0.1:2"),
		Capacity: zf.Capacity{
			Slots:       2,
			Connections: 2000,
		},
		State:    zf.ServerWarm,
		Sequence: 1,
	})
	zfassert.NoError(t, err)
	signed, err := key.Sign(text)
	zfassert.NoError(t, err)
	return signed
}

func assertReason(t testing.TB, err error, want zf.Reason) {
	t.Helper()
	var wire *zf.WireError
	zfassert.True(t, "wire error", errors.As(err, &wire))
	zfassert.Equal(t, "reason", wire.Reason.String(), want.String())
}

func TestDecode(t *testing.T) {
	t.Run("taken", func(t *testing.T) {
		announcement, err := newDecoder().Decode(datagram(t, "s"))
		zfassert.NoError(t, err)
		zfassert.Equal(t, "server", announcement.Server, zf.ServerName("s"))
	})
	t.Run("too large", func(t *testing.T) {
		_, err := newDecoder().Decode(make([]byte, zfannounce.MaxDatagramBytes+1))
		assertReason(t, err, zf.ReasonTooLarge)
	})
	t.Run("unsigned", func(t *testing.T) {
		_, err := newDecoder().Decode([]byte("{}"))
		assertReason(t, err, zf.ReasonBadSignature)
	})
	t.Run("missing fields", func(t *testing.T) {
		signed, err := key.Sign([]byte(`{"format":1}`))
		zfassert.NoError(t, err)
		_, err = newDecoder().Decode(signed)
		assertReason(t, err, zf.ReasonBadField)
	})
	t.Run("the rate of one backend server is limited", func(t *testing.T) {
		decoder := newDecoder()
		var err error
		for range 11 {
			_, err = decoder.Decode(datagram(t, "s"))
		}
		assertReason(t, err, zf.ReasonRateLimited)
		_, err = decoder.Decode(datagram(t, "other"))
		zfassert.NoError(t, err)
	})
}

func TestRateLimiters(t *testing.T) {
	t.Run("names of backend servers that are gone don't keep new ones out", func(t *testing.T) {
		c := &clock{
			now: time.Unix(1, 0),
		}
		decoder := newDecoderAt(c)
		for n := range 20000 {
			c.now = c.now.Add(time.Millisecond)
			_, err := decoder.Decode(datagram(t, zf.ServerName(fmt.Sprintf("s%d", n))))
			zfassert.NoError(t, err)
		}
		_, err := decoder.Decode(datagram(t, "new"))
		assertReason(t, err, zf.ReasonFull)
		c.now = c.now.Add(time.Minute)
		_, err = decoder.Decode(datagram(t, "new"))
		zfassert.NoError(t, err)
	})
	t.Run("a backend server over its rate stays limited", func(t *testing.T) {
		c := &clock{
			now: time.Unix(1, 0),
		}
		decoder := newDecoderAt(c)
		for range 61 * 10 { // Each 100 ms, twice the rate.
			c.now = c.now.Add(100 * time.Millisecond)
			_, _ = decoder.Decode(datagram(t, "s")) // Half of them are refused.
		}
		_, err := decoder.Decode(datagram(t, "s"))
		assertReason(t, err, zf.ReasonRateLimited)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(datagram(f, "s"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := newDecoder().Decode(data)
		var wire *zf.WireError
		if err != nil && !errors.As(err, &wire) {
			t.Fatalf("error of another kind: %v", err)
		}
	})
}
