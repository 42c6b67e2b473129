package zfcookie

import (
	"cmp"
	"slices"
	"time"

	zf "zinniafront"
)

// add puts a backend server into the tier that it belongs to.
func (p *pool) add(s *server, centre zf.CentreName) {
	if !s.Allowed {
		return
	}
	switch {
	case s.State == zf.ServerSilent:
		p.tiers[tierSilent] = append(p.tiers[tierSilent], s)
	case s.Weight <= 0:
	case s.Suspect:
		p.tiers[tierSuspect] = append(p.tiers[tierSuspect], s)
	case s.Centre == centre:
		p.tiers[tierLocal] = append(p.tiers[tierLocal], s)
	default:
		p.tiers[tierRemote] = append(p.tiers[tierRemote], s)
	}
}

// sort brings the tiers into an order that is the same at all instances.
func (p *pool) sort() {
	for _, tier := range p.tiers {
		slices.SortFunc(tier, func(a, b *server) int {
			return cmp.Or(cmp.Compare(a.Name, b.Name), a.Born.Compare(b.Born))
		})
	}
}

// openingPacket is one opening packet that needs a backend server.
type openingPacket struct {
	hash            uint64
	retransmissions int
	// previous is the load of the backend server that got the copy before, or nil.
	previous *serverStats
	now      time.Time
	// totalsKnown tells that the loads of all instances are known.
	totalsKnown bool
}

// allows reports whether a backend server may get a new flow: a cold one gets no
// more than it allows.
func (o openingPacket) allows(s *server) bool {
	return s.OpeningRate == 0 || s.stats.mayOpen(o.now)
}

// choose returns a backend server for a new flow, or nil if there is none. Each
// copy of an opening packet looks at another pair in an order given by the
// flow's hash, and takes the one with less load.
func (p *pool) choose(o openingPacket) *server {
	s := p.find(o)
	if s != nil && s.OpeningRate > 0 && !s.stats.acquireOpening(s.OpeningRate, o.now) {
		return nil // Another goroutine took the turn.
	}
	return s
}

func (p *pool) find(o openingPacket) *server {
	offset := 2 * o.retransmissions
	for _, tier := range p.tiers {
		if len(tier) == 0 {
			continue
		}
		if offset >= len(tier) {
			offset -= len(tier)
			continue
		}
		if s := o.lessLoaded(tier, offset); s != nil {
			return s
		}
		offset = 0
	}
	return p.any(o)
}

// any returns a backend server where the copies of an opening packet have been
// at all of them, or all are suspected.
func (p *pool) any(o openingPacket) *server {
	for _, tier := range p.tiers {
		for i := range tier {
			s := tier[(o.hash+uint64(i))%uint64(len(tier))]
			if o.allows(s) && (s.stats != o.previous || len(tier) == 1) {
				return s
			}
		}
	}
	return nil
}

// lessLoaded returns the less loaded one of the next two backend servers of a tier
// that are not suspected, from a position in the flow's order.
func (o openingPacket) lessLoaded(tier []*server, offset int) *server {
	var candidate *server
	size := uint64(len(tier))
	start, step := o.hash%size, stride(o.hash/size, size)
	for i := uint64(offset); i < size; i++ {
		s := tier[(start+i*step)%size]
		if s.stats == o.previous || !o.allows(s) || !s.stats.usable(o.now) {
			continue
		}
		if candidate == nil {
			candidate = s
			continue
		}
		if o.cost(s) < o.cost(candidate) {
			return s
		}
		return candidate
	}
	return candidate
}

// cost is the load of a backend server relative to what it can bear.
func (o openingPacket) cost(s *server) float64 {
	if o.totalsKnown {
		return float64(s.stats.totalLoad()+1) / s.Weight
	}
	return float64(s.stats.localLoad()+1) / s.Weight
}

// stride returns a step from 1 that reaches every place of a ring.
func stride(hash, size uint64) uint64 {
	if size <= 2 {
		return 1
	}
	step := 1 + hash%(size-1)
	for gcd(step, size) != 1 {
		step = 1 + step%(size-1)
	}
	return step
}

func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
