package zfmember

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Tick updates the states of the rows and returns the heartbeats that are due.
func (t *Table) Tick(now time.Time, payload func() Payload) []zf.Envelope {
	t.expire(now)
	if now.Before(t.nextBeat) {
		return nil
	}
	t.nextBeat = now.Add(t.Interval())
	t.beat++
	t.sentAt[t.beat%echoWindow] = now
	return t.heartbeats(payload())
}

func (t *Table) expire(now time.Time) {
	suspectTimeout, deadTimeout := t.SuspectTimeout(), t.DeadTimeout()
	kept := t.rows[:0]
	for _, row := range t.rows {
		silence := now.Sub(row.LastHeartbeat)
		switch {
		case row.State == StateAlive && silence >= suspectTimeout:
			row.State = StateSuspect
		case row.State == StateSuspect && silence >= deadTimeout:
			row.State = StateDead
			t.revision++
		}
		if silence < t.config.RemoveAfter {
			kept = append(kept, row)
			continue
		}
		t.seeds = addSeed(t.seeds, row.Control)
	}
	t.rows = kept
}

// addSeed keeps the address of a removed row, so that it still gets
// heartbeats.
func addSeed(seeds []netip.AddrPort, address netip.AddrPort) []netip.AddrPort {
	if slices.Contains(seeds, address) {
		return seeds
	}
	return append(seeds, address)
}

// heartbeats returns one heartbeat for each known row and each seed without a
// row. Dead rows get one too, so that a healed link is detected.
func (t *Table) heartbeats(payload Payload) []zf.Envelope {
	envelopes := make([]zf.Envelope, 0, len(t.rows)+len(t.seeds))
	covered := make(map[netip.AddrPort]bool, len(t.rows))
	for _, row := range t.rows {
		covered[row.Control] = true
		beat := t.heartbeat(payload)
		beat.Echo = row.LastBeat
		beat.EchoIncarnation = row.Incarnation
		if row.introductionsSent < introductionBeats {
			row.introductionsSent++
			beat.Members = t.addresses(row.Name)
			row.needsAnnouncements = true
		}
		if row.needsAnnouncements && t.sendsServers(row.Name) {
			beat.Servers = payload.AllServers()
			row.needsAnnouncements = false
		}
		envelopes = append(envelopes, t.envelope(row.Name, row.Control, beat))
	}
	for _, seed := range t.seeds {
		if !covered[seed] {
			envelopes = append(envelopes, t.envelope("", seed, t.heartbeat(payload)))
		}
	}
	return envelopes
}

func (t *Table) heartbeat(payload Payload) zf.Heartbeat {
	return zf.Heartbeat{
		Centre:             t.config.Self.Centre,
		Control:            t.config.Self.Control,
		Relay:              t.config.Self.Relay,
		Beat:               t.beat,
		State:              payload.StateSequence,
		SlotDigests:        payload.SlotDigests,
		Servers:            payload.Servers,
		ServerHeartbeats:   payload.ServerHeartbeats,
		NeedsAnnouncements: payload.NeedsAnnouncements,
		Ready:              payload.Ready,
	}
}

func (t *Table) envelope(to zf.InstanceName, address netip.AddrPort, message zf.Message) zf.Envelope {
	return zf.Envelope{
		From:        t.config.Self.Name,
		Incarnation: t.config.Self.Incarnation,
		To:          to,
		Address:     address,
		Message:     message,
	}
}

// sendsServers reports whether this instance is the one that sends the
// announcements of all backend servers to a member: no third instance that is
// ready and in StateAlive precedes it by name.
func (t *Table) sendsServers(name zf.InstanceName) bool {
	for _, row := range t.rows {
		if row.Name != name && row.Ready && row.State == StateAlive && row.Name < t.config.Self.Name {
			return false
		}
	}
	return true
}

func (t *Table) addresses(except zf.InstanceName) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(t.rows))
	for _, row := range t.rows {
		if row.Name != except && row.State != StateLeft {
			addresses = append(addresses, row.Control)
		}
	}
	return addresses
}

// LeaveMessages returns the messages that announce the end of a planned stop to
// every member.
func (t *Table) LeaveMessages() []zf.Envelope {
	envelopes := make([]zf.Envelope, 0, len(t.rows))
	for _, row := range t.rows {
		envelopes = append(envelopes, t.envelope(row.Name, row.Control, zf.Leave{}))
	}
	return envelopes
}

// View returns the live members, this instance among them, sorted by name.
// A suspect member counts as live.
func (t *Table) View(now time.Time, ready bool) []zf.MemberView {
	self := t.config.Self
	self.Leased = true
	self.Recent = true
	self.Ready = ready
	view := make([]zf.MemberView, 0, len(t.rows)+1)
	view = append(view, self)
	for _, row := range t.rows {
		if row.State == StateDead || row.State == StateLeft {
			continue
		}
		view = append(view, zf.MemberView{
			Name:        row.Name,
			Centre:      row.Centre,
			Relay:       row.Relay,
			Control:     row.Control,
			Incarnation: row.Incarnation,
			Leased:      now.Sub(row.LeaseStart) < t.SuspectTimeout(),
			Recent:      now.Sub(row.LastHeartbeat) < recentIntervals*t.Interval(),
			Ready:       row.Ready,
			SlotDigests: row.SlotDigests,
		})
	}
	slices.SortFunc(view, func(a, b zf.MemberView) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		default:
			return 0
		}
	})
	return view
}
