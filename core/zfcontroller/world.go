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
	// answerTimeout is how long a command or a read waits; callers give up
	// after a second.
	answerTimeout = 850 * time.Millisecond
	// freshContact is how old the last contact with a majority may be for
	// silence of backend servers to mean something.
	freshContact = 1200 * time.Millisecond
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

// ask is a command or a read that waits. A read has no command.
type ask struct {
	id      OperationID
	command zfcontrol.Command
	until   time.Time
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
	config   Config
	replica  *zfquorum.Replica
	registry *zfregistry.Table
	outliers *zfoutlier.Table
	loads    *zfload.Table
	turns    *zfpermit.Table
	judged   time.Time
	verdicts []zfoutlier.Outlier
	machine  *zfcontrol.StateMachine
	// machineOf is the term of the leadership that machine belongs to.
	machineOf uint64
	asks      []ask
	answers   []Result
	// neighbours is when each other control instance told anything last.
	neighbours map[netip.AddrPort]time.Time
	// hearing is since when this instance has been in touch with a majority.
	hearing time.Time
}

// New returns a world.
func New(config Config, now time.Time) *World {
	return &World{
		config:   config,
		replica:  zfquorum.New(config.Quorum, now),
		registry: zfregistry.New(config.Registry),
		outliers: zfoutlier.New(config.Outlier),
		loads:    zfload.New(),
		turns:    zfpermit.New(),

		neighbours: make(map[netip.AddrPort]time.Time),
	}
}

// Replica returns the instance's part in the replication.
func (w *World) Replica() *zfquorum.Replica { return w.replica }

// Loads returns the loads of backend servers as entry instances tell them.
func (w *World) Loads() *zfload.Table { return w.loads }

// StopPermits returns the turns of entry instances to stop.
func (w *World) StopPermits() *zfpermit.Table { return w.turns }

// Registry returns the table of backend servers.
func (w *World) Registry() *zfregistry.Table { return w.registry }

// QuorumSince returns since when this instance has been in touch with a majority,
// or the zero value.
func (w *World) QuorumSince() time.Time { return w.hearing }

// Submit takes a command, or a read if command is nil. forwarded tells that another
// instance took this one for the leader.
func (w *World) Submit(id OperationID, command zfcontrol.Command, forwarded bool, now time.Time) {
	w.asks = append(w.asks, ask{
		id:        id,
		command:   command,
		until:     now.Add(answerTimeout),
		forwarded: forwarded,
	})
	w.serve(now)
}

// Receive takes a message of another control instance.
func (w *World) Receive(m zfquorum.Message, now time.Time) {
	w.replica.Receive(m, now)
	w.serve(now)
}

// MarkSaved notes that a record is on disk.
func (w *World) MarkSaved(serial uint64, now time.Time) {
	w.replica.MarkSaved(serial, now)
	w.serve(now)
}

// Tick runs every system once.
func (w *World) Tick(now time.Time) {
	w.replica.Tick(now)
	w.watch(now)
	w.registry.Tick(now, w.hearing)
	w.turns.Tick(now)
	w.judge(now)
	w.serve(now)
}

// watch notes whether this instance is in touch with a majority.
func (w *World) watch(now time.Time) {
	switch fresh := now.Sub(w.replica.LastContact(now)) < freshContact; {
	case !fresh:
		w.hearing = time.Time{}
	case w.hearing.IsZero():
		w.hearing = now
	}
}

// TakeResults returns the answers that are ready.
func (w *World) TakeResults() []Result {
	answers := w.answers
	w.answers = nil
	return answers
}

func (w *World) answer(a ask, answer Result) {
	answer.ID = a.id
	w.answers = append(w.answers, answer)
}

// serve moves every ask on as far as it goes.
func (w *World) serve(now time.Time) {
	if len(w.asks) == 0 {
		return
	}
	w.apply(now)
	w.asks = slices.DeleteFunc(w.asks, func(a ask) bool { return w.settle(a, now) })
}

// settle answers an ask if its answer is known.
func (w *World) settle(a ask, now time.Time) bool {
	leader, known := w.replica.Leader()
	committed := w.replica.Committed()
	switch {
	case a.err != nil:
		w.answer(a, Result{
			Err: a.err,
		})
	case a.index != 0 && a.term != w.replica.Term():
		w.answer(a, Result{
			Err: ErrUnavailable,
		})
	case a.index != 0 && committed.Term == a.term && committed.Index >= a.index,
		a.round != 0 && w.replica.Leading() && w.replica.ConfirmedRound() >= a.round:
		w.answer(a, Result{
			Outcome: a.outcome,
			State:   committed.State,
			Index:   committed.Index,
		})
	case known && leader.ID != w.replica.Self().ID && a.index == 0 && !a.forwarded:
		w.answer(a, Result{
			Redirect: leader,
		})
	case !now.Before(a.until):
		w.answer(a, Result{
			Err: ErrUnavailable,
		})
	default:
		return false
	}
	return true
}

// apply starts the reads and, where no entry is on its way, writes all waiting
// commands as one entry.
func (w *World) apply(now time.Time) {
	if !w.replica.Leading() {
		w.machine = nil
		return
	}
	var round uint64
	waiting := false
	for i := range w.asks {
		a := &w.asks[i]
		if a.command != nil {
			waiting = waiting || !a.applied
			continue
		}
		if a.round == 0 {
			if round == 0 {
				round, _ = w.replica.ConfirmLeadership(now)
			}
			a.round = round
		}
	}
	if waiting && !w.replica.Pending() {
		w.write(now)
	}
}

// write applies the waiting commands and proposes the state that results.
func (w *World) write(now time.Time) {
	batch := make([]*ask, 0, len(w.asks))
	for i := range w.asks {
		if a := &w.asks[i]; a.command != nil && !a.applied {
			batch = append(batch, a)
		}
	}
	if err := w.lead(); err != nil {
		w.refuse(batch, err)
		return
	}
	before := w.machine.State().Sequence
	for _, a := range batch {
		a.outcome = w.machine.Apply(a.command)
	}
	var index, round uint64
	var ok bool
	if w.machine.State().Sequence != before {
		index, ok = w.replica.Propose(w.machine.State(), now)
	} else {
		// What the commands found is the newest state only once a majority
		// has answered after them.
		round, ok = w.replica.ConfirmLeadership(now)
	}
	if !ok {
		w.machine = nil
		return
	}
	for _, a := range batch {
		a.applied = true
		a.index = index
		a.round = round
		a.term = w.replica.Term()
	}
}

// refuse has the asks of a batch answered with an error.
func (w *World) refuse(batch []*ask, err error) {
	for _, a := range batch {
		a.applied = true
		a.err = err
	}
}

// lead makes sure that the machine continues from what this leadership has
// committed.
func (w *World) lead() error {
	if w.machine != nil && w.machineOf == w.replica.Term() {
		return nil
	}
	machine, err := zfcontrol.NewStateMachine(zfcontrol.Config{
		State:              w.replica.Committed().State,
		Decode:             w.config.Decode,
		MaxBundles:         1,
		AllowAllCentresOut: true,
	})
	if err != nil {
		return errors.Wrap(err, "continue control state")
	}
	w.machine = machine
	w.machineOf = w.replica.Term()
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
