// Package zfinstance combines the tables and systems of an entry instance that
// exchanges members, backend servers and slot tables with the other entry
// instances. zfforward is the alternative, whose instances fetch the backend
// servers from control instances and need no slot tables. A World belongs to
// the control goroutine: events update its tables, and each tick runs the
// systems in a fixed order and returns the messages to send.
package zfinstance

import (
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfmember"
	"zinniafront/core/zfrequest"
	"zinniafront/core/zfserver"
)

// Config holds the dependencies of a world.
type Config struct {
	Member zfmember.Config
	Mapper zf.Mapper
	Picker zf.Picker
	Random zf.Random
}

// State is a control state that an instance puts in force.
type State struct {
	Sequence uint64
	Bundle   *zfbundle.Bundle
	// Digest identifies the bundle's signed document.
	Digest string
	Out    []zf.CentreName
}

// stopNotice is the minimum time between the start of a planned stop and its
// end, so that the fabric and every other instance detect it and send their
// last packets.
const stopNotice = 1500 * time.Millisecond

// World is one instance's tables and systems.
type World struct {
	self     zf.MemberView
	members  *zfmember.Table
	servers  *zfserver.Table
	requests *zfrequest.Table
	mapper   zf.Mapper
	state    State
	services []zf.ServiceView
	// needsAnnouncements is set if a ServerHeartbeat named a backend server that
	// is unknown or gone here.
	needsAnnouncements bool
	stopping           bool
	// stopBegan is when the planned stop began.
	stopBegan     time.Time
	view          zf.View
	viewRevisions revisions
}

// revisions identifies the state that a view was built from.
type revisions struct {
	members uint64
	servers uint64
	state   uint64
	ready   bool
}

// New returns a world without control state.
func New(config Config) *World {
	return &World{
		self:    config.Member.Self,
		members: zfmember.New(config.Member),
		servers: zfserver.New(zfserver.DefaultConfig()),
		requests: zfrequest.New(zfrequest.Config{
			Picker: config.Picker,
			Random: config.Random,
		}),
		mapper: config.Mapper,
	}
}

// Mapper returns the mapper; its Route is called by the traffic goroutines.
func (w *World) Mapper() zf.Mapper { return w.mapper }

// Members returns the table of instances.
func (w *World) Members() *zfmember.Table { return w.members }

// Servers returns the table of backend servers.
func (w *World) Servers() *zfserver.Table { return w.servers }

// Requests returns the table of requests.
func (w *World) Requests() *zfrequest.Table { return w.requests }

// Self returns this instance.
func (w *World) Self() zf.MemberView { return w.self }

// Stopping reports whether a planned stop has begun.
func (w *World) Stopping() bool { return w.stopping }

// State returns the control state in force here.
func (w *World) State() State { return w.state }

// ApplyState puts a control state in force and reports whether it did. A state
// that is not newer than the one in force is refused, so that no change is
// reverted.
func (w *World) ApplyState(state State) bool {
	if state.Sequence <= w.state.Sequence {
		return false
	}
	w.state = state
	w.services = nil
	if state.Bundle == nil {
		return true
	}
	for _, service := range state.Bundle.Services {
		w.services = append(w.services, service.View())
	}
	limits := state.Bundle.Limits
	config := zfserver.DefaultConfig()
	config.SilentTimeout = limits.Expiry
	config.GoneTimeout = limits.Gone
	config.RampTime = limits.Ramp
	w.servers.Configure(config)
	w.requests.Configure(state.Bundle)
	return true
}

// Announce handles an announcement that a backend server sent to this instance.
func (w *World) Announce(a zf.Announcement, now time.Time) zf.Reason {
	return w.announce(a, true, now)
}

func (w *World) announce(a zf.Announcement, direct bool, now time.Time) zf.Reason {
	if w.state.Bundle == nil {
		return zf.ReasonNotReady
	}
	service := w.state.Bundle.Find(a.Service)
	if service == nil || !w.state.Bundle.HasCentre(a.Centre) {
		return zf.ReasonBadField
	}
	limit := service.Pool.Capacity
	a.Capacity.Slots = min(a.Capacity.Slots, limit.Slots)
	a.Capacity.Connections = min(a.Capacity.Connections, limit.Connections)
	return w.servers.Announce(a, direct, now)
}

