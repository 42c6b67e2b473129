package zfbundle

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"

	zf "zinniafront"
)

// Fault is one error in a document, with its location and the allowed values.
type Fault struct {
	// Path is a JSON pointer into the document.
	Path    string
	Problem string
	Allowed string
}

// Error implements error.
func (f Fault) Error() string {
	if f.Allowed == "" {
		return fmt.Sprintf("%s: %s", f.Path, f.Problem)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", f.Path, f.Problem, f.Allowed)
}

// namePattern matches valid names of services, data centres, instances and
// backend servers.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 lower-case letters, digits and inner hyphens"

// ValidName reports whether a name may be used for a service, a data centre, an
// instance or a backend server.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// checker collects the faults of one bundle.
type checker struct {
	faults []Fault
}

func (c *checker) add(problem, allowed, path string, args ...any) {
	c.faults = append(c.faults, Fault{
		Path:    fmt.Sprintf(path, args...),
		Problem: problem,
		Allowed: allowed,
	})
}

func (c *checker) checkName(name, path string, args ...any) {
	if !ValidName(name) {
		c.add(fmt.Sprintf("%q is not a name", name), nameAllowed, path, args...)
	}
}

// Check returns every fault that the document's schema can't express.
func (b *Bundle) Check() []Fault {
	c := &checker{}
	c.checkName(b.Name, "/name")
	if b.Version == 0 {
		c.add("is zero", "a whole number from 1", "/version")
	}
	c.checkCentres(b)
	c.checkServices(b)
	c.checkRoutes(b)
	c.checkLimits(b.Limits)
	return c.faults
}

// CheckRoutes returns the faults of the routes only, for bundles whose names
// and limits are set by another system.
func (b *Bundle) CheckRoutes() []Fault {
	c := &checker{}
	c.checkRoutes(b)
	return c.faults
}

func (c *checker) checkRoutes(b *Bundle) {
	services := make(map[zf.ServiceName]bool, len(b.Services))
	for i := range b.Services {
		services[b.Services[i].Name] = true
	}
	addresses := make(map[netip.AddrPort]int, len(b.Routes))
	for i, route := range b.Routes {
		if !route.Address.IsValid() || route.Address.Port() == 0 {
			c.add("is not an address", "an IP address and a port from 1", "/routes/%d/address", i)
		}
		if first, ok := addresses[route.Address]; ok {
			c.add(fmt.Sprintf("is the same as /routes/%d/address", first), "each address once", "/routes/%d/address", i)
		}
		addresses[route.Address] = i
		if route.Deadline <= 0 {
			c.add(fmt.Sprintf("is %s", route.Deadline), "more than 0s", "/routes/%d/deadline", i)
		}
		c.checkTargets(route, i, services)
	}
}

func (c *checker) checkTargets(route Route, i int, services map[zf.ServiceName]bool) {
	total := 0
	for j, target := range route.Targets {
		if !services[target.Service] {
			c.add(fmt.Sprintf("names %q, which is no service", target.Service), "a service of the bundle", "/routes/%d/targets/%d/service", i, j)
		}
		if target.Weight < 0 {
			c.add(fmt.Sprintf("is %d", target.Weight), "a whole number from 0", "/routes/%d/targets/%d/weight", i, j)
		}
		total += max(target.Weight, 0)
	}
	if total == 0 {
		c.add("has no weight", "at least one service with a weight from 1", "/routes/%d/targets", i)
	}
}

func (c *checker) checkCentres(b *Bundle) {
	if len(b.Centres) == 0 {
		c.add("is empty", "at least one data centre", "/centres")
	}
	seen := make(map[zf.CentreName]int)
	for i, centre := range b.Centres {
		c.checkName(string(centre.Name), "/centres/%d/name", i)
		c.checkName(centre.Region, "/centres/%d/region", i)
		if first, ok := seen[centre.Name]; ok {
			c.add(fmt.Sprintf("is the same as /centres/%d/name", first), "each data centre once", "/centres/%d/name", i)
		}
		seen[centre.Name] = i
	}
}

func (c *checker) checkServices(b *Bundle) {
	if len(b.Services) == 0 {
		c.add("is empty", "at least one service", "/services")
	}
	names := make(map[zf.ServiceName]int)
	owners := make(map[frontend]int)
	for i := range b.Services {
		service := &b.Services[i]
		c.checkName(string(service.Name), "/services/%d/name", i)
		if first, ok := names[service.Name]; ok {
			c.add(fmt.Sprintf("is the same as /services/%d/name", first), "each service once", "/services/%d/name", i)
		}
		names[service.Name] = i
		c.checkService(service, i)
		c.checkOverlap(service, i, owners)
	}
}

type frontend struct {
	address  netip.AddrPort
	protocol zf.Protocol
}

func (c *checker) checkOverlap(service *Service, i int, owners map[frontend]int) {
	for j, address := range service.Addresses {
		for _, port := range service.Ports {
			key := frontend{
				address:  netip.AddrPortFrom(address.Unmap(), port),
				protocol: service.Protocol,
			}
			if first, ok := owners[key]; ok {
				c.add(fmt.Sprintf("%s %s is taken by /services/%d", key.protocol, key.address, first),
					"each address, port and protocol once", "/services/%d/addresses/%d", i, j)
				continue
			}
			owners[key] = i
		}
	}
}

// The limits of a service.
const (
	minSlots = 64
	maxSlots = 65536
	minIdle  = time.Second
	maxIdle  = 24 * time.Hour
)

func (c *checker) checkService(s *Service, i int) {
	if len(s.Addresses) == 0 {
		c.add("is empty", "at least one address", "/services/%d/addresses", i)
	}
	for j, address := range s.Addresses {
		if !address.IsValid() || address.IsUnspecified() || address.IsMulticast() || address.Zone() != "" {
			c.add(fmt.Sprintf("%s can't be served", address), "a unicast address without a zone", "/services/%d/addresses/%d", i, j)
		}
	}
	if len(s.Ports) == 0 {
		c.add("is empty", "at least one port", "/services/%d/ports", i)
	}
	for j, port := range s.Ports {
		if port == 0 {
			c.add("is zero", "1 to 65535", "/services/%d/ports/%d", i, j)
		}
	}
	if s.Protocol != zf.ProtocolTCP && s.Protocol != zf.ProtocolUDP {
		c.add("is not a protocol", "tcp or udp", "/services/%d/protocol", i)
	}
	if s.Slots < minSlots || s.Slots > maxSlots || s.Slots&(s.Slots-1) != 0 {
		c.add(fmt.Sprintf("is %d", s.Slots), "a power of two from 64 to 65536", "/services/%d/slots", i)
	}
	if s.Idle < minIdle || s.Idle > maxIdle {
		c.add(fmt.Sprintf("is %s", s.Idle), "1s to 24h", "/services/%d/idle", i)
	}
	c.checkPositive(s.Pool.Capacity.Slots, "/services/%d/pool/slots", i)
	c.checkPositive(s.Pool.Capacity.Connections, "/services/%d/pool/connections", i)
}

func (c *checker) checkPositive(value int, path string, args ...any) {
	if value <= 0 {
		c.add(fmt.Sprintf("is %d", value), "a whole number from 1", path, args...)
	}
}

func (c *checker) checkLimits(l Limits) {
	c.checkDuration(l.Expiry, time.Second, time.Minute, "/limits/expiry")
	c.checkDuration(l.Gone, 2*time.Second, time.Hour, "/limits/gone")
	c.checkDuration(l.Ramp, time.Second, time.Hour, "/limits/ramp")
	c.checkDuration(l.Wait, time.Millisecond, time.Minute, "/limits/wait")
	c.checkDuration(l.Deadline, 10*time.Millisecond, time.Hour, "/limits/deadline")
	if l.Gone <= l.Expiry {
		c.add(fmt.Sprintf("is %s", l.Gone), "more than /limits/expiry", "/limits/gone")
	}
	if l.Body <= 0 || l.Body > 1<<30 {
		c.add(fmt.Sprintf("is %d", l.Body), "1 to 1073741824 bytes", "/limits/body")
	}
	c.checkPositive(l.Queue, "/limits/queue")
	if l.Retry < 0 || l.Retry > 1 {
		c.add(fmt.Sprintf("is %g", l.Retry), "0 to 1", "/limits/retry")
	}
}

func (c *checker) checkDuration(value, minimum, maximum time.Duration, path string) {
	if value < minimum || value > maximum {
		c.add(fmt.Sprintf("is %s", value), fmt.Sprintf("%s to %s", minimum, maximum), "%s", path)
	}
}
