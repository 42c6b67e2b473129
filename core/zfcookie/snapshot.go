package zfcookie

import (
	"net/netip"
	"time"

	zf "zinniafront"
)

// snapshot is the immutable state that the traffic goroutines read.
type snapshot struct {
	routes  routes
	cookies map[zf.Cookie]*server
	// addresses are those of routes. removed holds when this instance learned that a route
	// had been removed.
	addresses []netip.AddrPort
	removed   map[netip.AddrPort]time.Time
	// departures are those of the view, for explanations.
	departures []zf.Departure
}

// removedRetention is how long the address of a removed route is kept: flows are older then
// than callers keep them open.
const removedRetention = 60 * time.Second

// recordRemoved records the routes that have been removed since an earlier snapshot.
func (s *snapshot) recordRemoved(earlier *snapshot, now time.Time) {
	s.removed = make(map[netip.AddrPort]time.Time)
	if earlier == nil {
		return
	}
	for address, at := range earlier.removed {
		if now.Sub(at) < removedRetention && s.routes.find(address) == nil {
			s.removed[address] = at
		}
	}
	for _, address := range earlier.addresses {
		if s.routes.find(address) == nil {
			s.removed[address] = now
		}
	}
}

// redirectRestarted maps the cookies of backend servers that have certainly ended to the
// later incarnation with the same number and address. A flow that opened before that one
// announced itself may be its own; it resets those that it doesn't have. The rows are
// sorted by name and start time.
func (s *snapshot) redirectRestarted(rows []zf.ServerView) {
	for i, row := range rows {
		if row.State != zf.ServerGone || !row.Proven {
			continue
		}
		ended := s.cookies[CookieOf(row.Name, row.Born)]
		if ended == nil || !ended.Born.Equal(row.Born) {
			continue // Cookie collision.
		}
		ended.stats.termination.restartedAt = time.Time{}
		for _, later := range rows[i+1:] {
			if later.Name != row.Name {
				break
			}
			if later.State == zf.ServerGone || later.Number != row.Number || later.Address != row.Address || later.Service != row.Service {
				continue
			}
			if successor := s.cookies[CookieOf(later.Name, later.Born)]; successor != nil && successor.Name == later.Name {
				ended.stats.termination.restartedAt = later.Born
				s.cookies[ended.cookie] = successor
			}
		}
	}
}

// replaces reports whether s gets the cookie in a collision with other: a backend server
// that is not gone goes first, then the one that started earlier.
func replaces(s, other *server) bool {
	if gone := other.State == zf.ServerGone; gone != (s.State == zf.ServerGone) {
		return gone
	}
	return s.Born.Before(other.Born) || s.Born.Equal(other.Born) && s.Name < other.Name
}
