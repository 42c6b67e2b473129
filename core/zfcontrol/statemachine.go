// Package zfcontrol implements the state machine of the control state. Its table
// holds the accepted bundles by version. Commands of operators are applied one at
// a time and are idempotent: a repeated command has StatusAlready, or StatusStale if
// its bundle was removed since. With StatusAlready, the outcome of AcceptCommand and
// RollCommand has the sequence of the change that the first command made. A repeated
// CentreCommand has a sequence of its own, which rejects earlier commands that were
// confirmed but are still on their way.
package zfcontrol

import (
	"slices"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
)

// Command is an operator's request to change the control state.
type Command interface{ command() }

// AcceptCommand stores a signed bundle without putting it in force.
type AcceptCommand struct {
	Signed []byte
	// Digest identifies the signed document, Bundle is its content.
	Digest string
	Bundle *zfbundle.Bundle
}

// PutCommand accepts a new bundle and puts it in force in one step. It changes
// nothing if the bundle was accepted already.
type PutCommand struct {
	AcceptCommand
}

// RollCommand puts an accepted bundle in force.
type RollCommand struct {
	Version uint64
}

// CentreCommand takes a data centre out of service or brings it back. A delayed copy of
// an earlier command must not undo a later one, so the operator has to confirm it against
// the control state: one that would take the data centre out or bring it back has
// StatusUnconfirmed if another command for the data centre succeeded after AsOf.
type CentreCommand struct {
	Centre zf.CentreName
	Out    bool
	// AsOf is the sequence of the control state that the operator has seen, or 0.
	AsOf uint64
}

// SettleCommand records that the backend servers of a data centre have told whether they are
// cold since the command with Sequence brought it back into service.
type SettleCommand struct {
	Centre   zf.CentreName
	Sequence uint64
}

func (AcceptCommand) command() {}
func (RollCommand) command()   {}
func (CentreCommand) command() {}
func (PutCommand) command()    {}
func (SettleCommand) command() {}

// Status is the status of a command's outcome.
type Status uint8

// The statuses.
const (
	// StatusDone means that the command changed the state.
	StatusDone Status = iota
	// StatusAlready means that the state already was as requested.
	StatusAlready
	// StatusConflict means that the version belongs to a bundle with another
	// digest.
	StatusConflict
	// StatusStale means that a later version was accepted or put in force.
	StatusStale
	// StatusUnknown means that the bundle, the data centre or the command doesn't
	// exist.
	StatusUnknown
	// StatusForeign means that the bundle belongs to another deployment.
	StatusForeign
	// StatusLastCentre means that the last data centre can't be taken out.
	StatusLastCentre
	// StatusUnconfirmed means that nothing was changed and that the command has to be
	// repeated with the sequence of the outcome.
	StatusUnconfirmed
)

var statusNames = [...]string{
	StatusDone:        "done",
	StatusAlready:     "already",
	StatusConflict:    "conflict",
	StatusStale:       "stale",
	StatusUnknown:     "unknown",
	StatusForeign:     "foreign",
	StatusLastCentre:  "last",
	StatusUnconfirmed: "unconfirmed",
}

// Succeeded reports whether the state is as the command requested.
func (s Status) Succeeded() bool { return s == StatusDone || s == StatusAlready }

// String returns the status' name in reports.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Outcome is the result of a command.
type Outcome struct {
	Status Status
	// Sequence is the sequence of the change that the outcome refers to.
	Sequence uint64
	// Version and Digest identify the bundle that the outcome refers to.
	Version uint64
	Digest  string
}

// Accepted is an accepted bundle.
type Accepted struct {
	Version uint64
	Digest  string
	// Signed is the document as submitted: a signed bundle, or the platform's
	// configuration, which is not signed.
	Signed []byte
	// Sequence is the sequence at which the bundle was accepted.
	Sequence uint64
	// Rolled is the sequence at which the bundle was put in force, or 0.
	Rolled uint64
}

// State is the whole control state.
type State struct {
	// Sequence is the number of changes so far.
	Sequence uint64
	// Name is the name of the deployment, as given by its first bundle.
	Name string
	// Bundles are the accepted bundles, sorted by version.
	Bundles []Accepted
	// InForce is the version of the bundle in force, or 0.
	InForce uint64
	// Centres are the data centres of the bundle in force.
	Centres []zf.CentreName
	// Out are the data centres taken out of service. Returned are the others for which
	// a command has succeeded.
	Out      []CentreEntry
	Returned []CentreEntry
}

