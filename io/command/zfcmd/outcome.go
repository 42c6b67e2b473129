package zfcmd

import (
	"github.com/pkg/errors"

	"zinniafront/core/zfcontrol"
)

// OutcomeDocument is an outcome as commands print it.
type OutcomeDocument struct {
	Status   string `json:"status"`
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	Digest   string `json:"digest,omitempty"`
}

// PrintOutcome writes the outcome of a command, and returns ErrRefused with
// the cause if the control state stayed as it was.
func (s Streams) PrintOutcome(outcome zfcontrol.Outcome, asJSON bool) error {
	if asJSON {
		if err := s.PrintJSON(OutcomeDocument{
			Status:   outcome.Status.String(),
			Sequence: outcome.Sequence,
			Version:  outcome.Version,
			Digest:   outcome.Digest,
		}); err != nil {
			return err
		}
	}
	switch outcome.Status {
	case zfcontrol.StatusDone, zfcontrol.StatusAlready:
		if !asJSON {
			s.Printf("%s: sequence %d, version %d %s\n", outcome.Status, outcome.Sequence, outcome.Version, outcome.Digest)
		}
		return nil
	case zfcontrol.StatusConflict:
		return errors.Wrapf(ErrRefused, "version %d is held by digest %s", outcome.Version, outcome.Digest)
	case zfcontrol.StatusStale:
		return errors.Wrapf(ErrRefused, "version %d, digest %s, came later", outcome.Version, outcome.Digest)
	case zfcontrol.StatusForeign:
		return errors.Wrap(ErrRefused, "the bundle is of another deployment")
	case zfcontrol.StatusLastCentre:
		return errors.Wrap(ErrRefused, "the last data centre can't be taken out")
	default:
		return errors.Wrap(ErrRefused, "no such accepted bundle or data centre in force")
	}
}
