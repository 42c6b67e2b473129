// Package zfcookie maps flows to backend servers by a cookie that the packets of a
// flow carry. Any instance that knows the backend servers can look up the one of a
// flow, so no instance keeps a table of flows for routing. An opening packet is
// assigned a backend server and its cookie; every later packet of the flow carries
// the cookie.
package zfcookie

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
	"zinniafront/core/zfload"
	"zinniafront/core/zfopening"
)

// Config configures a mapper.
type Config struct {
	// Seed is the seed of the hash that spreads flows over backend servers.
	Seed uint64
	// Openings is set if backend servers and data centres that don't open new flows are
	// inferred from opening packets.
	Openings bool
	// Admission decides which new flows are turned away for lack of room, or is nil if
	// none are.
	Admission zf.Admission
	// Cost compares the backend servers that a new flow may go to. It is zfload.Cost if
	// it is nil.
	Cost zf.Cost
	// Learn is set if the service times of backend servers are learned and reported.
	Learn bool
}

// Mapper implements zinniafront.Mapper and zinniafront.Observer.
type Mapper struct {
	config   Config
	current  atomic.Pointer[snapshot]
	requests requestTable
	// openings is nil unless Config.Openings is set. verdicts holds its changes that have
	// not been taken; it belongs to the control goroutine.
	openings *zfopening.Table
	verdicts []zf.OpeningVerdict
	// limited is set while limits for new flows are in force.
	limited atomic.Bool
	// limitsInForce are for explanations.
	limitsInForce atomic.Pointer[[]zf.AdmissionLimit]
	// stats holds the statistics of each backend server. The map belongs to the control
	// goroutine.
	stats map[zf.ServerIncarnation]*serverStats
	// centres holds the statistics of each data centre. The map belongs to the control
	// goroutine.
	centres map[zf.CentreName]*centreStats
	// totalsKnown is true while the total loads are up to date, totalsUpdated is when
	// they were last received.
	totalsKnown   atomic.Bool
	totalsUpdated time.Time
	totalsTimeout time.Duration
	// room is nil unless Config.Learn is set.
	room     *room
	revision uint64
	// lastMaintenance is when the periodic tasks last ran, in Unix nanoseconds.
	lastMaintenance atomic.Int64
	// resumedAt is when this instance last went on after a suspension, in Unix
	// nanoseconds.
	resumedAt atomic.Int64
	// endedFlows holds the ended flows whose callers have to be sent resets.
	endedFlows []zf.EndedFlow
}

// pool holds the backend servers of a service that take new flows.
type pool struct {
	service zf.ServiceName
	// tiers holds the backend servers in order of preference.
	tiers [tierCount][]*server
	// closed holds those that live but take no new flows, for explanations.
	closed []*server
	// departures are the shares of new flows that go to other data centres first.
	departures []departure
	// costOf compares the backend servers that a new flow may go to.
	costOf zf.Cost
}

// The tiers of a pool.
const (
	tierLocal = iota
	tierRemote
	// tierSuspect is for backend servers that leave requests unanswered.
	tierSuspect
	// tierSilent is for backend servers without a recent heartbeat, tried after all
	// others.
	tierSilent
	tierCount
)

// server is one backend server in a snapshot.
type server struct {
	zf.ServerView
	cookie zf.Cookie
	stats  *serverStats
	// endsAt is termination.endsAt, for the traffic goroutines.
	endsAt time.Time
	// window is set if OpeningRate is.
	window openingWindow
}

// ended reports whether the backend server has certainly ended.
func (s *server) ended(now time.Time) bool { return !s.endsAt.IsZero() && !now.Before(s.endsAt) }

// missesHeartbeats reports whether the backend server's heartbeats are certainly overdue.
// Where a control instance that may receive them is silent itself, that is no evidence about
// the backend server.
func (s *server) missesHeartbeats() bool { return s.Late && !s.Inferred }

