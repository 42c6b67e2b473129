package zfsoak

import (
	"net/netip"
	"syscall"
	"time"

	"zinniafront/lab/zfplatform"
)

// trouble injects faults, one after the other and overlapping.
func (s *soak) trouble() {
	for end := time.Now().Add(s.config.FaultDuration); time.Now().Before(end); {
		s.fault()
		if s.storage.IntN(storageOdds) == 0 {
			s.refuse()
		}
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
	}
}

// storageOdds is the number of faults to one of storage.
const storageOdds = 6

// refuse has the disk of a control instance refuse every write for a while, as a
// full one does.
func (s *soak) refuse() {
	m := s.controls[s.storage.IntN(controlCount)]
	d := time.Duration(500+s.storage.IntN(3000)) * time.Millisecond
	if err := m.refuse(true); err != nil {
		return // It refuses already.
	}
	s.check.fault("the disk of %s refuses writes for %s", m.name, d)
	s.later(d, func() {
		if err := m.refuse(false); err != nil {
			s.check.fault("could not end that: %v", err)
		}
	})
}

// any returns some machine of the system, and how long its fault lasts.
func (s *soak) any() (*machine, time.Duration) {
	all := append(append([]*machine{}, s.controls...), s.entries...)
	return all[s.random.IntN(len(all))], time.Duration(300+s.random.IntN(2700)) * time.Millisecond
}

func (s *soak) fault() {
	m, d := s.any()
	switch s.random.IntN(12) {
	case 0:
		s.check.fault("kill %s", m.name)
		m.signal(syscall.SIGKILL)
	case 1:
		s.check.fault("terminate %s", m.name)
		m.signal(syscall.SIGTERM)
	case 2:
		s.check.fault("hang up %s", m.name)
		m.signal(syscall.SIGHUP)
	case 3:
		s.check.fault("pause %s for %s", m.name, d)
		m.signal(syscall.SIGSTOP)
		s.later(d, func() { m.signal(syscall.SIGCONT) })
	case 4, 5:
		kind := mode(1 + s.random.IntN(int(modeReset)))
		s.check.fault("%s %s for %s", modeNames[kind], m.name, d)
		m.proxy.set(kind)
		s.later(d, func() { m.proxy.set(modePass) })
	case 6:
		s.check.fault("kill all control instances")
		for _, c := range s.controls {
			c.signal(syscall.SIGKILL)
		}
	case 7, 8:
		s.change()
	case 9:
		s.hostFault(s.random.IntN(len(s.hosts)))
	case 10:
		verb := []string{"start", "finish"}[s.random.IntN(2)]
		s.check.fault("evacuate: %s", verb)
		_, _ = s.operator.Evacuate(s.random.IntN(controlCount), zones[1], verb) // Either answer may come.
	default:
		s.invalid()
	}
}

// later ends a fault after some time.
func (s *soak) later(d time.Duration, end func()) {
	s.running.Go(func() {
		s.pause(d)
		end()
	})
}

// change sends a configuration that adds or drops a route nobody uses.
func (s *soak) change() {
	route := s.route(10 + s.random.IntN(5))
	if _, ok := s.routes[route]; ok {
		delete(s.routes, route)
	} else {
		s.routes[route] = services[0]
	}
	s.check.fault("change to version over %d", s.version)
	s.put(3)
}

// invalid sends a configuration that must not be taken.
func (s *soak) invalid() {
	s.version++
	status, err := s.operator.Put(s.random.IntN(controlCount), zfplatform.Configuration{
		Version: s.version,
		Routes: []zfplatform.Route{{
			Name:       "invalid",
			Host:       "198.18.0.99",
			PathPrefix: "/443/",
			TimeoutMs:  1000,
			Service:    "nobody",
		}},
	})
	if err == nil && status < 400 {
		s.check.mutex.Lock()
		s.check.broken("an invalid configuration was answered with %d", status)
		s.check.mutex.Unlock()
	}
}

