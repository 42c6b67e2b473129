package zfsoak

import (
	"net/netip"
	"syscall"
	"time"

	"zinniafront/lab/zfplatform"
)

// injectFaults injects faults, which may overlap, until FaultDuration is over.
func (s *soak) injectFaults() {
	for end := time.Now().Add(s.config.FaultDuration); time.Now().Before(end); {
		s.injectFault()
		if s.storageRandom.IntN(faultsPerStorageFault) == 0 {
			s.injectWriteFault()
		}
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
	}
}

// faultsPerStorageFault is the mean number of other faults for each storage fault.
const faultsPerStorageFault = 6

// injectWriteFault makes all writes of a control instance fail for a while, as on a
// full disk.
func (s *soak) injectWriteFault() {
	inst := s.controls[s.storageRandom.IntN(controlCount)]
	d := time.Duration(500+s.storageRandom.IntN(3000)) * time.Millisecond
	if err := inst.setWriteFault(true); err != nil {
		return // The writes fail already.
	}
	s.checker.recordFault("writes to the disk of %s fail for %s", inst.name, d)
	s.endFaultAfter(d, func() {
		if err := inst.setWriteFault(false); err != nil {
			s.checker.recordFault("could not end the write fault: %v", err)
		}
	})
}

// any returns a random instance of the system, and how long its fault lasts.
func (s *soak) any() (*instance, time.Duration) {
	all := append(append([]*instance{}, s.controls...), s.entries...)
	return all[s.random.IntN(len(all))], time.Duration(300+s.random.IntN(2700)) * time.Millisecond
}

func (s *soak) injectFault() {
	inst, d := s.any()
	switch s.random.IntN(12) {
	case 0:
		s.checker.recordFault("kill %s", inst.name)
		inst.signal(syscall.SIGKILL)
	case 1:
		s.checker.recordFault("terminate %s", inst.name)
		inst.signal(syscall.SIGTERM)
	case 2:
		s.checker.recordFault("hang up %s", inst.name)
		inst.signal(syscall.SIGHUP)
	case 3:
		s.checker.recordFault("pause %s for %s", inst.name, d)
		inst.signal(syscall.SIGSTOP)
		s.endFaultAfter(d, func() { inst.signal(syscall.SIGCONT) })
	case 4, 5:
		kind := mode(1 + s.random.IntN(int(modeReset)))
		s.checker.recordFault("%s %s for %s", modeNames[kind], inst.name, d)
		inst.proxy.setMode(kind)
		s.endFaultAfter(d, func() { inst.proxy.setMode(modePass) })
	case 6:
		s.checker.recordFault("kill all control instances")
		for _, c := range s.controls {
			c.signal(syscall.SIGKILL)
		}
	case 7, 8:
		s.putRouteChange()
	case 9:
		s.injectServerFault(s.random.IntN(len(s.servers)))
	case 10:
		action := []string{"start", "finish"}[s.random.IntN(2)]
		s.checker.recordFault("evacuate: %s", action)
		_, _ = s.operator.Evacuate(s.random.IntN(controlCount), centres[1], action) // The call may succeed or fail.
	default:
		s.putInvalid()
	}
}

// endFaultAfter ends a fault after d, or when the run is over.
func (s *soak) endFaultAfter(d time.Duration, end func()) {
	s.running.Go(func() {
		s.pause(d)
		end()
	})
}

// putRouteChange sends a configuration that adds or removes a route without flows.
func (s *soak) putRouteChange() {
	route := s.route(10 + s.random.IntN(5))
	if _, ok := s.routes[route]; ok {
		delete(s.routes, route)
	} else {
		s.routes[route] = services[0]
	}
	s.checker.recordFault("change to a version above %d", s.version)
	s.putConfiguration(3)
}

// putInvalid sends a configuration that must be refused.
func (s *soak) putInvalid() {
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
		s.checker.mutex.Lock()
		s.checker.addViolation("an invalid configuration was answered with status %d", status)
		s.checker.mutex.Unlock()
	}
}

