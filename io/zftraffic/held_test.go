package zftraffic_test

import (
	"sync/atomic"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfhold"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfpacket"
	"zinniafront/io/zftraffic"
	"zinniafront/lab/zfassert"
)

// startingMapper can't route packets until it is started.
type startingMapper struct {
	zf.Mapper
	started atomic.Bool
}

// Route implements zinniafront.Mapper.
func (m *startingMapper) Route(packet zf.Packet, now time.Time) zf.Verdict {
	if !m.started.Load() {
		return zf.Verdict{
			Reason: zf.ReasonNotReady,
		}
	}
	return m.Mapper.Route(packet, now)
}

func TestPacketsBeforeTables(t *testing.T) {
	sink, source := listen(t), listen(t)
	address, counters := freeAddress(t), zfcounter.New()
	mapper := &startingMapper{
		Mapper: newMapper(addressOf(sink)),
	}
	sockets, err := zftraffic.Listen(zftraffic.Config{
		Traffic:  address,
		Relay:    freeAddress(t),
		Threads:  1,
		Framing:  func() zf.Framing { return zfpacket.NewDecoder() },
		Mapper:   mapper,
		Held:     zfhold.New(),
		Clock:    zfclock.System{},
		Counters: counters,
	})
	zfassert.NoError(t, err)
	sockets.Start()
	t.Cleanup(sockets.Close)
	data := packet(t, 1)
	_, err = source.WriteToUDPAddrPort(data, address)
	zfassert.NoError(t, err)
	for counters.PacketHeld.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	mapper.started.Store(true)
	sockets.ReleaseHeld()
	buffer := make([]byte, 2048)
	n, _, err := sink.ReadFromUDPAddrPort(buffer)
	zfassert.NoError(t, err)
	zfassert.Equal(t, "packet", buffer[:n], data)
	zfassert.Equal(t, "packets received", counters.PacketReceived.Count(), int64(1))
}
