package zfroom

import (
	zf "zinniafront"
	"zinniafront/core/zfload"
)

// Cost implements zinniafront.Cost by the expected wait of one more request.
type Cost struct{}

// millirequest is one request in the unit of ServerUse.Millirequests.
const millirequest = 1000

// Of implements zinniafront.Cost. Where the requests of other instances are not known, it
// is the work of the known ones, which compares backend servers at any scale.
func (Cost) Of(use zf.ServerUse) float64 {
	slots := max(use.Slots, 1)
	work := float64(use.Millirequests+millirequest) / millirequest * use.Time.Seconds() / float64(slots)
	if !use.Complete {
		return work
	}
	return use.Time.Seconds() * CurveOf(slots).At(work/zfload.DecayTime.Seconds())
}
