package zfload

import zf "zinniafront"

// Cost implements zinniafront.Cost by the number of requests relative to the weight.
type Cost struct{}

// Candidate implements zinniafront.Cost.
func (Cost) Candidate(zf.ServerUse, uint32) bool { return true }

// Of implements zinniafront.Cost.
func (Cost) Of(use zf.ServerUse) float64 { return float64(use.Total+1) / use.Weight }
