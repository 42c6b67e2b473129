package zfcookie

import (
	"math"
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfload"
	"zinniafront/core/zfroom"
)

// room is what the mapper learns of the backend servers. It belongs to the control
// goroutine.
type room struct {
	// table holds the loads that were last received or, without recent ones, own.
	table *zfroom.Table
	// own sums what this instance reported.
	own *zfload.Table
	// servers are those of the last view while the table doesn't have them yet, or nil.
	servers []zf.ServerView
	// ownUpdated is when the table was last set to own.
	ownUpdated time.Time
	// routes holds the learned times of each route.
	routes map[netip.AddrPort]*routeTimes
}

func newRoom() *room {
	return &room{
		table: zfroom.New(zfroom.Config{
			CookieOf: CookieOf,
			Shares:   true,
		}),
		own:    zfload.New(),
		routes: make(map[netip.AddrPort]*routeTimes),
	}
}

// setRoutes sets the learned times of all routes and forgets those of removed ones.
func (r *room) setRoutes(views []zf.RouteView, all routes) {
	kept := make(map[netip.AddrPort]*routeTimes, len(views))
	for _, view := range views {
		times := r.routes[view.Address]
		if times == nil {
			times = &routeTimes{}
		}
		kept[view.Address] = times
		all.find(view.Address).times = times
	}
	r.routes = kept
}

// ownInterval is the time between two updates of the table by own.
const ownInterval = time.Second

// publishShares makes the shares of backend servers available to the traffic goroutines.
func (m *Mapper) publishShares(stats map[zf.ServerIncarnation]*serverStats) {
	for incarnation, s := range stats {
		if row, ok := m.room.table.Server(CookieOf(incarnation.Server, incarnation.Born())); ok {
			s.share.Store(math.Float64bits(row.Share))
		}
	}
}

// setRoom applies a view to what is learned. The table gets the backend servers with the next
// loads, as deriving all shares costs more than a view; until then a new backend server has
// the share of its weight.
func (m *Mapper) setRoom(view zf.View, next *snapshot, stats map[zf.ServerIncarnation]*serverStats) {
	if m.room == nil {
		return
	}
	m.room.setRoutes(view.Routes, next.routes)
	m.room.servers = view.Servers
	if m.totalsUpdated.IsZero() {
		m.room.applyServers()
		m.publishShares(stats)
		return
	}
	for _, s := range next.cookies {
		if s.stats.share.Load() == 0 {
			s.stats.share.Store(math.Float64bits(s.Weight))
		}
	}
}

// applyServers passes the backend servers of the last view to the table.
func (r *room) applyServers() {
	if r.servers != nil {
		r.table.SetServers(r.servers)
		r.servers = nil
	}
}

// setLearnedLoads learns from the total loads.
func (m *Mapper) setLearnedLoads(loads []zf.ServerLoad, now time.Time) {
	if m.room == nil {
		return
	}
	m.room.applyServers()
	m.room.table.SetLoads(loads, now)
	m.publishShares(m.stats)
}

// recordOwnLoads keeps what this instance reports, for the time without total loads.
func (m *Mapper) recordOwnLoads(loads []zf.ServerLoad) {
	if m.room != nil {
		m.room.own.Record(loads, time.Unix(0, m.lastMaintenance.Load()))
	}
}

// useOwnLoads learns from what this instance reported itself.
func (m *Mapper) useOwnLoads(now time.Time) {
	if m.room == nil || now.Sub(m.room.ownUpdated) < ownInterval {
		return
	}
	m.room.ownUpdated = now
	m.room.applyServers()
	m.room.table.SetOwnLoads(m.room.own.Local(now), now)
	m.publishShares(m.stats)
}
