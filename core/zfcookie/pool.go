package zfcookie

import (
	"cmp"
	"math"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfopening"
)

// add adds a backend server to its tier, or to those that take no new flows.
func (p *pool) add(s *server, centre zf.CentreName) {
	switch {
	case !s.Allowed:
		p.addClosed(s)
	case s.State == zf.ServerSilent:
		p.tiers[tierSilent] = append(p.tiers[tierSilent], s)
	case s.Weight <= 0:
		p.addClosed(s)
	case s.Suspect:
		p.tiers[tierSuspect] = append(p.tiers[tierSuspect], s)
	case s.Centre == centre:
		p.tiers[tierLocal] = append(p.tiers[tierLocal], s)
	default:
		p.tiers[tierRemote] = append(p.tiers[tierRemote], s)
	}
}

// addClosed adds a backend server that takes no new flows.
func (p *pool) addClosed(s *server) {
	if s.State != zf.ServerGone {
		p.closed = append(p.closed, s)
	}
}

// sort orders the tiers identically on all instances.
func (p *pool) sort() {
	byName := func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), a.Born.Compare(b.Born))
	}
	for _, tier := range p.tiers {
		slices.SortFunc(tier, byName)
	}
	slices.SortFunc(p.closed, byName)
}

// openingPacket is an opening packet for which a backend server is chosen.
type openingPacket struct {
	hash uint64
	// away are the backend servers of another data centre that are tried first, or nil.
	away            []*server
	retransmissions int
	// previous holds the statistics of the backend server that the packet was last
	// forwarded to, or nil.
	previous *serverStats
	// unanswered holds, for an explanation, those of the backend server that would have left the
	// packet before that one unanswered.
	unanswered *serverStats
	now        time.Time
	// totalsKnown is true while the total loads are up to date.
	totalsKnown bool
	attempt     *zfopening.Attempt
}

// allows reports whether a backend server may get a new flow. The rate of new flows of
// a cold one is limited by OpeningRate.
func (o openingPacket) allows(s *server) bool {
	return s.OpeningRate == 0 || s.stats.mayOpen(s.window, o.now)
}

// choose returns a backend server for a new flow, or nil if there is none. Each
// retransmission of an opening packet compares another pair in an order given by the
// flow's hash, and chooses the one with the lower cost.
func (p *pool) choose(o openingPacket) *server {
	for {
		s, probe := p.find(o)
		if s == nil || o.acquire(s, probe) {
			return s
		}
		// Another goroutine acquired the opening or the probe, so that find returns
		// another backend server now.
	}
}

// acquire acquires the opening of a cold backend server and, if probe is set, the probe
// of one that is only probed. It returns false if another goroutine was faster.
func (o openingPacket) acquire(s *server, probe bool) bool {
	if probe && !(s.stats.acquireProbe(o.now) && o.acquireOpeningProbe(s)) {
		return false
	}
	return s.OpeningRate == 0 || s.stats.acquireOpening(s.window, o.now)
}

// find selects the backend server for choose. probe is set if the backend server may
// get the packet only as its probe, should it be one that is only probed.
func (p *pool) find(o openingPacket) (s *server, probe bool) {
	offset := 2 * o.retransmissions
	if offset < len(o.away) {
		if s := o.lessLoaded(o.away, offset, p.costOf); s != nil {
			return s, true
		}
	}
	for _, tier := range p.tiers {
		if len(tier) == 0 {
			continue
		}
		if offset >= len(tier) {
			offset -= len(tier)
			continue
		}
		if s := o.lessLoaded(tier, offset, p.costOf); s != nil {
			return s, true
		}
		offset = 0
	}
	return p.fallback(o), false
}

// fallback returns the first backend server by tier and hash that may get a new flow,
// also if it has left packets unanswered, but not the previous one unless that is alone
// in its tier. It is used if the retransmissions of an opening packet have been sent to
// all backend servers, or all that are left are only probed.
func (p *pool) fallback(o openingPacket) *server {
	if s := p.leastSuspect(o); s != nil {
		return s
	}
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

// lessLoaded returns the one with the lower cost of the next two usable backend servers
// of a tier, starting at an offset in the flow's order.
func (o openingPacket) lessLoaded(tier []*server, offset int, costOf zf.Cost) *server {
	var candidate, passed *server
	var lowest float64
	size := uint64(len(tier))
	start, step := o.hash%size, stride(o.hash/size, size)
	for i := uint64(offset); i < size; i++ {
		s := tier[(start+i*step)%size]
		if o.exclusion(s) != zf.ExclusionNone {
			continue
		}
		use := o.use(s)
		if !o.isCandidate(s, use, costOf) {
			passed = s
			continue
		}
		cost := costOf.Of(use)
		switch {
		case candidate == nil:
			candidate, lowest = s, cost
			continue
		case cost < lowest:
			return s
		default:
			return candidate
		}
	}
	if candidate == nil {
		return passed
	}
	return candidate
}

// exclusion returns why a backend server is passed over.
func (o openingPacket) exclusion(s *server) zf.Exclusion {
	switch {
	case s.stats == o.previous:
		return zf.ExclusionPrevious
	case !o.allows(s):
		return zf.ExclusionCold
	case !s.stats.mayProbe(o.now), s.stats == o.unanswered:
		return zf.ExclusionUnanswered
	case s.stats.centre.unresponsive(s.Late, o.now):
		return zf.ExclusionCentre
	case o.passesOver(s):
		return zf.ExclusionUnopened
	default:
		return zf.ExclusionNone
	}
}

// isCandidate reports whether a backend server is compared with others for this flow.
func (o openingPacket) isCandidate(s *server, use zf.ServerUse, costOf zf.Cost) bool {
	return costOf.Candidate(use, uint32((o.hash^uint64(s.cookie))*randomFactor>>32))
}

// randomFactor is 2^64 divided by the golden ratio: products with it spread over all bits.
const randomFactor = 0x9e3779b97f4a7c15

// use returns the use of a backend server.
func (o openingPacket) use(s *server) zf.ServerUse {
	use := zf.ServerUse{
		Own:    s.stats.localLoad(),
		Weight: s.Weight,
		Share:  math.Float64frombits(s.stats.share.Load()),
	}
	use.Total = use.Own
	if o.totalsKnown {
		use.Total = s.stats.totalLoad()
	}
	return use
}

// stride returns a step coprime to size, so that stepping around a ring of that size
// visits every position.
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
