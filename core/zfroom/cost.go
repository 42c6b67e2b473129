package zfroom

import (
	"math"

	zf "zinniafront"
)

// Cost implements zinniafront.Cost by the requests of this instance relative to the share
// that makes the expected wait the same everywhere.
type Cost struct{}

// Candidate implements zinniafront.Cost: each backend server is one as often as its share
// is of the largest.
func (Cost) Candidate(use zf.ServerUse, random uint32) bool {
	return float64(random) <= use.Share*math.MaxUint32
}

// Of implements zinniafront.Cost.
func (Cost) Of(use zf.ServerUse) float64 { return float64(use.Own) / use.Share }
