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

// opener is one opening packet that needs a backend server.
type opener struct {
	hash   uint64
	copies int
	// earlier is the load of the backend server that got the copy before, or nil.
	earlier *load
	now     time.Time
	// shared tells that the loads of all instances are known.
	shared bool
}

// bears reports whether a backend server may get a new flow: a cold one gets no
// more than it bears.
func (o opener) bears(s *server) bool {
	return s.OpeningRate == 0 || s.load.bears(o.now)
}

// choose returns a backend server for a new flow, or nil if there is none. Each
// copy of an opening packet looks at another pair in an order given by the
// flow's hash, and takes the one with less load.
func (p *pool) choose(o opener) *server {
	s := p.find(o)
	if s != nil && s.OpeningRate > 0 && !s.load.takeTurn(s.OpeningRate, o.now) {
		return nil // Another goroutine took the turn.
	}
	return s
}

func (p *pool) find(o opener) *server {
	position := 2 * o.copies
	for _, tier := range p.tiers {
		if len(tier) == 0 {
			continue
		}
		if position >= len(tier) {
			position -= len(tier)
			continue
		}
		if s := o.better(tier, position); s != nil {
			return s
		}
		position = 0
	}
	return p.any(o)
}

// any returns a backend server where the copies of an opening packet have been
// at all of them, or all are suspected.
func (p *pool) any(o opener) *server {
	for _, tier := range p.tiers {
		for i := range tier {
			s := tier[(o.hash+uint64(i))%uint64(len(tier))]
			if o.bears(s) && (s.load != o.earlier || len(tier) == 1) {
				return s
			}
		}
	}
	return nil
}

// better returns the less loaded one of the next two backend servers of a tier
// that are not suspected, from a position in the flow's order.
func (o opener) better(tier []*server, position int) *server {
	var first *server
	size := uint64(len(tier))
	start, step := o.hash%size, stepOf(o.hash/size, size)
	for i := uint64(position); i < size; i++ {
		s := tier[(start+i*step)%size]
		if s.load == o.earlier || !o.bears(s) || !s.load.usable(o.now) {
			continue
		}
		if first == nil {
			first = s
			continue
		}
		if o.cost(s) < o.cost(first) {
			return s
		}
		return first
	}
	return first
}

// cost is the load of a backend server relative to what it can bear.
func (o opener) cost(s *server) float64 {
	if o.shared {
		return float64(s.load.total()+1) / s.Weight
	}
	return float64(s.load.recent()+1) / s.Weight
}

// stepOf returns a step from 1 that reaches every place of a ring.
func stepOf(hash, size uint64) uint64 {
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
