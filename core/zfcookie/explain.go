package zfcookie

import (
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
	"zinniafront/core/zfopening"
)

// explainedAttempts is the number of opening packets that are explained: callers send two
// copies.
const explainedAttempts = 3

// tierNames are the names of the tiers in explanations.
var tierNames = [tierCount]string{
	tierLocal:   "local",
	tierRemote:  "remote",
	tierSuspect: "suspect",
	tierSilent:  "silent",
}

// awayName and closedName are the names of the backend servers of a departure, and of those that
// take no new flows, in explanations.
const (
	awayName   = "away"
	closedName = "closed"
)

// Explain implements zinniafront.Explainer.
func (m *Mapper) Explain(flow zf.Flow, now time.Time) zf.Explanation {
	e := zf.Explanation{
		Flow:        flow,
		TotalsKnown: m.totalsKnown.Load(),
	}
	s := m.current.Load()
	if s == nil {
		e.Attempts = []zf.ExplainedAttempt{{
			Action: zf.ActionDrop,
			Reason: zf.ReasonNotReady,
		}}
		return e
	}
	r := s.routes.find(flow.Destination)
	if r == nil {
		return e
	}
	e.RouteKnown = true
	e.Priority = r.priority
	e.Target = r.targetLatency
	e.Deadline = r.deadline
	hash := zfflow.Hash(m.config.Seed, flow)
	p := r.pickPool(hash)
	if p == nil {
		e.Attempts = []zf.ExplainedAttempt{refused(zf.ReasonNoServer)}
		return e
	}
	e.Service = p.service
	m.explainDecisions(&e, s)
	if !m.would(r, p, hash, &zf.Packet{
		Flow: flow,
	}, now) {
		e.Attempts = []zf.ExplainedAttempt{refused(zf.ReasonNoRoom)}
		return e
	}
	m.explainAttempts(&e, p, hash, now)
	return e
}

func refused(reason zf.Reason) zf.ExplainedAttempt {
	return zf.ExplainedAttempt{
		Action: zf.ActionReset,
		Reason: reason,
	}
}

// explainAttempts adds the decisions on an opening packet and its copies.
func (m *Mapper) explainAttempts(e *zf.Explanation, p *pool, hash uint64, now time.Time) {
	var previous, unanswered *serverStats
	var attempt zfopening.Attempt
	if m.openings != nil {
		attempt = m.openings.Peek(&e.Flow, hash, false, now)
	}
	d := p.departureOf(hash)
	for i := range explainedAttempts {
		o := openingPacket{
			hash:            hash,
			retransmissions: i,
			previous:        previous,
			unanswered:      unanswered,
			now:             now,
			totalsKnown:     e.TotalsKnown,
			attempt:         &attempt,
		}.depart(d, d != nil && d.centre.mayProbe(now))
		explained := zf.ExplainedAttempt{
			Retransmissions: i,
			Action:          zf.ActionForward,
			Candidates:      p.explainServers(o),
		}
		chosen, _ := p.find(o)
		if chosen == nil {
			explained.Action = zf.ActionReset
			explained.Reason = zf.ReasonNoServer
			e.Attempts = append(e.Attempts, explained)
			return
		}
		explained.Server = chosen.Name
		if slices.Contains(o.away, chosen) {
			e.Destination = chosen.Centre
		}
		e.Attempts = append(e.Attempts, explained)
		unanswered, previous = previous, chosen.stats
		attempt = attempt.Copy(chosen.stats.opening)
	}
}

// explainServers describes the backend servers of a pool in the order in which they are
// considered.
func (p *pool) explainServers(o openingPacket) []zf.ExplainedServer {
	var servers []zf.ExplainedServer
	add := func(tier []*server, name string) {
		size := uint64(len(tier))
		if size == 0 {
			return
		}
		start, step := o.hash%size, stride(o.hash/size, size)
		for i := range size {
			servers = append(servers, o.explain(tier[(start+i*step)%size], name, p.costOf))
		}
	}
	add(o.away, awayName)
	for i, tier := range p.tiers {
		add(tier, tierNames[i])
	}
	for _, s := range p.closed {
		closed := o.explain(s, closedName, p.costOf)
		closed.PassedOver = zf.ExclusionDraining
		if !s.Allowed {
			closed.PassedOver = zf.ExclusionEvacuated
		}
		servers = append(servers, closed)
	}
	return servers
}

// explain describes a backend server and why it is passed over, if it is.
func (o openingPacket) explain(s *server, tier string, costOf zf.Cost) zf.ExplainedServer {
	use := o.use(s)
	excluded := o.exclusion(s)
	if excluded == zf.ExclusionNone && !o.isCandidate(s, use, costOf) {
		excluded = zf.ExclusionShare
	}
	return zf.ExplainedServer{
		Server:     s.Name,
		Centre:     s.Centre,
		Address:    s.Address,
		State:      s.State,
		Late:       s.Late,
		Tier:       tier,
		Slots:      s.Slots,
		Share:      use.Share,
		Requests:   float64(use.Total) / loadScale,
		Cost:       costOf.Of(use),
		PassedOver: excluded,
	}
}

// explainDecisions adds the decisions in force for a service.
func (m *Mapper) explainDecisions(e *zf.Explanation, s *snapshot) {
	if departure, found := zf.FindDeparture(s.departures, e.Service); found {
		e.Departure = &departure
	}
	limits := m.limitsInForce.Load()
	if limits == nil {
		return
	}
	for _, limit := range *limits {
		if limit.Service == e.Service {
			e.Limit = &limit
		}
	}
}