// New returns a mapper without routes and backend servers.
func New(config Config) *Mapper {
	if config.Cost == nil {
		config.Cost = zfload.Cost{}
	}
	m := &Mapper{
		config: config,
		stats:  make(map[zf.ServerIncarnation]*serverStats),

		centres: make(map[zf.CentreName]*centreStats),
	}
	if config.Openings {
		m.openings = zfopening.New()
	}
	if config.Learn {
		m.room = newRoom()
	}
	return m
}

// CookieOf returns the cookie of one incarnation of a backend server.
func CookieOf(name zf.ServerName, born time.Time) zf.Cookie {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(born.UnixMilli()))
	cookie := zf.Cookie(xxh3.HashStringSeed(string(name), xxh3.Hash(seed[:])))
	if cookie == zf.NoCookie {
		cookie++
	}
	return cookie
}

// minTotalsTimeout is the maximum age of the total loads, or the time in which they are
// reported twice if that is longer.
const minTotalsTimeout = 5 * time.Second

// maintenanceInterval is the time between two runs of the periodic tasks: decay of the
// loads, sweep of the requests and detection of ended flows.
const maintenanceInterval = 100 * time.Millisecond

// Tick implements zinniafront.Mapper.
func (m *Mapper) Tick(now time.Time, view zf.View) []zf.Envelope {
	if now.UnixNano()-m.lastMaintenance.Load() >= int64(maintenanceInterval) {
		m.lastMaintenance.Store(now.UnixNano())
		if now.Sub(m.totalsUpdated) >= m.totalsTimeout {
			m.totalsKnown.Store(false)
			m.useOwnLoads(now)
		}
		suspended := m.requests.sweep(now)
		if suspended {
			m.resumedAt.Store(now.UnixNano())
		}
		for _, stats := range m.stats {
			stats.decay()
			if suspended {
				stats.recordAnswer(now) // Resets the misses: retransmissions were queued during the suspension.
			}
		}
		m.endFlows(now)
		m.detectUnresponsiveCentres(now)
		m.tickOpenings(now)
	}
	m.tickAdmission(now, view.Limits)
	if view.RoutesKnown && (m.current.Load() == nil || view.Revision != m.revision) {
		m.revision = view.Revision
		m.publish(view, now)
	}
	return nil
}

// suspended reports whether the periodic tasks are overdue so that this instance is
// considered to have been suspended: packets that it receives now may be old.
func (m *Mapper) suspended(now time.Time) bool {
	return now.UnixNano()-m.lastMaintenance.Load() >= int64(maxSweepGap)
}

// resumed reports whether this instance has just gone on after a suspension, so that packets
// may have waited for it.
func (m *Mapper) resumed(now time.Time) bool {
	return now.UnixNano()-m.resumedAt.Load() < int64(answerTimeout)
}

// recordMiss records a packet without an answer, unless it may have waited for this
// instance during a suspension.
func (m *Mapper) recordMiss(s *serverStats, now time.Time) {
	if !m.resumed(now) {
		s.recordMiss(now)
	}
}

// publish builds the snapshot of a view and makes it current.
func (m *Mapper) publish(view zf.View, now time.Time) {
	next := &snapshot{
		routes:  newRoutes(len(view.Routes)),
		cookies: make(map[zf.Cookie]*server, len(view.Servers)),
	}
	pools := make(map[zf.ServiceName]*pool)
	stats := make(map[zf.ServerIncarnation]*serverStats, len(view.Servers))
	successors := newSuccessors(view.Servers)
	servers := make([]*server, 0, len(view.Servers)) // In the order of the view, which is nearly that of a pool.
	for _, row := range view.Servers {
		s := m.newServer(row, stats)
		if s.missesHeartbeats() && !s.stats.termination.heartbeatLate {
			s.stats.expireMisses(now)
		}
		s.stats.termination.update(s, successors.hasSuccessor(row), now)
		s.endsAt = s.stats.termination.endsAt
		if s.OpeningRate > 0 {
			s.window = newOpeningWindow(s.OpeningRate, &view, s.cookie)
		}
		if other := next.cookies[s.cookie]; other != nil && !replaces(s, other) {
			continue // Cookie collision: the other backend server keeps the cookie.
		}
		next.cookies[s.cookie] = s
		servers = append(servers, s)
	}
	for _, s := range servers {
		if next.cookies[s.cookie] != s {
			continue
		}
		if pools[s.Service] == nil {
			pools[s.Service] = &pool{
				costOf:  m.config.Cost,
				service: s.Service,
			}
		}
		pools[s.Service].add(s, view.Centre)
	}
	next.redirectRestarted(view.Servers)
	m.clearUnresponsive(view.Servers, now)
	for _, p := range pools {
		p.sort()
	}
	next.departures = view.Departures
	for _, departure := range view.Departures {
		if p := pools[departure.Service]; p != nil {
			m.setDeparture(p, departure)
		}
	}
	for _, r := range view.Routes {
		next.routes.add(r.Address, newRoute(r, pools))
		next.addresses = append(next.addresses, r.Address)
	}
	next.recordRemoved(m.current.Load(), now)
	m.setColdCentres(view.Servers)
	m.setRoom(view, next, stats)
	m.stats = stats
	m.current.Store(next)
}

