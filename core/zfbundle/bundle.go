// Package zfbundle defines the versioned configuration of services, data
// centres and limits that operators sign and roll out.
package zfbundle

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// Bundle is one version of the configuration.
type Bundle struct {
	// Name is the deployment's name; it never changes.
	Name string
	// Version increases with every bundle of a deployment.
	Version  uint64
	Centres  []Centre
	Services []Service
	// Routes are addresses whose flows are distributed among services; a bundle
	// may have them in addition to or instead of the addresses of services.
	Routes []Route
	Limits Limits
}

// Route is one address that callers open flows to.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []zf.RouteTarget
	// Deadline is how long a caller waits for the response to a request, Target the time
	// within which it wants it, or 0 if that is not stated.
	Deadline time.Duration
	Target   time.Duration
	// Priority is the precedence of the route when capacity is short; 0 is the highest.
	Priority int
}

// View returns the route as the mapper reads it.
func (r Route) View() zf.RouteView {
	return zf.RouteView{
		Address:  r.Address,
		Targets:  r.Targets,
		Target:   r.Target,
		Deadline: r.Deadline,
		Priority: r.Priority,
	}
}

// Centre is one data centre.
type Centre struct {
	Name   zf.CentreName
	Region string
}

// Priority is the precedence of a service when capacity is short.
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
	// AtMostOnce is set if a request may run at most once and needs an
	// idempotency key.
	AtMostOnce bool
	// Idle is the time without packets after which a flow ends.
	Idle time.Duration
	// Slots is the size of the service's slot table, a power of two.
	Slots int
	Pool  Pool
}

// Pool limits the load of one backend server of a service.
type Pool struct {
	Capacity zf.Capacity
	// Reports is set if the backend servers report their load.
	Reports bool
	// ColdRate is the number of requests a second that a cold backend server
	// sustains, summed over all instances, or 0 if it is not known. It is used as
	// the limit of new flows a second.
	ColdRate float64
}

// Limits holds the limits that apply to the whole deployment.
type Limits struct {
	// Expiry is the silence after which a backend server receives no new work,
	// Gone the silence after which its flows are abandoned.
	Expiry time.Duration
	Gone   time.Duration
	// Ramp is the shortest time from cold to full weight.
	Ramp time.Duration
	// Wait is the longest time that a request waits for a slot.
	Wait time.Duration
	// Deadline is the longest total duration of a request.
	Deadline time.Duration
	// Body is the maximum size of the body of a request or a response, in bytes.
	Body int64
	// Queue is the maximum number of requests that wait at one instance.
	Queue int
	// Retry is the maximum number of retries as a share of recent successes.
	Retry float64
}

// DefaultLimits returns the limits of a bundle that doesn't set them.
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

// The defaults of a service that doesn't set these values.
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

// Find returns the named service, or nil.
func (b *Bundle) Find(name zf.ServiceName) *Service {
	i := slices.IndexFunc(b.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &b.Services[i]
}

// HasCentre reports whether the bundle has the named data centre.
func (b *Bundle) HasCentre(name zf.CentreName) bool {
	return slices.ContainsFunc(b.Centres, func(c Centre) bool { return c.Name == name })
}