// Receive handles a message from another instance.
func (w *World) Receive(envelope zf.Envelope, now time.Time) {
	switch message := envelope.Message.(type) {
	case zf.Heartbeat:
		if !w.members.HandleHeartbeat(envelope.From, envelope.Incarnation, message, now) {
			return
		}
		for _, a := range message.Servers {
			w.announce(a, false, now)
		}
		for _, beat := range message.ServerHeartbeats {
			w.needsAnnouncements = !w.servers.Refresh(beat, now) || w.needsAnnouncements
		}
	case zf.Leave:
		w.members.HandleLeave(envelope.From, envelope.Incarnation)
	default:
		row := w.members.Find(envelope.From)
		if row == nil || row.Incarnation != envelope.Incarnation {
			return
		}
		w.mapper.Receive(envelope.From, envelope.Message, now)
	}
}

// Ready reports whether the instance may receive traffic.
func (w *World) Ready() bool {
	return !w.stopping && w.state.Bundle != nil && w.viewRevisions.state == w.state.Sequence && w.mapper.Synced()
}

// Stop begins a planned stop: the instance is no longer ready and hands over
// what it owns.
func (w *World) Stop(now time.Time) {
	if !w.stopping {
		w.stopping = true
		w.stopBegan = now
	}
}

// Stopped reports whether a planned stop is complete: everything is handed over
// and no request is running.
func (w *World) Stopped(now time.Time) bool {
	if !w.stopping || now.Sub(w.stopBegan) < stopNotice {
		return false
	}
	// A silent member may be dead, and this instance the only one with its rows.
	silent := slices.ContainsFunc(w.view.Members, func(m zf.MemberView) bool { return !m.Recent })
	return !silent && !w.mapper.Busy() && w.requests.Running() == 0
}

// LeaveMessages returns the messages that announce the end of a planned stop.
func (w *World) LeaveMessages() []zf.Envelope {
	return w.setSender(w.members.LeaveMessages())
}

// Tick runs every system once and returns the messages to send.
func (w *World) Tick(now time.Time) []zf.Envelope {
	w.servers.Tick(now)
	w.refresh(now)
	envelopes := w.mapper.Tick(now, w.view)
	w.requests.Tick(now, w.servers, w.state.Out)
	envelopes = append(envelopes, w.members.Tick(now, w.heartbeatPayload)...)
	return w.setSender(envelopes)
}

// TickRequests runs only the system of requests, so that a new request or a free
// slot is handled before the next tick.
func (w *World) TickRequests(now time.Time) {
	w.requests.Tick(now, w.servers, w.state.Out)
}

// refresh updates the parts of the view that changed. Members are rebuilt each
// time, as their leases and digests change without a new revision.
func (w *World) refresh(now time.Time) {
	w.view.Self = w.self.Name
	w.view.Members = w.members.View(now, w.Ready())
	seen := revisions{
		members: w.members.Revision(),
		servers: w.servers.Revision(),
		state:   w.state.Sequence,
		ready:   w.Ready(),
	}
	if w.view.Servers == nil || seen.servers != w.viewRevisions.servers || seen.state != w.viewRevisions.state {
		w.view.Servers = w.servers.View(w.state.Out)
	}
	w.view.Services = w.services
	if seen != w.viewRevisions {
		w.view.Revision++
	}
	w.viewRevisions = seen
}

func (w *World) heartbeatPayload() zfmember.Payload {
	announcements, beats := w.servers.TakePending()
	needsAnnouncements := w.needsAnnouncements
	w.needsAnnouncements = false
	return zfmember.Payload{
		StateSequence:      w.state.Sequence,
		SlotDigests:        w.mapper.Digests(),
		Servers:            announcements,
		ServerHeartbeats:   beats,
		NeedsAnnouncements: needsAnnouncements,
		AllServers:         w.servers.Announcements,
		Ready:              w.Ready(),
	}
}

func (w *World) setSender(envelopes []zf.Envelope) []zf.Envelope {
	for i := range envelopes {
		envelopes[i].From = w.self.Name
		envelopes[i].Incarnation = w.self.Incarnation
	}
	return envelopes
}