// hostFault ends a backend server in one of several ways and starts another in
// its place, or the same again.
func (s *soak) hostFault(i int) {
	h := s.hosts[i]
	controls := make([]netip.AddrPort, 0, controlCount)
	for _, m := range s.controls {
		controls = append(controls, netip.AddrPortFrom(m.address, callsPort))
	}
	number, service := uint64(0), h.Service()
	switch s.random.IntN(3) {
	case 0:
		service = s.successor(service)
		s.check.fault("%s crashes, its address is used again for %s", h.ID(), service)
		h.Crash()
		time.Sleep(300 * time.Millisecond)
	case 1:
		s.check.fault("%s drains and leaves", h.ID())
		h.Drain()
		time.Sleep(time.Second)
		h.Leave()
	default:
		s.check.fault("%s crashes and starts again", h.ID())
		h.Crash()
		number = h.Number()
	}
	if number == 0 {
		s.numbers++
		number = s.numbers
	}
	if err := s.life(i, number, service, controls); err != nil {
		s.check.fault("could not start at place %d: %v", i, err)
	}
}

const (
	// drainTime is how long a backend server that leaves may get new flows, as the
	// platform's page states it.
	drainTime = 3 * time.Second
	// drainWatch is how long it is watched then; some 20 flows open in it.
	drainWatch = time.Second
)

// retire has a backend server leave in calm, and checks that it gets no new flows.
func (s *soak) retire() {
	h := s.hosts[0]
	acknowledged := h.Drain()
	s.pause(drainTime)
	before := h.Openings.Load()
	s.pause(drainWatch)
	opened := h.Openings.Load() - before
	s.check.mutex.Lock()
	defer s.check.mutex.Unlock()
	if !acknowledged {
		s.check.broken("%s leaves and nobody acknowledges it", h.ID())
	}
	if opened > 0 {
		s.check.broken("%s left %s ago and got %d new flows", h.ID(), drainTime, opened)
	}
}

// successor returns the service that an address goes to: in half of the cases the
// other one, if its own keeps two backend servers.
func (s *soak) successor(service string) string {
	count := 0
	for _, h := range s.hosts {
		if h.Service() == service {
			count++
		}
	}
	if count <= 2 || s.storage.IntN(2) == 0 {
		return service
	}
	if service == services[0] {
		return services[1]
	}
	return services[0]
}

// heal ends all faults and brings back all zones.
func (s *soak) heal() {
	for _, m := range append(append([]*machine{}, s.controls...), s.entries...) {
		m.proxy.set(modePass)
		m.signal(syscall.SIGCONT)
	}
	s.until("the zone is brought back", func() bool {
		status, err := s.operator.Evacuate(0, zones[1], "finish")
		return err == nil && status == 200
	})
}

// final loses a disk or kills everything right after a change was acknowledged,
// and checks that nothing is lost.
func (s *soak) final() {
	if !s.put(20) {
		return
	}
	if s.random.IntN(2) == 0 {
		m := s.controls[s.random.IntN(controlCount)]
		s.check.fault("%s loses its disk, all others are killed", m.name)
		if err := m.wipe(); err != nil {
			s.check.fault("could not: %v", err)
		}
	}
	for _, m := range append(append([]*machine{}, s.controls...), s.entries...) {
		m.signal(syscall.SIGKILL)
	}
	want := s.check.newest()
	for i := range s.controls {
		s.until("the newest configuration is read back", func() bool {
			version, err := s.operator.Read(i)
			if err == nil {
				s.check.read(i, version, want)
			}
			return err == nil && version >= want
		})
	}
	s.calm("the system serves again after the final fault")
}

// until waits until something holds.
func (s *soak) until(promise string, holds func() bool) {
	for deadline := time.Now().Add(recoverTimeout); time.Now().Before(deadline); {
		if holds() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.check.mutex.Lock()
	s.check.broken("not within %s: %s", recoverTimeout, promise)
	s.check.mutex.Unlock()
}
