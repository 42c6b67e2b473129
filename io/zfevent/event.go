// Package zfevent defines the numbered log events. docs/EVENTS.md lists them; a
// test checks that both agree.
package zfevent

import (
	"io"

	"github.com/phuslu/log"

	"zinniafront/core/zfcontrol"
)

// Event is one kind of log entry. The meaning of its number never changes.
type Event struct {
	Number int
	Name   string
	Level  log.Level
}

// The events of a process.
var (
	ProcessStarted  = register(1001, "process started", log.InfoLevel)
	ProcessStopping = register(1002, "process stopping", log.InfoLevel)
	ProcessStopped  = register(1003, "process stopped", log.InfoLevel)
	// ListenFailed is logged if a component of the process can't start.
	ListenFailed   = register(1004, "listen failed", log.ErrorLevel)
	StopIncomplete = register(1005, "planned stop ended before everything was handed over", log.WarnLevel)

	SettingsReloaded = register(1006, "settings reloaded", log.InfoLevel)
	SettingsRefused  = register(1007, "settings refused", log.ErrorLevel)
)

// The events of an entry instance.
var (
	ReadyChanged   = register(2001, "readiness changed", log.InfoLevel)
	MembersChanged = register(2002, "members changed", log.InfoLevel)
	ServersChanged = register(2003, "backend servers changed", log.InfoLevel)
	StateApplied   = register(2004, "control state in force", log.InfoLevel)
	StateRefused   = register(2005, "control state refused", log.WarnLevel)
	// ControlUnreachable is logged at the first fetch that fails, ControlReachable at the
	// first that succeeds after it. The other instance may also be an entry instance.
	ControlUnreachable = register(2009, "control instance not reached", log.WarnLevel)
	ControlReachable   = register(2010, "control instance reached", log.InfoLevel)
	// StopBegun is logged when the instance waits for a stop permit no longer and is no
	// longer ready.
	StopBegun  = register(2011, "planned stop begun", log.InfoLevel)
	EntryWaits = register(2012, "waiting to enter the rotation", log.InfoLevel)
	// StrainChanged is logged with the use of each measured resource.
	StrainChanged  = register(2013, "strain changed", log.WarnLevel)
	StepOutChanged = register(2014, "leave from the rotation by permit", log.WarnLevel)
	Routable       = register(2015, "packets can be routed", log.InfoLevel)
)

// The events of a control instance.
var (
	CommandDone          = register(3001, "command carried out", log.InfoLevel)
	CommandRefused       = register(3002, "command refused", log.WarnLevel)
	StateLoaded          = register(3003, "control state loaded", log.InfoLevel)
	StateSaveFailed      = register(3004, "control state not saved", log.ErrorLevel)
	LeaderChanged        = register(3005, "leader changed", log.InfoLevel)
	VotersChanged        = register(3006, "voters changed", log.InfoLevel)
	RecordLoaded         = register(3007, "replicated record loaded", log.InfoLevel)
	StateCommitted       = register(3008, "control state committed", log.InfoLevel)
	QuorumContactChanged = register(3009, "contact with a majority changed", log.InfoLevel)
	OperationUnanswered  = register(3010, "command or read not answered", log.WarnLevel)
	ServerAnnounced      = register(3011, "backend server told a new state", log.InfoLevel)
	AnnouncementRefused  = register(3012, "word of a backend server refused", log.WarnLevel)
	BundleRefused        = register(3013, "bundle refused", log.WarnLevel)
	ServersLoaded        = register(3014, "backend servers loaded", log.InfoLevel)
	// ServersSaveFailed only delays recovery after the next power loss.
	ServersSaveFailed = register(3015, "backend servers not saved", log.WarnLevel)
	ServerSuspected   = register(3016, "backend server leaves requests unanswered", log.WarnLevel)
	SubscribersLoaded = register(3017, "followers loaded", log.InfoLevel)
	// SubscribersSaveFailed only delays recovery after the next outage.
	SubscribersSaveFailed = register(3018, "followers not saved", log.WarnLevel)
	CommandUnconfirmed    = register(3019, "command to be confirmed", log.InfoLevel)
	DepartureChanged      = register(3020, "share of new flows that leave changed", log.InfoLevel)
	StepOutPermitChanged  = register(3022, "permit to leave the rotation", log.InfoLevel)
	AdmissionChanged      = register(3021, "admission of new flows changed", log.WarnLevel)
	VoterChangeProposed   = register(3023, "change of a voter proposed", log.InfoLevel)
)

// The events of an instance with the forward role, besides those of an entry instance.
var (
	FlowOpened          = register(5001, "flow opened", log.InfoLevel)
	FlowReset           = register(5002, "flow reset", log.InfoLevel)
	PacketDropped       = register(5003, "packet dropped", log.InfoLevel)
	LinesSuppressed     = register(5004, "log lines left out", log.InfoLevel)
	ServerStateChanged  = register(5005, "backend server changed", log.InfoLevel)
	CentresUnresponsive = register(5006, "data centres unresponsive", log.WarnLevel)
	FlowMoved           = register(5007, "open flow changed its backend server", log.WarnLevel)
	OpeningsInferred    = register(5008, "openings lead nowhere", log.WarnLevel)
)

// The events of requests.
var (
	RequestRefused = register(4001, "request refused", log.DebugLevel)
	RequestRetried = register(4002, "request tried again", log.DebugLevel)
)

var events []Event

func register(number int, name string, level log.Level) Event {
	event := Event{
		Number: number,
		Name:   name,
		Level:  level,
	}
	events = append(events, event)
	return event
}

// Events returns every event, in order of registration.
func Events() []Event { return events }

// Config holds what a logger is built from.
type Config struct {
	// Output receives one JSON document per line.
	Output io.Writer
	// Level is the lowest level that is written, by name.
	Level string
	// Instance is written with every entry.
	Instance string
	// Queue is the number of entries that may wait for the output, so that logging
	// doesn't block; entries over it are dropped. With 0, logging is synchronous.
	Queue uint
}

// Logger writes events.
type Logger struct {
	logger log.Logger
	queue  *log.AsyncWriter
}

// New returns a logger.
func New(config Config) *Logger {
	l := &Logger{
		logger: log.Logger{
			Level:   log.ParseLevel(config.Level),
			Context: log.NewContext(nil).Str("instance", config.Instance).Value(),
			Writer: &log.IOWriter{
				Writer: config.Output,
			},
		},
	}
	if config.Queue > 0 {
		l.queue = &log.AsyncWriter{
			Writer:        l.logger.Writer,
			ChannelSize:   config.Queue,
			DiscardOnFull: true,
		}
		l.logger.Writer = l.queue
	}
	return l
}

// Close writes the queued entries.
func (l *Logger) Close() {
	if l.queue != nil {
		_ = l.queue.Close() // There is no other output to report it to.
	}
}

// OfCommand returns the event of a command's outcome. A command that found the state as
// requested counts as carried out.
func OfCommand(status zfcontrol.Status) Event {
	switch {
	case status.Succeeded():
		return CommandDone
	case status == zfcontrol.StatusUnconfirmed:
		return CommandUnconfirmed
	default:
		return CommandRefused
	}
}

// Entry starts an entry for an event; the entry's Msg method writes it.
func (l *Logger) Entry(event Event) *log.Entry {
	return l.logger.WithLevel(event.Level).Int("event", event.Number).Str("name", event.Name)
}
