package zfload

import zf "zinniafront"

// Cost implements zinniafront.Cost by the number of requests relative to the weight.
type Cost struct{}

// Of implements zinniafront.Cost.
func (Cost) Of(use zf.ServerUse) float64 { return float64(use.Millirequests+1) / use.Weight }
