package zfcontroller

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfquorum"
)

// ErrUnavailable is returned if the control state can't be read or changed at this
// instance now. A change may still come into force later.
var ErrUnavailable = errors.New("no majority of the control instances answers")

// OperationID identifies an operation: a command or a read.
type OperationID uint64

// Result is the result of an operation.
type Result struct {
	ID      OperationID
	Outcome zfcontrol.Outcome
	// State is the committed state, for a command the one after it. Index is the
	// index of its entry.
	State zfcontrol.State
	Index uint64
	// Redirect is the leader to send the operation to instead, if it is not zero.
	Redirect zfquorum.Node
	// Err is ErrUnavailable, the error of a committed state that can't be
	// decoded, or nil.
	Err error
}

// operation is a pending command or read. A read has no command.
type operation struct {
	id       OperationID
	command  zfcontrol.Command
	deadline time.Time
	// forwarded is set if another instance forwarded the operation to this one as
	// the leader.
	forwarded bool
	// applied is set once the state machine has executed the command, or err is
	// set.
	applied bool
	outcome zfcontrol.Outcome
	// round is the heartbeat round to be confirmed before the result of a read, or
	// of a command that changed nothing, is known to be current.
	round uint64
	// index and term identify the entry that has to be committed.
	index uint64
	term  uint64
	err   error
}

// Submit starts a command, or a read if command is nil. forwarded is set if another
// instance forwarded the operation to this one as the leader.
func (w *World) Submit(id OperationID, command zfcontrol.Command, forwarded bool, now time.Time) {
	w.operations = append(w.operations, operation{
		id:        id,
		command:   command,
		deadline:  now.Add(operationTimeout),
		forwarded: forwarded,
	})
	w.advanceOperations(now)
}

// TakeResults returns and clears the available results.
func (w *World) TakeResults() []Result {
	results := w.results
	w.results = nil
	return results
}

func (w *World) addResult(op operation, result Result) {
	result.ID = op.id
	w.results = append(w.results, result)
}

// advanceOperations starts the operations that are waiting and completes those that
// have a result.
func (w *World) advanceOperations(now time.Time) {
	if len(w.operations) == 0 {
		return
	}
	w.startOperations(now)
	w.operations = slices.DeleteFunc(w.operations, func(op operation) bool { return w.complete(op, now) })
}

// complete adds the result of an operation that is done, failed, timed out or has to
// be redirected, and reports whether it did.
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

// startOperations starts the reads and, unless an entry is still uncommitted, writes
// all waiting commands as one entry.
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

// applyCommands applies the waiting commands and proposes the resulting state.
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
		// The outcomes are known to be current only once a majority has
		// acknowledged a later heartbeat.
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

// failOperations fails the operations of a batch with err.
func (w *World) failOperations(batch []*operation, err error) {
	for _, op := range batch {
		op.applied = true
		op.err = err
	}
}

// ensureStateMachine creates the state machine from the committed state unless it
// was created in the current term.
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
		return errors.Wrap(err, "restore control state machine")
	}
	w.stateMachine = stateMachine
	w.stateMachineTerm = w.replica.Term()
	return nil
}
