package zfcookie_test

import (
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
)

// newOpeningMapper returns a mapper that takes evidence from openings.
func newOpeningMapper(v zf.View) *zfcookie.Mapper {
	mapper := zfcookie.New(zfcookie.Config{
		Seed:     1,
		Openings: true,
	})
	mapper.Tick(start, v)
	return mapper
}

// openingLoad replays the load of an instance to which callers open a new flow each
// pause. A caller that meets a closed port tries again from another port, three times in
// all; an opening packet that is lost is sent again.
type openingLoad struct {
	view  zf.View
	pause time.Duration
	// closed reports whether the port of a backend server is closed, silent whether the
	// backend server ignores opening packets. Nil means never.
	closed func(server zf.ServerView, at time.Duration) bool
	silent func(server zf.ServerView, at time.Duration) bool
	// address returns the number of the address of the n-th caller; nil means that each
	// caller has its own.
	address func(n int) int
	// answer is the time that an answer takes; default 30 ms.
	answer time.Duration
	// suspended reports whether the control goroutine and the traffic stand still.
	suspended func(at time.Duration) bool
	// retriesElsewhere has all retries go to other instances.
	retriesElsewhere bool
	// restElsewhere is the percentage of flows whose next packets go to other instances.
	restElsewhere int
	// explained has the openings explained before they are sent, and those of other callers.
	explained bool
}

// openingResult is what callers saw of an openingLoad.
type openingResult struct {
	// refused counts the openings that met a closed port by backend server, ignored those
	// that got no answer, opened those that opened.
	refused map[uint64]int
	ignored map[uint64]int
	opened  map[uint64]int
	// sent holds the openings to data centre one of each 100 ms, all those to anywhere.
	sent []int
	all  []int
	// failed counts callers whose three tries failed, reset openings answered with a reset.
	failed   int
	reset    int
	verdicts []zf.OpeningVerdict
	// chosen are the numbers of the backend servers of all opening packets in their order.
	// misexplained counts the first packets that went elsewhere than explained.
	chosen       []uint64
	misexplained int
}

// openingRoundTrip is the round trip between a caller and a backend server, retryDelay the
// time from a try that met a closed port to the next one.
const (
	openingRoundTrip = 4 * time.Millisecond
	retryDelay       = 6 * time.Millisecond
	// portFactor is a factor with which consecutive ports spread over all numbers.
	portFactor = 40503
)

// openingPlay is an openingLoad that is being replayed.
type openingPlay struct {
	openingLoad
	mapper *zfcookie.Mapper
	later  map[time.Duration][]func()
	at     time.Duration
	port   int
	result openingResult
}

// run replays the load for some time.
func (l openingLoad) run(d time.Duration) openingResult {
	p := &openingPlay{
		openingLoad: l,
		mapper:      newOpeningMapper(l.view),
		later:       make(map[time.Duration][]func()),
		result: openingResult{
			refused: make(map[uint64]int),
			ignored: make(map[uint64]int),
			opened:  make(map[uint64]int),
			sent:    make([]int, d/(100*time.Millisecond)),
			all:     make([]int, d/(100*time.Millisecond)),
		},
	}
	if p.answer == 0 {
		p.answer = 30 * time.Millisecond
	}
	var waiting []func()
	for ; p.at < d; p.at += time.Millisecond {
		if p.at%p.pause == 0 {
			caller := int(p.at / p.pause)
			waiting = append(waiting, func() { p.open(caller, 1) })
		}
		waiting = append(waiting, p.later[p.at]...)
		if p.suspended != nil && p.suspended(p.at) {
			continue
		}
		for _, arrive := range waiting {
			arrive()
		}
		waiting = nil
		if p.at%(100*time.Millisecond) == 0 {
			p.mapper.Tick(start.Add(p.at), p.view)
			p.result.verdicts = append(p.result.verdicts, p.mapper.OpeningVerdicts()...)
		}
	}
	return p.result
}

func (p *openingPlay) after(d time.Duration, arrive func()) {
	p.later[p.at+d] = append(p.later[p.at+d], arrive)
}