// CentreEntry is a data centre with the sequence of the last command that succeeded for
// it, or of the bundle that removed it.
type CentreEntry struct {
	Centre   zf.CentreName
	Sequence uint64
	// Recent is set from the return of a data centre until the SettleCommand for it. It
	// outlasts an outage of all instances, so that they know which backend servers may
	// be cold.
	Recent bool
}

// DefaultMaxBundles is the default of Config.MaxBundles. It lets an operator look
// back at the bundles of several days.
const DefaultMaxBundles = 64

// Config holds the parameters of a state machine.
type Config struct {
	// State is the initial state.
	State State
	// Decode returns the bundle of a document as stored in the control state.
	Decode func(document []byte) (*zfbundle.Bundle, error)
	// MaxBundles is the maximum number of accepted bundles; the oldest ones that
	// are not in force are removed.
	MaxBundles int
	// AllowAllCentresOut allows the last data centre to be taken out.
	AllowAllCentresOut bool
}

// StateMachine applies commands to the control state.
type StateMachine struct {
	config Config
	state  State
	// centres holds the data centres of each accepted bundle by version.
	centres map[uint64][]zf.CentreName
}

// NewStateMachine returns a state machine that starts from config.State.
func NewStateMachine(config Config) (*StateMachine, error) {
	m := &StateMachine{
		config:  config,
		state:   config.State,
		centres: make(map[uint64][]zf.CentreName),
	}
	for _, accepted := range m.state.Bundles {
		bundle, err := config.Decode(accepted.Signed)
		if err != nil {
			return nil, err
		}
		m.centres[accepted.Version] = centresOf(bundle)
	}
	return m, nil
}

func centresOf(bundle *zfbundle.Bundle) []zf.CentreName {
	centres := make([]zf.CentreName, 0, len(bundle.Centres))
	for _, centre := range bundle.Centres {
		centres = append(centres, centre.Name)
	}
	return centres
}

// State returns the control state. Its slices must not be modified.
func (m *StateMachine) State() State { return m.state }

// Apply executes a command.
func (m *StateMachine) Apply(command Command) Outcome {
	switch command := command.(type) {
	case AcceptCommand:
		outcome := m.accept(command)
		m.prune()
		return outcome
	case PutCommand:
		return m.put(command)
	case RollCommand:
		return m.roll(command)
	case CentreCommand:
		return m.setCentreOut(command)
	case SettleCommand:
		return m.settle(command)
	default:
		return Outcome{
			Status: StatusUnknown,
		}
	}
}

func (m *StateMachine) findBundle(version uint64) *Accepted {
	for i := range m.state.Bundles {
		if m.state.Bundles[i].Version == version {
			return &m.state.Bundles[i]
		}
	}
	return nil
}

func (m *StateMachine) nextSequence() uint64 {
	m.state.Sequence++
	return m.state.Sequence
}

func (m *StateMachine) accept(command AcceptCommand) Outcome {
	version := command.Bundle.Version
	if m.state.Name != "" && m.state.Name != command.Bundle.Name {
		return Outcome{
			Status:  StatusForeign,
			Version: version,
			Digest:  command.Digest,
		}
	}
	if existing := m.findBundle(version); existing != nil {
		status := StatusAlready
		if existing.Digest != command.Digest {
			status = StatusConflict
		}
		return existing.outcome(status, existing.Sequence)
	}
	if n := len(m.state.Bundles); n > 0 && m.state.Bundles[n-1].Version > version {
		newest := m.state.Bundles[n-1]
		return newest.outcome(StatusStale, newest.Sequence)
	}
	accepted := Accepted{
		Version:  version,
		Digest:   command.Digest,
		Signed:   command.Signed,
		Sequence: m.nextSequence(),
	}
	m.state.Name = command.Bundle.Name
	m.state.Bundles = append(slices.Clone(m.state.Bundles), accepted)
	m.centres[version] = centresOf(command.Bundle)
	return accepted.outcome(StatusDone, accepted.Sequence)
}

func (m *StateMachine) put(command PutCommand) Outcome {
	outcome := m.accept(command.AcceptCommand)
	if outcome.Status != StatusDone && outcome.Status != StatusAlready {
		return outcome
	}
	outcome = m.roll(RollCommand{
		Version: outcome.Version,
	})
	m.prune()
	return outcome
}

// prune removes the oldest bundles that are not in force while there are more than
// MaxBundles.
func (m *StateMachine) prune() {
	for i := 0; len(m.state.Bundles) > m.config.MaxBundles && i < len(m.state.Bundles); {
		version := m.state.Bundles[i].Version
		if version == m.state.InForce {
			i++
			continue
		}
		delete(m.centres, version)
		m.state.Bundles = slices.Delete(m.state.Bundles, i, i+1)
	}
}

