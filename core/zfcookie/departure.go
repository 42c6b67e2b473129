package zfcookie

import (
	"math"
	"slices"

	zf "zinniafront"
)

// departure is a share of new flows that goes to the backend servers of another data
// centre.
type departure struct {
	// below is the bound of the points of the flows of this departure and those before it.
	below   uint64
	servers []*server
	// centre holds the statistics of the other data centre.
	centre *centreStats
}

// departureRange is the number of points that flows are spread over.
const departureRange = 1 << 32

// departureMix decorrelates the point of a flow from the other uses of its hash.
const departureMix = 0x9e3779b97f4a7c15

// setDeparture sets the shares of new flows that leave. Data centres without usable backend
// servers get none. Nor do cold ones: they need their rate for the flows that have no other place.
func (m *Mapper) setDeparture(p *pool, view zf.Departure) {
	sum := 0.0
	for _, to := range view.To {
		if to.Share > 0 { // It may not be a number.
			sum = min(sum+to.Share, 1)
		}
		p.departures = append(p.departures, departure{
			below: uint64(math.Round(sum * departureRange)),
			servers: slices.DeleteFunc(slices.Clone(p.tiers[tierRemote]), func(s *server) bool {
				return s.Centre != to.Centre || s.OpeningRate > 0
			}),
			centre: m.centreOf(to.Centre),
		})
	}
}

// depart sets the backend servers that a new flow tries first if it is part of a departure.
// Retransmissions of its opening packet go to them as well, unless previous, which got the
// last one, left it unanswered: then those at home are tried from the first pair. To a silent
// data centre only probes leave, which mayProbe permits.
func (o openingPacket) depart(d *departure, mayProbe bool) openingPacket {
	switch {
	case d == nil:
	case o.previous != nil:
		o.retransmissions--
	case mayProbe:
		o.away = d.servers
	}
	return o
}

// departureOf returns the departure that a flow is part of, or nil.
func (p *pool) departureOf(hash uint64) *departure {
	point := hash * departureMix >> 32
	for i := range p.departures {
		if d := &p.departures[i]; point < d.below {
			return d
		}
	}
	return nil
}
