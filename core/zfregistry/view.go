package zfregistry

import (
	"slices"

	zf "zinniafront"
)

// coldWeight is the weight of a cold backend server: while it starts, a request
// takes about twice as long.
const coldWeight = 0.5

func (r *Row) weight() float64 {
	switch r.Status {
	case zf.ServerWarm:
		return 1
	case zf.ServerCold:
		return coldWeight
	default:
		return 0
	}
}

// View returns all rows, sorted by name. out holds the data centres taken out of
// service.
func (t *Table) View(out []zf.CentreName) []zf.ServerView {
	rows := t.Rows()
	view := make([]zf.ServerView, 0, len(rows))
	for _, row := range rows {
		view = append(view, zf.ServerView{
			ID:       row.ID,
			Name:     row.Server,
			Service:  row.Service,
			Centre:   row.Centre,
			Address:  row.Address,
			State:    row.Status,
			Weight:   row.weight(),
			Allowed:  !slices.Contains(out, row.Centre),
			Born:     row.Born,
			Number:   row.Number,
			Proven:   row.Proven,
			Cold:     !row.ColdUntil.IsZero(),
			Late:     row.Late,
			Inferred: row.Inferred(),
			Suspect:  !row.SuspectUntil.IsZero(),
			Slots:    row.Capacity.Slots,
		})
	}
	return view
}
