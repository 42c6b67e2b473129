package zfcmd

import (
	"github.com/pkg/errors"

	"zinniafront/core/zfcontrol"
)

// OutcomeDocument is the JSON form of an outcome.
type OutcomeDocument struct {
	Status   string `json:"status"`
	Sequence uint64 `json:"sequence"`
	Version  uint64 `json:"version"`
	Digest   string `json:"digest,omitempty"`
}

// PrintOutcome prints the outcome of a command. It returns ErrRefused, wrapped with
// the reason, if the command was refused and the control state is unchanged.
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
		return errors.Wrapf(ErrRefused, "version %d already exists with digest %s", outcome.Version, outcome.Digest)
	case zfcontrol.StatusStale:
		return errors.Wrapf(ErrRefused, "a later version is already accepted or in force; the control instance replied with version %d, digest %q", outcome.Version, outcome.Digest)
	case zfcontrol.StatusForeign:
		return errors.Wrap(ErrRefused, "the bundle belongs to another deployment")
	case zfcontrol.StatusLastCentre:
		return errors.Wrap(ErrRefused, "the last data centre in service can't be taken out")
	case zfcontrol.StatusUnconfirmed:
		return errors.Wrap(ErrRefused, "the data centre was changed by another command meanwhile; check its status and try again")
	default:
		return errors.Wrap(ErrRefused, "no accepted bundle has this version, or the bundle in force has no data centre of this name")
	}
}
