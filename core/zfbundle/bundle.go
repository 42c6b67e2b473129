// Package zfbundle holds the one versioned description of services, data
// centres and limits that operators sign and roll.
package zfbundle

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Bundle is one version of the description.
type Bundle struct {
	// Name is the deployment's name; it never changes.
	Name string
	// Version grows with every bundle of a deployment.
	Version  uint64
	Centres  []Centre
	Services []Service
	// Routes are addresses whose flows are shared among services; a bundle may
	// have them beside or in place of the addresses of services.
	Routes []Route
	Limits Limits
}

// Route is one address that callers open flows to.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []zf.RouteTarget
	// Deadline is how long a caller waits for the answer to a request.
	Deadline time.Duration
}

// View returns the route as the mapper reads it.
func (r Route) View() zf.RouteView {
	return zf.RouteView{
		Address: r.Address,
		Targets: r.Targets,
	}
}

// Centre is one data centre.
type Centre struct {
	Name   zf.CentreName
	Region string
}

// Priority orders services when capacity runs short.
type Priority uint8

// The priorities.
const (
	PriorityLow Priority = iota
	PriorityHigh
)

// Service is one service with its public addresses.
type Service struct {
	Name      zf.ServiceName
	Addresses []netip.Addr
	Ports     []uint16
	Protocol  zf.Protocol
	Priority  Priority
	// AtMostOnce tells that a request may run at most once and needs a key.
	AtMostOnce bool
	// Idle is how long a flow lives without a packet.
	Idle time.Duration
	// Slots is the size of the service's slot table, a power of two.
	Slots int
	Pool  Pool
}

// Pool bounds what one backend server of a service may get.
type Pool struct {
	Capacity zf.Capacity
	// Reports tells that the backend servers report their load.
	Reports bool
	// ColdRate is the number of requests a second that a cold backend server
	// bears, over all instances, or 0 if that is not known.
	ColdRate float64
}

// Limits holds the times and shares that hold for the whole deployment.
type Limits struct {
	// Expiry and Gone are the silence after which a backend server gets no
	// new work and after which its flows are given up.
	Expiry time.Duration
	Gone   time.Duration
	// Ramp is the shortest time from cold to full weight.
	Ramp time.Duration
	// Wait is the longest time that a request waits for a slot.
	Wait time.Duration
	// Deadline is the longest time that a request may take in all.
	Deadline time.Duration
	// Body is the largest body of a request or an answer, in bytes.
	Body int64
	// Queue is the number of requests that wait at one instance.
	Queue int
	// Retry is the share of recent successes that may be spent on retries.
	Retry float64
}

// DefaultLimits returns the limits used where a bundle says nothing.
func DefaultLimits() Limits {
	return Limits{
		Expiry:   2500 * time.Millisecond,
		Gone:     2 * time.Minute,
		Ramp:     10 * time.Second,
		Wait:     2 * time.Second,
		Deadline: 10 * time.Second,
		Body:     1 << 20,
		Queue:    1024,
		Retry:    0.1,
	}
}

// The values of a service that says nothing of them.
const (
	DefaultIdle        = 30 * time.Minute
	DefaultSlots       = 4096
	DefaultServerSlots = 2
	DefaultConnections = 2000
)

// Frontends returns every address and port of a service.
func (s Service) Frontends() []netip.AddrPort {
	frontends := make([]netip.AddrPort, 0, len(s.Addresses)*len(s.Ports))
	for _, address := range s.Addresses {
		for _, port := range s.Ports {
			frontends = append(frontends, netip.AddrPortFrom(address, port))
		}
	}
	return frontends
}

// View returns the service as the mapper reads it.
func (s Service) View() zf.ServiceView {
	return zf.ServiceView{
		Name:      s.Name,
		Protocol:  s.Protocol,
		Addresses: s.Frontends(),
		Idle:      s.Idle,
		Slots:     s.Slots,
	}
}

// Find returns the service of a name, or nil.
func (b *Bundle) Find(name zf.ServiceName) *Service {
	i := slices.IndexFunc(b.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &b.Services[i]
}

// HasCentre reports whether the bundle names a data centre.
func (b *Bundle) HasCentre(name zf.CentreName) bool {
	return slices.ContainsFunc(b.Centres, func(c Centre) bool { return c.Name == name })
}
