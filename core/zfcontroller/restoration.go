package zfcontroller

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
	"zinniafront/core/zfrestoration"
)

// Restorations returns the data centres that were brought back into service recently.
func (w *World) Restorations(now time.Time) []zfrestoration.Restoration {
	w.updateRestorations(now)
	return w.restorations.Restorations(now)
}

// MergeRestorations adds the restorations that another control instance reports.
func (w *World) MergeRestorations(restorations []zfrestoration.Restoration, now time.Time) {
	w.restorations.Merge(restorations, now)
}

func (w *World) updateRestorations(now time.Time) {
	state := w.replica.Committed().State
	w.restorations.SetOut(CentresOut(state), now)
	marked := make([]zf.CentreName, 0, len(state.Returned))
	for _, returned := range state.Returned {
		if returned.Recent {
			marked = append(marked, returned.Centre)
		}
	}
	w.restorations.SetMarked(marked, now)
	w.restorations.Tick(now)
}

// settleRestorations clears, as the leader, the mark of a restoration that is no longer recent.
func (w *World) settleRestorations(now time.Time) {
	if !w.replica.Leading() || w.replica.Pending() {
		return
	}
	for _, returned := range w.replica.Committed().State.Returned {
		if !returned.Recent || w.restorations.IsRecent(returned.Centre) {
			continue
		}
		if w.ensureStateMachine() != nil {
			return // Operators' commands are answered with this error.
		}
		w.stateMachine.Apply(zfcontrol.SettleCommand{
			Centre:   returned.Centre,
			Sequence: returned.Sequence,
		})
		if _, ok := w.replica.Propose(w.stateMachine.State(), now); !ok {
			w.stateMachine = nil
		}
		return
	}
}
