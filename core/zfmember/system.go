package zfmember

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Tick ages the rows and returns the heartbeats that are due.
func (t *Table) Tick(now time.Time, content func() Payload) []zf.Envelope {
	t.age(now)
	if now.Before(t.nextBeat) {
		return nil
	}
	t.nextBeat = now.Add(t.Interval())
	t.beat++
	t.sent[t.beat%beatsKept] = now
	return t.heartbeats(content())
}

func (t *Table) age(now time.Time) {
	fence, dead := t.SuspectTimeout(), t.DeadTimeout()
	kept := t.rows[:0]
	for _, row := range t.rows {
		silent := now.Sub(row.LastHeartbeat)
		switch {
		case row.State == StateAlive && silent >= fence:
			row.State = StateSuspect
		case row.State == StateSuspect && silent >= dead:
			row.State = StateDead
			t.revision++
		}
		if silent < t.config.RemoveAfter {
			kept = append(kept, row)
			continue
		}
		t.seeds = remember(t.seeds, row.Control)
	}
	t.rows = kept
}

// remember keeps the address of a forgotten row so that it is still greeted.
func remember(seeds []netip.AddrPort, address netip.AddrPort) []netip.AddrPort {
	if slices.Contains(seeds, address) {
		return seeds
	}
	return append(seeds, address)
}

// heartbeats returns one heartbeat for each known row and each address that
// no row answers for. Dead rows are greeted too, so that a healed link shows.
func (t *Table) heartbeats(content Payload) []zf.Envelope {
	envelopes := make([]zf.Envelope, 0, len(t.rows)+len(t.seeds))
	covered := make(map[netip.AddrPort]bool, len(t.rows))
	for _, row := range t.rows {
		covered[row.Control] = true
		beat := t.heartbeat(content)
		beat.Echo = row.LastBeat
		beat.EchoIncarnation = row.Incarnation
		if row.introduced < introductions {
			row.introduced++
			beat.Members = t.addresses(row.Name)
			row.lacks = true
		}
		if row.lacks && t.introduces(row.Name) {
			beat.Servers = content.AllServers()
			row.lacks = false
		}
		envelopes = append(envelopes, t.envelope(row.Name, row.Control, beat))
	}
	for _, seed := range t.seeds {
		if !covered[seed] {
			envelopes = append(envelopes, t.envelope("", seed, t.heartbeat(content)))
		}
	}
	return envelopes
}

func (t *Table) heartbeat(content Payload) zf.Heartbeat {
	return zf.Heartbeat{
		Centre:             t.config.Self.Centre,
		Control:            t.config.Self.Control,
		Relay:              t.config.Self.Relay,
		Beat:               t.beat,
		State:              content.StateSequence,
		Slots:              content.Slots,
		Servers:            content.Servers,
		ServerHeartbeats:   content.ServerHeartbeats,
		NeedsAnnouncements: content.NeedsAnnouncements,
		Ready:              content.Ready,
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

// introduces reports whether this instance is the one that tells a new member
// of every backend server: the first live one by name.
func (t *Table) introduces(name zf.InstanceName) bool {
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

// LeaveMessages returns the messages that tell every member of a planned stop.
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
			Recent:      now.Sub(row.LastHeartbeat) < recentBeats*t.Interval(),
			Ready:       row.Ready,
			Slots:       row.Slots,
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
