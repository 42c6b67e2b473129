package zfcookie_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/lab/zfassert"
)

// acknowledgement returns a packet without a payload that acknowledges received data.
func acknowledgement(cookie zf.Cookie, acknowledged uint32) zf.Packet {
	return zf.Packet{
		Flow:         flow(1),
		Cookie:       cookie,
		Acknowledged: acknowledged,
	}
}

// endOfFlow returns a packet by which a caller ends its flow.
func endOfFlow(kind zf.PacketKind, cookie zf.Cookie) zf.Packet {
	return zf.Packet{
		Kind:   kind,
		Flow:   flow(1),
		Cookie: cookie,
	}
}

func TestOutcomes(t *testing.T) {
	cookie := zfcookie.CookieOf("s1", start)
	next := data(1, cookie, 2)
	next.Acknowledged = 50
	for _, c := range []struct {
		name string
		// packets are routed at the start, later after the pause.
		packets []zf.Packet
		pause   time.Duration
		later   []zf.Packet
		want    []zf.Outcome
	}{
		{
			name:    "a request that is answered",
			packets: []zf.Packet{data(1, cookie, 1), acknowledgement(cookie, 50)},
			pause:   time.Second,
		},
		{
			name:    "a request that waits",
			packets: []zf.Packet{data(1, cookie, 1)},
			pause:   300 * time.Millisecond,
		},
		{
			name:    "a request that exceeds the answer timeout",
			packets: []zf.Packet{data(1, cookie, 1)},
			pause:   400 * time.Millisecond,
			want:    outcomes(0, 1),
		},
		{
			name:    "a late answer does not change the count",
			packets: []zf.Packet{data(1, cookie, 1)},
			pause:   400 * time.Millisecond,
			later:   []zf.Packet{acknowledgement(cookie, 50)},
			want:    outcomes(0, 1),
		},
		{
			name:    "an acknowledgement without new data is no answer",
			packets: []zf.Packet{data(1, cookie, 1), acknowledgement(cookie, 0)},
			pause:   time.Second,
			want:    outcomes(0, 1),
		},
		{
			name:    "the next request acknowledges the answer to the previous one",
			packets: []zf.Packet{data(1, cookie, 1), next},
			pause:   time.Second,
			want:    outcomes(1, 1),
		},
		{
			name:    "a caller that resets its flow",
			packets: []zf.Packet{data(1, cookie, 1), endOfFlow(zf.PacketReset, cookie)},
			want:    outcomes(0, 1),
		},
		{
			name:    "a caller that closes its flow while it waits",
			packets: []zf.Packet{data(1, cookie, 1), endOfFlow(zf.PacketClosing, cookie)},
			want:    outcomes(0, 1),
		},
		{
			name:    "a caller that closes its flow after the answer",
			packets: []zf.Packet{data(1, cookie, 1), acknowledgement(cookie, 50), endOfFlow(zf.PacketClosing, cookie)},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := view(row(1, "orders", "one"))
			mapper := newMapper(v)
			for _, packet := range c.packets {
				mapper.Route(packet, start)
			}
			tick(mapper, v, start, c.pause)
			for _, packet := range c.later {
				mapper.Route(packet, start.Add(c.pause))
			}
			zfassert.Equal(t, "outcomes", mapper.Outcomes(), c.want)
		})
	}
	t.Run("an instance that was suspended counts no unanswered requests", func(t *testing.T) {
		v := view(row(1, "orders", "one"))
		mapper := newMapper(v)
		mapper.Route(data(1, cookie, 1), start)
		mapper.Tick(start.Add(5*time.Second), v)
		zfassert.Equal(t, "outcomes", len(mapper.Outcomes()), 0)
	})
	t.Run("outcomes are reported ten times after an unanswered request", func(t *testing.T) {
		v := view(row(1, "orders", "one"))
		mapper := newMapper(v)
		mapper.Route(data(1, cookie, 1), start)
		mapper.Route(endOfFlow(zf.PacketReset, cookie), start)
		reports := 0
		for n := range 30 {
			mapper.Route(data(1, cookie, uint32(n+2)), start)
			mapper.Route(acknowledgement(cookie, 50), start)
			reports += len(mapper.Outcomes())
		}
		zfassert.Equal(t, "number of reports", reports, 10)
	})
}

func outcomes(answered, count int) []zf.Outcome {
	return []zf.Outcome{{
		Server:     "s1",
		Born:       time.UnixMilli(start.UnixMilli()),
		Answered:   answered,
		Unanswered: count,
	}}
}

// tick calls the mapper's Tick every 100 ms for the duration d.
func tick(mapper *zfcookie.Mapper, v zf.View, from time.Time, d time.Duration) {
	for after := time.Duration(0); after <= d; after += 100 * time.Millisecond {
		mapper.Tick(from.Add(after), v)
	}
}

func TestMovedFlow(t *testing.T) {
	mapper := newMapper(view(row(1, "orders", "one"), row(2, "orders", "one")))
	first, second := zfcookie.CookieOf("s1", start), zfcookie.CookieOf("s2", start)
	for _, c := range []struct {
		name     string
		cookie   zf.Cookie
		previous uint64
	}{
		{
			name:   "the first request",
			cookie: first,
		},
		{
			name:   "the next one to the same backend server",
			cookie: first,
		},
		{
			name:     "one to another backend server",
			cookie:   second,
			previous: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			zfassert.Equal(t, "previous", mapper.Route(data(1, c.cookie, 1), start).Previous, c.previous)
		})
	}
}
