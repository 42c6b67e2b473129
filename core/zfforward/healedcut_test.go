package zfforward_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// One slow request reset the flows of a backend server that sends its heartbeats in time, long
// after two control instances were cut off from each other.
func TestHealedCut(t *testing.T) {
	receiver := zfregistry.New(zfregistry.DefaultConfig(2, time.Second))
	control := zfregistry.New(zfregistry.DefaultConfig(3, time.Second))
	a := changes("one").Updates[0].Announcement
	receiver.Announce(a, start)
	cursor := uint64(0)
	healed := start.Add(5500 * time.Millisecond)
	now := start
	for ; now.Before(healed.Add(10 * time.Second)); now = now.Add(500 * time.Millisecond) {
		if now.Sub(start)%time.Second == 0 {
			a.Sequence++
			receiver.Announce(a, now)
		}
		if now.Equal(start) || now.After(healed) {
			reported := receiver.Since(cursor, true, now)
			control.Merge(reported, now)
			cursor = reported.Cursor
		}
		receiver.Tick(now, start)
		control.Tick(now, start)
	}
	world := newWorld()
	world.ApplyReply(zfforward.Reply{
		Changes: control.Since(0, false, now),
		State:   state(1, "orders"),
	}, now)
	packet := zf.Packet{
		Kind: zf.PacketOpening,
		Flow: zf.Flow{
			Source:      netip.MustParseAddrPort("100.64.0.1:1000"),
			Destination: frontend,
		},
	}
	packet.Cookie = world.Mapper().Route(packet, now).Cookie
	packet.Kind = zf.PacketMidFlow
	packet.PayloadSize = 100
	// A request and its retransmissions, whose answer takes more than 0.6 s.
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		for next := now.Add(pause); now.Before(next); now = now.Add(50 * time.Millisecond) {
			world.Tick(now)
		}
		zfassert.Equal(t, "action", world.Mapper().Route(packet, now).Action, zf.ActionForward)
	}
	world.Tick(now.Add(200 * time.Millisecond))
	zfassert.Equal(t, "flows that were ended", len(world.EndedFlows()), 0)
}
