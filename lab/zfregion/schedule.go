package zfregion

import (
	"fmt"
	"strings"
	"time"

	zf "zinniafront"
)

// Action is the kind of an event.
type Action string

// The actions of events.
const (
	ActionDrain     Action = "drain"
	ActionUndrain   Action = "undrain"
	ActionJoin      Action = "join"
	ActionCrash     Action = "crash"
	ActionRevive    Action = "revive"
	ActionKill      Action = "kill"
	ActionStart     Action = "start"
	ActionStop      Action = "stop"
	ActionOut       Action = "out"
	ActionIn        Action = "in"
	ActionRoll      Action = "roll"
	ActionPartition Action = "partition"
	// ActionMute drops what an instance sends to other instances. It still
	// receives.
	ActionMute Action = "mute"
	ActionHeal Action = "heal"
)

// Event is one event of a schedule.
type Event struct {
	// After is the time since the previous event.
	After  time.Duration
	Action Action
	// Target selects the instance, backend server, service or data centre; it
	// is reduced modulo their number.
	Target int
}

// String formats the event for ParseEvent.
func (e Event) String() string {
	return fmt.Sprintf("%s %s %d", e.After, e.Action, e.Target)
}

// ParseEvent parses an event of the form "AFTER ACTION TARGET", for example
// "1.5s drain 3".
func ParseEvent(line string) (Event, error) {
	var after string
	var e Event
	if _, err := fmt.Sscanf(strings.TrimSpace(line), "%s %s %d", &after, &e.Action, &e.Target); err != nil {
		return e, fmt.Errorf("event %q is not of the form \"AFTER ACTION TARGET\": %w", line, err)
	}
	var err error
	e.After, err = time.ParseDuration(after)
	return e, err
}

// minInstanceLossInterval is the shortest time between two losses of instances.
// Two losses at once may destroy both copies of a flow row.
const minInstanceLossInterval = 15 * time.Second

// Apply applies an event, unless it doesn't fit the current state or too little
// would remain: two ready instances, two backend servers of each service that
// accept flows, and one data centre always do.
func (r *Region) Apply(e Event) {
	switch e.Action {
	case ActionDrain, ActionCrash, ActionUndrain, ActionRevive:
		r.applyServer(e)
	case ActionJoin:
		services := r.state.Bundle.Services
		r.AddServer(services[e.Target%len(services)].Name)
	case ActionKill, ActionStop, ActionStart, ActionPartition, ActionMute:
		r.applyInstance(e)
	case ActionOut, ActionIn:
		r.applyCentre(e)
	case ActionRoll:
		next := *r.state.Bundle
		next.Version++
		r.RollBundle(&next)
	case ActionHeal:
		r.Heal()
	}
}

func (r *Region) applyServer(e Event) {
	server := r.servers.list[e.Target%len(r.servers.list)]
	available := 0
	for _, other := range r.servers.list {
		if other.Running && other.Service == server.Service && other.State != zf.ServerDraining {
			available++
		}
	}
	switch {
	case e.Action == ActionDrain && server.Running && server.State != zf.ServerDraining && available > 2:
		r.DrainServer(server)
	case e.Action == ActionUndrain && server.Running && server.State == zf.ServerDraining:
		r.UndrainServer(server)
	case e.Action == ActionCrash && server.Running && available > 2:
		r.CrashServer(server)
	case e.Action == ActionRevive && !server.Running:
		r.ReviveServer(server)
	}
}

func (r *Region) applyInstance(e Event) {
	i := e.Target % len(r.instances)
	instance := r.instances[i]
	enoughReady := len(r.ReadyInstances()) > 2
	switch {
	case e.Action == ActionKill && instance.Running && enoughReady && r.now.Sub(r.lastInstanceLoss) >= minInstanceLossInterval:
		r.lastInstanceLoss = r.now
		r.KillInstance(i)
	case e.Action == ActionStop && instance.Running && enoughReady:
		r.StopInstance(i)
	case e.Action == ActionStart:
		r.StartInstance(i)
	case e.Action == ActionPartition && instance.Running && enoughReady && r.now.Sub(r.lastInstanceLoss) >= minInstanceLossInterval:
		r.lastInstanceLoss = r.now
		r.Partition(1, i)
	case e.Action == ActionMute && instance.Running:
		instance.DropOutgoing = true
	}
}

func (r *Region) applyCentre(e Event) {
	centres := r.state.Bundle.Centres
	centre := centres[e.Target%len(centres)].Name
	if e.Action == ActionIn {
		r.SetCentreOut(centre, false)
	} else if len(r.state.Out)+1 < len(centres) {
		r.SetCentreOut(centre, true)
	}
}