func (a Accepted) outcome(status Status, sequence uint64) Outcome {
	return Outcome{
		Status:   status,
		Sequence: sequence,
		Version:  a.Version,
		Digest:   a.Digest,
	}
}

func (m *StateMachine) roll(command RollCommand) Outcome {
	accepted := m.findBundle(command.Version)
	switch {
	case accepted != nil && accepted.Rolled != 0:
		return accepted.outcome(StatusAlready, accepted.Rolled)
	case command.Version < m.state.InForce:
		newest := m.findBundle(m.state.InForce)
		return newest.outcome(StatusStale, newest.Rolled)
	case accepted == nil:
		return Outcome{
			Status:  StatusUnknown,
			Version: command.Version,
		}
	}
	m.state.Bundles = slices.Clone(m.state.Bundles)
	accepted = m.findBundle(command.Version)
	accepted.Rolled = m.nextSequence()
	m.state.InForce = command.Version
	m.state.Centres = m.centres[command.Version]
	for _, out := range m.state.Out {
		if !slices.Contains(m.state.Centres, out.Centre) {
			m.recordCentre(out.Centre, false, false, accepted.Rolled)
		}
	}
	return accepted.outcome(StatusDone, accepted.Rolled)
}

// recordCentre records whether a data centre is out, or has returned recently, as of a sequence.
func (m *StateMachine) recordCentre(centre zf.CentreName, out, recent bool, sequence uint64) {
	isCentre := func(e CentreEntry) bool { return e.Centre == centre }
	m.state.Out = slices.DeleteFunc(slices.Clone(m.state.Out), isCentre)
	m.state.Returned = slices.DeleteFunc(slices.Clone(m.state.Returned), isCentre)
	entry := CentreEntry{
		Centre:   centre,
		Sequence: sequence,
		Recent:   recent,
	}
	if out {
		m.state.Out = append(m.state.Out, entry)
		return
	}
	m.state.Returned = append(m.state.Returned, entry)
}

// centreStatus returns whether a data centre is out, and as of which sequence.
func (m *StateMachine) centreStatus(centre zf.CentreName) (sequence uint64, out bool) {
	for _, e := range m.state.Out {
		if e.Centre == centre {
			return e.Sequence, true
		}
	}
	for _, e := range m.state.Returned {
		if e.Centre == centre {
			return e.Sequence, false
		}
	}
	return 0, false
}

func (m *StateMachine) setCentreOut(command CentreCommand) Outcome {
	outcome := Outcome{
		Status:   StatusUnknown,
		Sequence: m.state.Sequence,
		Version:  m.state.InForce,
	}
	if !slices.Contains(m.state.Centres, command.Centre) {
		return outcome
	}
	last, out := m.centreStatus(command.Centre)
	confirmed := command.AsOf != 0 && last <= command.AsOf && command.AsOf <= m.state.Sequence
	switch {
	case command.Out == out:
		outcome.Status = StatusAlready
	case !confirmed:
		outcome.Status = StatusUnconfirmed
		return outcome
	case command.Out && !m.config.AllowAllCentresOut && len(m.state.Out)+1 >= len(m.state.Centres):
		outcome.Status = StatusLastCentre
		return outcome
	default:
		outcome.Status = StatusDone
	}
	// With StatusAlready as well: earlier commands may still be on their way.
	outcome.Sequence = m.nextSequence()
	recent := !command.Out && (out || m.isRecent(command.Centre))
	m.recordCentre(command.Centre, command.Out, recent, outcome.Sequence)
	return outcome
}

func (m *StateMachine) isRecent(centre zf.CentreName) bool {
	return slices.ContainsFunc(m.state.Returned, func(e CentreEntry) bool { return e.Centre == centre && e.Recent })
}

func (m *StateMachine) settle(command SettleCommand) Outcome {
	i := slices.IndexFunc(m.state.Returned, func(e CentreEntry) bool {
		return e.Centre == command.Centre && e.Sequence == command.Sequence && e.Recent
	})
	if i < 0 {
		return Outcome{
			Status:   StatusAlready,
			Sequence: m.state.Sequence,
		}
	}
	m.state.Returned = slices.Clone(m.state.Returned)
	m.state.Returned[i].Recent = false
	return Outcome{
		Status:   StatusDone,
		Sequence: m.nextSequence(),
	}
}
