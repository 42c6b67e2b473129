package zfmember_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfmember"
	"zinniafront/lab/zfassert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable() *zfmember.Table {
	return zfmember.New(zfmember.DefaultConfig(zf.MemberView{
		Name:        "a",
		Control:     netip.MustParseAddrPort("10.0.0.1:1"),
		Incarnation: 7,
	}, nil))
}

func payload() zfmember.Payload {
	return zfmember.Payload{
		AllServers: func() []zf.Announcement { return nil },
	}
}

func heartbeat(number uint64) zf.Heartbeat {
	return zf.Heartbeat{
		Beat:    number,
		Control: netip.MustParseAddrPort("10.0.0.2:1"),
		Ready:   true,
	}
}

func assertState(t *testing.T, table *zfmember.Table, want zfmember.State) {
	t.Helper()
	zfassert.Equal(t, "state", table.Find("b").State.String(), want.String())
}

func TestTable(t *testing.T) {
	t.Run("silence leads to suspect and dead", func(t *testing.T) {
		table := newTable()
		table.HandleHeartbeat("b", 1, heartbeat(1), start)
		table.Tick(start.Add(table.SuspectTimeout()-1), payload)
		assertState(t, table, zfmember.StateAlive)
		table.Tick(start.Add(table.SuspectTimeout()), payload)
		assertState(t, table, zfmember.StateSuspect)
		zfassert.Equal(t, "live", len(table.View(start, true)), 2)
		table.Tick(start.Add(table.DeadTimeout()), payload)
		assertState(t, table, zfmember.StateDead)
		zfassert.Equal(t, "live", len(table.View(start, true)), 1)
	})
	t.Run("a slow member is not dead", func(t *testing.T) {
		table := newTable()
		for i := range 20 {
			now := start.Add(time.Duration(i) * (table.SuspectTimeout() - time.Millisecond))
			table.HandleHeartbeat("b", 1, heartbeat(uint64(i+1)), now)
			table.Tick(now, payload)
			assertState(t, table, zfmember.StateAlive)
		}
	})
	t.Run("an outdated heartbeat is ignored", func(t *testing.T) {
		table := newTable()
		zfassert.True(t, "first", table.HandleHeartbeat("b", 1, heartbeat(2), start))
		zfassert.True(t, "older beat", !table.HandleHeartbeat("b", 1, heartbeat(1), start))
		zfassert.True(t, "new incarnation", table.HandleHeartbeat("b", 2, heartbeat(1), start))
		zfassert.True(t, "old incarnation", !table.HandleHeartbeat("b", 1, heartbeat(9), start))
	})
	t.Run("a member that left comes back as a new incarnation only", func(t *testing.T) {
		table := newTable()
		table.HandleHeartbeat("b", 1, heartbeat(1), start)
		table.HandleLeave("b", 1)
		assertState(t, table, zfmember.StateLeft)
		zfassert.True(t, "same incarnation", !table.HandleHeartbeat("b", 1, heartbeat(2), start))
		zfassert.True(t, "next incarnation", table.HandleHeartbeat("b", 2, heartbeat(1), start))
		assertState(t, table, zfmember.StateAlive)
	})
	t.Run("a lease starts when the echoed heartbeat was sent", func(t *testing.T) {
		table := newTable()
		table.Tick(start, payload)
		echo := heartbeat(1)
		echo.Echo, echo.EchoIncarnation = 1, 7
		receivedAt := start.Add(time.Second)
		table.HandleHeartbeat("b", 1, echo, receivedAt)
		zfassert.True(t, "leased", table.View(start.Add(table.SuspectTimeout()-1), true)[1].Leased)
		zfassert.True(t, "expired", !table.View(start.Add(table.SuspectTimeout()), true)[1].Leased)
	})
	t.Run("an echo to an earlier incarnation gives no lease", func(t *testing.T) {
		table := newTable()
		table.Tick(start, payload)
		echo := heartbeat(1)
		echo.Echo, echo.EchoIncarnation = 1, 6
		table.HandleHeartbeat("b", 1, echo, start)
		zfassert.True(t, "not leased", !table.View(start, true)[1].Leased)
	})
	t.Run("the interval keeps heartbeats within the bandwidth", func(t *testing.T) {
		table := newTable()
		for i := range 100 {
			b := heartbeat(1)
			b.Control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
			table.HandleHeartbeat(zf.InstanceName(rune('b'+i)), 1, b, start)
		}
		zfassert.AtMost(t, "heartbeats a second", 100/table.Interval().Seconds(), 2500.0/110)
	})
}
