// Package zfcontroller joins the tables and systems of one control instance that
// shares the control state with others: the registry of backend servers, its
// part in the replication, and the commands and reads of operators. A World
// belongs to the control goroutine.
package zfcontroller

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfload"
	"zinniafront/core/zfoutlier"
	"zinniafront/core/zfpermit"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
)

// ErrUnavailable tells that the control state can't be read or changed here now.
// A change may still come into force.
var ErrUnavailable = errors.New("no majority of the control instances answers")

// Config holds what a world is built from.
type Config struct {
	Quorum   zfquorum.Config
	Registry zfregistry.Config
	Outlier  zfoutlier.Config
	// Decode returns the bundle of a document in the control state.
	Decode func(document []byte) (*zfbundle.Bundle, error)
}

const (
	// operationTimeout is how long a command or a read waits; callers give up
	// after a second.
	operationTimeout = 850 * time.Millisecond
	// quorumTimeout is how old the last contact with a majority may be for
	// silence of backend servers to mean something.
	quorumTimeout = 1200 * time.Millisecond
)

// OperationID identifies a command or a read.
type OperationID uint64

// Result is what became of a command or a read.
type Result struct {
	ID      OperationID
	Outcome zfcontrol.Outcome
	// State is the committed state that a read returns, or the one after a
	// command, and Index that of its entry.
	State zfcontrol.State
	Index uint64
	// Redirect is the leader to ask in place of this instance, if it is not zero.
	Redirect zfquorum.Node
	// Err is ErrUnavailable, or nil.
	Err error
}

// operation is a command or a read that waits. A read has no command.
type operation struct {
	id       OperationID
	command  zfcontrol.Command
	deadline time.Time
	// forwarded tells that another instance sent it here as to the leader.
	forwarded bool
	// applied tells that the command has its outcome.
	applied bool
	outcome zfcontrol.Outcome
	// round is the round of heartbeats that a read waits for, or a command that
	// changed nothing.
	round uint64
	// index and term are those of the entry that a command waits for.
	index uint64
	term  uint64
	err   error
}

// World is one control instance's tables and systems.
type World struct {
	config        Config
	replica       *zfquorum.Replica
	registry      *zfregistry.Table
	outliers      *zfoutlier.Table
	loads         *zfload.Table
	stopPermits   *zfpermit.Table
	lastDetection time.Time
	newOutliers   []zfoutlier.Outlier
	stateMachine  *zfcontrol.StateMachine
	// stateMachineTerm is the term of the leadership that machine belongs to.
	stateMachineTerm uint64
	operations       []operation
	results          []Result
	// peerContact is when each other control instance told anything last.
	peerContact map[netip.AddrPort]time.Time
	// quorumSince is since when this instance has been in touch with a majority.
	quorumSince time.Time
}

// New returns a world.
func New(config Config, now time.Time) *World {
	return &World{
		config:      config,
		replica:     zfquorum.New(config.Quorum, now),
		registry:    zfregistry.New(config.Registry),
		outliers:    zfoutlier.New(config.Outlier),
		loads:       zfload.New(),
		stopPermits: zfpermit.New(),

		peerContact: make(map[netip.AddrPort]time.Time),
	}
}

// Replica returns the instance's part in the replication.
func (w *World) Replica() *zfquorum.Replica { return w.replica }

// Loads returns the loads of backend servers as entry instances tell them.
func (w *World) Loads() *zfload.Table { return w.loads }

// StopPermits returns the turns of entry instances to stop.
func (w *World) StopPermits() *zfpermit.Table { return w.stopPermits }

// Registry returns the table of backend servers.
func (w *World) Registry() *zfregistry.Table { return w.registry }

// QuorumSince returns since when this instance has been in touch with a majority,
// or the zero value.
func (w *World) QuorumSince() time.Time { return w.quorumSince }

// Submit takes a command, or a read if command is nil. forwarded tells that another
// instance took this one for the leader.
func (w *World) Submit(id OperationID, command zfcontrol.Command, forwarded bool, now time.Time) {
	w.operations = append(w.operations, operation{
		id:        id,
		command:   command,
		deadline:  now.Add(operationTimeout),
		forwarded: forwarded,
	})
	w.advanceOperations(now)
}

// Receive takes a message of another control instance.
func (w *World) Receive(m zfquorum.Message, now time.Time) {
	w.replica.Receive(m, now)
	w.advanceOperations(now)
}

// MarkSaved notes that a record is on disk.
func (w *World) MarkSaved(serial uint64, now time.Time) {
	w.replica.MarkSaved(serial, now)
	w.advanceOperations(now)
}

// Tick runs every system once.
func (w *World) Tick(now time.Time) {
	w.replica.Tick(now)
	w.updateQuorumContact(now)
	w.registry.Tick(now, w.quorumSince)
	w.stopPermits.Tick(now)
	w.detectOutliers(now)
	w.advanceOperations(now)
}