// injectServerFault ends a backend server in one of several ways, and starts
// another one, or the same one again, in its place.
func (s *soak) injectServerFault(i int) {
	server := s.servers[i]
	controls := make([]netip.AddrPort, 0, controlCount)
	for _, inst := range s.controls {
		controls = append(controls, netip.AddrPortFrom(inst.address, callsPort))
	}
	number, service := uint64(0), server.Service()
	switch s.random.IntN(3) {
	case 0:
		service = s.nextService(service)
		s.checker.recordFault("%s crashes, its address is reused for service %s", server.ID(), service)
		server.Crash()
		time.Sleep(300 * time.Millisecond)
	case 1:
		s.checker.recordFault("%s drains and leaves", server.ID())
		server.Drain()
		time.Sleep(time.Second)
		server.Leave()
	default:
		s.checker.recordFault("%s crashes and restarts", server.ID())
		server.Crash()
		number = server.Number()
	}
	if number == 0 {
		s.lastNumber++
		number = s.lastNumber
	}
	if err := s.startServer(i, number, service, controls); err != nil {
		s.checker.recordFault("could not start backend server at index %d: %v", i, err)
	}
}

const (
	// drainBound is how long a draining backend server may still get new flows, as
	// the platform's page states it.
	drainBound = 3 * time.Second
	// drainObservation is how long new flows are counted after drainBound; some 20
	// flows open in it.
	drainObservation = time.Second
)

// checkDrain drains a backend server while there are no faults, and checks that it
// gets no new flows after drainBound.
func (s *soak) checkDrain() {
	server := s.servers[0]
	acknowledged := server.Drain()
	s.pause(drainBound)
	before := server.Openings.Load()
	s.pause(drainObservation)
	opened := server.Openings.Load() - before
	s.checker.mutex.Lock()
	defer s.checker.mutex.Unlock()
	if !acknowledged {
		s.checker.addViolation("draining of %s was not acknowledged by any control instance", server.ID())
	}
	if opened > 0 {
		s.checker.addViolation("%s announced draining %s ago and got %d new flows", server.ID(), drainBound, opened)
	}
}

// nextService returns the service that an address is reused for: in half of the
// cases the other one, if its own keeps two backend servers.
func (s *soak) nextService(service string) string {
	count := 0
	for _, server := range s.servers {
		if server.Service() == service {
			count++
		}
	}
	if count <= 2 || s.storageRandom.IntN(2) == 0 {
		return service
	}
	if service == services[0] {
		return services[1]
	}
	return services[0]
}

// endFaults ends all faults and evacuations.
func (s *soak) endFaults() {
	for _, inst := range append(append([]*instance{}, s.controls...), s.entries...) {
		inst.proxy.setMode(modePass)
		inst.signal(syscall.SIGCONT)
	}
	s.waitUntil("the evacuation is finished", func() bool {
		status, err := s.operator.Evacuate(0, centres[1], "finish")
		return err == nil && status == 200
	})
}

// checkDurability kills all instances right after a change was acknowledged, in half
// of the runs with the loss of a disk, and checks that the change is not lost.
func (s *soak) checkDurability() {
	if !s.putConfiguration(20) {
		return
	}
	if s.random.IntN(2) == 0 {
		inst := s.controls[s.random.IntN(controlCount)]
		s.checker.recordFault("%s loses its disk, all others are killed", inst.name)
		if err := inst.wipeDisk(); err != nil {
			s.checker.recordFault("could not wipe the disk: %v", err)
		}
	}
	for _, inst := range append(append([]*instance{}, s.controls...), s.entries...) {
		inst.signal(syscall.SIGKILL)
	}
	want := s.checker.highestAcknowledged()
	for i := range s.controls {
		s.waitUntil("the newest configuration is read back", func() bool {
			version, err := s.operator.Read(i)
			if err == nil {
				s.checker.checkRead(i, version, want)
			}
			return err == nil && version >= want
		})
	}
	s.waitServing("the system serves again after the final fault")
}

// waitUntil waits until a condition holds, and records a violation if it doesn't
// within recoverTimeout.
func (s *soak) waitUntil(condition string, holds func() bool) {
	for deadline := time.Now().Add(recoverTimeout); time.Now().Before(deadline); {
		if holds() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.checker.mutex.Lock()
	s.checker.addViolation("not within %s: %s", recoverTimeout, condition)
	s.checker.mutex.Unlock()
}