// newServer returns the snapshot entry of a row and adds its statistics to next.
func (m *Mapper) newServer(row zf.ServerView, next map[zf.ServerIncarnation]*serverStats) *server {
	incarnation := zf.NewServerIncarnation(row.Name, row.Born)
	stats := m.stats[incarnation]
	if stats == nil {
		stats = &serverStats{
			number: row.Number,
			centre: m.centreOf(row.Centre),
		}
		if m.openings != nil {
			stats.opening = m.openings.Centre(row.Centre).NewServer()
		}
	}
	next[incarnation] = stats
	return &server{
		ServerView: row,
		cookie:     CookieOf(row.Name, row.Born),
		stats:      stats,
	}
}

// Outcomes implements zinniafront.Observer.
func (m *Mapper) Outcomes() []zf.Outcome {
	var outcomes []zf.Outcome
	for incarnation, s := range m.stats {
		answered, unanswered, ok := s.takeOutcome()
		if !ok {
			continue
		}
		outcomes = append(outcomes, zf.Outcome{
			Server:     incarnation.Server,
			Born:       incarnation.Born(),
			Answered:   answered,
			Unanswered: unanswered,
		})
	}
	return outcomes
}

// Loads implements zinniafront.Observer.
func (m *Mapper) Loads() []zf.ServerLoad {
	var loads []zf.ServerLoad
	for incarnation, s := range m.stats {
		load := zf.ServerLoad{
			Requests: int(s.unreported.Swap(0)),
		}
		s.answers.take(&load)
		if s.opening != nil {
			load.Opened, load.Unopened = s.opening.Take()
		}
		if load == (zf.ServerLoad{}) {
			continue
		}
		load.Cookie = CookieOf(incarnation.Server, incarnation.Born())
		loads = append(loads, load)
	}
	m.recordOwnLoads(loads)
	return loads
}

// SetTotalLoads implements zinniafront.Observer.
func (m *Mapper) SetTotalLoads(loads []zf.ServerLoad, now time.Time) {
	requests := make(map[zf.Cookie]int, len(loads))
	for _, load := range loads {
		requests[load.Cookie] = load.Requests
	}
	for incarnation, s := range m.stats {
		s.setTotal(requests[CookieOf(incarnation.Server, incarnation.Born())])
	}
	m.setOpeningSums(loads, now)
	m.setLearnedLoads(loads, now)
	m.totalsUpdated = now
	m.totalsTimeout = max(minTotalsTimeout, 2*zfload.ReportInterval(loads))
	m.totalsKnown.Store(true)
}

// Receive implements zinniafront.Mapper.
func (m *Mapper) Receive(zf.InstanceName, zf.Message, time.Time) {}

// Digests implements zinniafront.Mapper.
func (m *Mapper) Digests() []zf.SlotDigest { return nil }

// Synced implements zinniafront.Mapper.
func (m *Mapper) Synced() bool { return m.current.Load() != nil }

// Busy implements zinniafront.Mapper.
func (m *Mapper) Busy() bool { return false }

// Stats implements zinniafront.Mapper.
func (m *Mapper) Stats() zf.MapperStats { return zf.MapperStats{} }
