package zfcookie

import (
	"encoding/binary"
	"net/netip"
	"time"

	zf "zinniafront"
)

// routes holds the routes by address. IPv4 addresses have a separate map, since its
// integer keys are hashed in a third of the time.
type routes struct {
	ipv4 map[uint64]*route
	ipv6 map[netip.AddrPort]*route
}

func newRoutes(size int) routes {
	return routes{
		ipv4: make(map[uint64]*route, size),
		ipv6: make(map[netip.AddrPort]*route),
	}
}

// ipv4Key returns the map key of an IPv4 address and port.
func ipv4Key(address netip.AddrPort) uint64 {
	host := address.Addr().As4()
	return uint64(binary.BigEndian.Uint32(host[:]))<<16 | uint64(address.Port())
}

func (r routes) add(address netip.AddrPort, added *route) {
	if address.Addr().Is4() {
		r.ipv4[ipv4Key(address)] = added
		return
	}
	r.ipv6[address] = added
}

func (r routes) find(address netip.AddrPort) *route {
	if address.Addr().Is4() {
		return r.ipv4[ipv4Key(address)]
	}
	return r.ipv6[address]
}

type route struct {
	targets []target
	// targetLatency, deadline and priority are those of the route's view.
	targetLatency time.Duration
	deadline      time.Duration
	priority      int
	// times is nil unless Config.Learn is set.
	times *routeTimes
	// total is the sum of the weights of all targets.
	total uint64
}

type target struct {
	pool *pool
	// cumulativeWeight is the sum of the weights of this target and those before it.
	cumulativeWeight uint64
}

func newRoute(view zf.RouteView, pools map[zf.ServiceName]*pool) *route {
	r := &route{
		targetLatency: view.Target,
		deadline:      view.Deadline,
		priority:      view.Priority,
	}
	for _, t := range view.Targets {
		p := pools[t.Service]
		if p == nil {
			p = &pool{
				service: t.Service,
			}
		}
		r.total += uint64(max(t.Weight, 0))
		r.targets = append(r.targets, target{
			pool:             p,
			cumulativeWeight: r.total,
		})
	}
	return r
}