// updateQuorumContact notes whether this instance is in touch with a majority.
func (w *World) updateQuorumContact(now time.Time) {
	switch reachable := now.Sub(w.replica.LastContact(now)) < quorumTimeout; {
	case !reachable:
		w.quorumSince = time.Time{}
	case w.quorumSince.IsZero():
		w.quorumSince = now
	}
}

// TakeResults returns the answers that are ready.
func (w *World) TakeResults() []Result {
	results := w.results
	w.results = nil
	return results
}

func (w *World) addResult(op operation, result Result) {
	result.ID = op.id
	w.results = append(w.results, result)
}

// advanceOperations moves every ask on as far as it goes.
func (w *World) advanceOperations(now time.Time) {
	if len(w.operations) == 0 {
		return
	}
	w.startOperations(now)
	w.operations = slices.DeleteFunc(w.operations, func(op operation) bool { return w.complete(op, now) })
}

// complete answers an ask if its answer is known.
func (w *World) complete(op operation, now time.Time) bool {
	leader, known := w.replica.Leader()
	committed := w.replica.Committed()
	switch {
	case op.err != nil:
		w.addResult(op, Result{
			Err: op.err,
		})
	case op.index != 0 && op.term != w.replica.Term():
		w.addResult(op, Result{
			Err: ErrUnavailable,
		})
	case op.index != 0 && committed.Term == op.term && committed.Index >= op.index,
		op.round != 0 && w.replica.Leading() && w.replica.ConfirmedRound() >= op.round:
		w.addResult(op, Result{
			Outcome: op.outcome,
			State:   committed.State,
			Index:   committed.Index,
		})
	case known && leader.ID != w.replica.Self().ID && op.index == 0 && !op.forwarded:
		w.addResult(op, Result{
			Redirect: leader,
		})
	case !now.Before(op.deadline):
		w.addResult(op, Result{
			Err: ErrUnavailable,
		})
	default:
		return false
	}
	return true
}

// startOperations starts the reads and, where no entry is on its way, writes all waiting
// commands as one entry.
func (w *World) startOperations(now time.Time) {
	if !w.replica.Leading() {
		w.stateMachine = nil
		return
	}
	var round uint64
	waiting := false
	for i := range w.operations {
		op := &w.operations[i]
		if op.command != nil {
			waiting = waiting || !op.applied
			continue
		}
		if op.round == 0 {
			if round == 0 {
				round, _ = w.replica.ConfirmLeadership(now)
			}
			op.round = round
		}
	}
	if waiting && !w.replica.Pending() {
		w.applyCommands(now)
	}
}

// applyCommands applies the waiting commands and proposes the state that results.
func (w *World) applyCommands(now time.Time) {
	batch := make([]*operation, 0, len(w.operations))
	for i := range w.operations {
		if op := &w.operations[i]; op.command != nil && !op.applied {
			batch = append(batch, op)
		}
	}
	if err := w.ensureStateMachine(); err != nil {
		w.failOperations(batch, err)
		return
	}
	before := w.stateMachine.State().Sequence
	for _, op := range batch {
		op.outcome = w.stateMachine.Apply(op.command)
	}
	var index, round uint64
	var ok bool
	if w.stateMachine.State().Sequence != before {
		index, ok = w.replica.Propose(w.stateMachine.State(), now)
	} else {
		// What the commands found is the newest state only once a majority
		// has answered after them.
		round, ok = w.replica.ConfirmLeadership(now)
	}
	if !ok {
		w.stateMachine = nil
		return
	}
	for _, op := range batch {
		op.applied = true
		op.index = index
		op.round = round
		op.term = w.replica.Term()
	}
}

// failOperations has the asks of a batch answered with an error.
func (w *World) failOperations(batch []*operation, err error) {
	for _, op := range batch {
		op.applied = true
		op.err = err
	}
}

// ensureStateMachine makes sure that the machine continues from what this leadership has
// committed.
func (w *World) ensureStateMachine() error {
	if w.stateMachine != nil && w.stateMachineTerm == w.replica.Term() {
		return nil
	}
	stateMachine, err := zfcontrol.NewStateMachine(zfcontrol.Config{
		State:              w.replica.Committed().State,
		Decode:             w.config.Decode,
		MaxBundles:         1,
		AllowAllCentresOut: true,
	})
	if err != nil {
		return errors.Wrap(err, "continue control state")
	}
	w.stateMachine = stateMachine
	w.stateMachineTerm = w.replica.Term()
	return nil
}

// CommittedState returns the committed state with its index, if there is one.
func (w *World) CommittedState() (uint64, zfcontrol.State) {
	committed := w.replica.Committed()
	return committed.Index, committed.State
}

// DocumentInForce returns the document of the bundle in force, or nil.
func DocumentInForce(state zfcontrol.State) []byte {
	for _, accepted := range state.Bundles {
		if accepted.Version == state.InForce {
			return accepted.Signed
		}
	}
	return nil
}

// CentresOut returns the data centres that a state has taken out.
func CentresOut(state zfcontrol.State) []zf.CentreName {
	out := make([]zf.CentreName, 0, len(state.Out))
	for _, o := range state.Out {
		out = append(out, o.Centre)
	}
	return out
}