// open sends the opening packet of a caller's next try.
func (p *openingPlay) open(caller, try int) {
	p.port++
	address := caller
	if p.address != nil {
		address = p.address(caller)
	}
	p.send(openingOf(address, p.port), caller, try)
}

// requestOf returns the request that follows an opening packet.
func requestOf(opening zf.Packet, cookie zf.Cookie) zf.Packet {
	return zf.Packet{
		Flow:        opening.Flow,
		Cookie:      cookie,
		Sequence:    1,
		PayloadSize: 100,
	}
}

// openingOf returns the opening packet of the caller with the n-th address.
func openingOf(n, port int) zf.Packet {
	packet := opening(port, 0)
	packet.Flow.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 65, byte(n >> 8), byte(n)}), uint16(port))
	return packet
}

// route routes an opening packet, and explains it first if that is set. A packet that shows
// itself that earlier openings led nowhere is decided by more than was known before.
func (p *openingPlay) route(packet zf.Packet, caller int) zf.Verdict {
	now := start.Add(p.at)
	p.takeUnopened()
	if !p.explained {
		return p.mapper.Route(packet, now)
	}
	for port := range 5 {
		p.mapper.Explain(openingOf(caller+port, 50000+port).Flow, now)
	}
	explanation := p.mapper.Explain(packet.Flow, now)
	verdict := p.mapper.Route(packet, now)
	first := explanation.Attempts[0]
	same := first.Action == verdict.Action && first.Reason == verdict.Reason &&
		(first.Action != zf.ActionForward || first.Server == p.view.Servers[verdict.Number-1].Name)
	if packet.Retransmissions == 0 && !same && p.takeUnopened() == 0 {
		p.result.misexplained++
	}
	return verdict
}

// takeUnopened returns the number of openings found to lead nowhere since the last call.
func (p *openingPlay) takeUnopened() int {
	count := 0
	for _, load := range p.mapper.Loads() {
		count += load.Unopened
	}
	return count
}

func (p *openingPlay) send(packet zf.Packet, caller, try int) {
	verdict := p.route(packet, caller)
	p.result.chosen = append(p.result.chosen, verdict.Number)
	if verdict.Action != zf.ActionForward {
		p.result.reset++
		return
	}
	server := p.view.Servers[verdict.Number-1]
	p.result.all[p.at/(100*time.Millisecond)]++
	if server.Centre == "one" {
		p.result.sent[p.at/(100*time.Millisecond)]++
	}
	switch {
	case p.closed != nil && p.closed(server, p.at):
		p.result.refused[server.Number]++
		switch {
		case p.retriesElsewhere:
		case try == 3:
			p.result.failed++
		default:
			p.after(retryDelay, func() { p.open(caller, try+1) })
		}
	case p.silent != nil && p.silent(server, p.at):
		p.result.ignored[server.Number]++
		if packet.Retransmissions < 2 {
			packet.Retransmissions++
			p.after(retransmissionDelays[packet.Retransmissions-1], func() { p.send(packet, caller, try) })
		}
	default:
		p.result.opened[server.Number]++
		request := requestOf(packet, verdict.Cookie)
		handshake := request
		handshake.PayloadSize = 0
		if int(packet.Flow.Source.Port()*portFactor%100) < p.restElsewhere {
			return
		}
		p.after(openingRoundTrip, func() {
			p.mapper.Route(handshake, start.Add(p.at))
			p.mapper.Route(request, start.Add(p.at))
		})
		p.after(openingRoundTrip+p.answer, func() { p.mapper.Route(acknowledgementOf(request), start.Add(p.at)) })
	}
}

// between reports whether at is in an outage from its start on.
func between(at, from, d time.Duration) bool { return at >= from && at < from+d }

// closedCentre returns a function that has the ports of a data centre closed for some time.
func closedCentre(name zf.CentreName, from, d time.Duration) func(zf.ServerView, time.Duration) bool {
	return func(server zf.ServerView, at time.Duration) bool {
		return server.Centre == name && between(at, from, d)
	}
}

func sum(counts map[uint64]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
