package zfsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"zinniafront/lab/zfplatform"
)

// Config holds what a run is built from.
type Config struct {
	// Binary is the program, Folder takes settings, data and logs.
	Binary string
	Folder string
	Seed   uint64
	// Subnet tells runs on one machine apart, from 0 to 255.
	Subnet byte
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Progress gets a line a phase; it may be nil.
	Progress func(line string)
}

const (
	controlCount = 3
	entryCount   = 4
	hostCount    = 8
	// recoverTimeout bounds the wait for the system to serve again, twice the
	// time that the users allow.
	recoverTimeout = 25 * time.Second
	// readyEvery is how often the fabric asks who is ready.
	readyEvery = 250 * time.Millisecond
	// flowPause is the mean pause between two new flows.
	flowPause = 8 * time.Millisecond
)

var zones = []string{"one", "two"}

// soak is one run.
type soak struct {
	config Config
	random *rand.Rand
	// storage is a source of its own, so that its faults change no others.
	storage  *rand.Rand
	check    *checker
	controls []*machine
	entries  []*machine
	hosts    []*zfplatform.Server
	numbers  uint64
	operator *zfplatform.Operator
	callers  *zfplatform.Callers
	rotation atomic.Pointer[[]netip.AddrPort]
	version  uint64
	routes   map[netip.AddrPort]string
	stop     chan struct{}
	running  sync.WaitGroup
}

// Run plays one run and returns its report. An error tells that it could not be
// played.
func Run(config Config) (Report, error) {
	s := &soak{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 2)),

		storage: rand.New(rand.NewPCG(config.Seed, 4)),
		check:   newChecker(config.Seed),
		routes:  make(map[netip.AddrPort]string),
		stop:    make(chan struct{}),
	}
	defer s.close()
	if err := s.start(); err != nil {
		close(s.stop)
		s.running.Wait()
		return s.check.report, err
	}
	s.progress("started")
	s.calm("the first configuration comes into force")
	s.running.Go(s.traffic)
	s.running.Go(s.reads)
	s.trouble()
	s.progress("faults are over")
	s.heal()
	s.calm("the system serves again after the faults")
	s.retire()
	s.final()
	close(s.stop)
	s.running.Wait()
	return s.finish(), nil
}

func (s *soak) progress(line string) {
	if s.config.Progress != nil {
		s.config.Progress(fmt.Sprintf("seed %d: %.1fs %s", s.config.Seed, time.Since(s.check.start).Seconds(), line))
	}
}

func (s *soak) address(net, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(net), s.config.Subnet, byte(host)})
}

func (s *soak) start() error {
	seeds := make([]netip.AddrPort, 0, controlCount)
	calls := make([]netip.AddrPort, 0, controlCount)
	for i := range controlCount {
		seeds = append(seeds, netip.AddrPortFrom(s.address(78, i+1), callsPort))
		calls = append(calls, netip.AddrPortFrom(s.address(77, i+1), callsPort))
	}
	for i := range controlCount + entryCount {
		m := &machine{
			name:    fmt.Sprintf("m%d", i+1),
			zone:    zones[i%len(zones)],
			role:    "keeper",
			address: s.address(77, i+1),
			outside: s.address(78, i+1),
			folder:  filepath.Join(s.config.Folder, fmt.Sprintf("m%d", i+1)),
			binary:  s.config.Binary,
			seeds:   seeds,
			zones:   zones,
			first:   true,
		}
		if i >= controlCount {
			m.role = "forward"
			s.entries = append(s.entries, m)
		} else {
			s.controls = append(s.controls, m)
		}
		if err := s.boot(m); err != nil {
			return err
		}
	}
	s.operator = zfplatform.NewOperator(calls)
	callers, err := zfplatform.StartCallers(zfplatform.CallersConfig{
		Address: netip.AddrPortFrom(s.address(79, 1), trafficPort),
		Entries: func() []netip.AddrPort { return *s.rotation.Load() },
	})
	if err != nil {
		return err
	}
	s.callers = callers
	s.rotation.Store(&[]netip.AddrPort{})
	s.running.Go(s.fabric)
	for i := range hostCount {
		if err := s.host(i, calls); err != nil {
			return err
		}
	}
	s.routes[s.route(1)] = services[0]
	s.routes[s.route(2)] = services[1]
	return nil
}

func (s *soak) boot(m *machine) error {
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return errors.Wrap(err, "make folder")
	}
	if err := m.write(); err != nil {
		return err
	}
	p, err := startProxy(netip.AddrPortFrom(m.outside, clusterPort), netip.AddrPortFrom(m.address, clusterPort))
	if err != nil {
		return err
	}
	m.proxy = p
	return m.run()
}

// services are those of the deployment.
var services = [...]string{"orders", "proofs"}

// host starts a new backend server at place i.
func (s *soak) host(i int, controls []netip.AddrPort) error {
	s.numbers++
	return s.life(i, s.numbers, services[i/2%2], controls)
}

// life starts a backend server with a number at place i.
func (s *soak) life(i int, number uint64, service string, controls []netip.AddrPort) error {
	h, err := zfplatform.StartServer(zfplatform.ServerConfig{
		Number:     number,
		Service:    service,
		Centre:     zones[i%len(zones)],
		Address:    netip.AddrPortFrom(s.address(80, i+1), hostPort),
		CallerPort: trafficPort,
		Controls:   controls,
		Interval:   400 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	s.check.host(h)
	if i < len(s.hosts) {
		s.hosts[i] = h
	} else {
		s.hosts = append(s.hosts, h)
	}
	return nil
}

func (s *soak) route(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443)
}

// fabric keeps the rotation of entry instances that say they are ready. If fewer
// than half do, all are used.
func (s *soak) fabric() {
	client := &http.Client{
		Timeout: readyEvery,
	}
	for {
		all := make([]netip.AddrPort, 0, entryCount)
		ready := make([]netip.AddrPort, 0, entryCount)
		for _, m := range s.entries {
			traffic := netip.AddrPortFrom(m.address, trafficPort)
			all = append(all, traffic)
			response, err := client.Get(fmt.Sprintf("http://%s/readiness", netip.AddrPortFrom(m.address, readyPort)))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, traffic)
			}
		}
		if 2*len(ready) < len(all) {
			ready = all
		}
		s.rotation.Store(&ready)
		if s.pause(readyEvery) {
			return
		}
	}
}

// pause waits, and reports whether the run is over.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return true
	case <-time.After(d):
		return false
	}
}

// traffic opens flows to the first two routes until the run is over.
func (s *soak) traffic() {
	random := rand.New(rand.NewPCG(s.config.Seed, 3))
	for {
		route := s.route(1 + random.IntN(2))
		requests, gap := 1+random.IntN(6), time.Duration(random.IntN(300))*time.Millisecond
		s.running.Go(func() { s.check.flow(s.callers.RunFlow(route, requests, gap)) })
		if s.pause(time.Duration(random.Int64N(int64(2 * flowPause)))) {
			return
		}
	}
}

// reads reads the configuration at one control instance after the other.
func (s *soak) reads() {
	for i := 0; !s.pause(50 * time.Millisecond); i++ {
		before := s.check.newest()
		if version, err := s.operator.Read(i); err == nil {
			s.check.read(i%controlCount, version, before)
		}
	}
}

// put sends the present routes under a new version until they are acknowledged,
// for some tries.
func (s *soak) put(tries int) bool {
	s.version += 1 + uint64(s.random.IntN(3))
	c := zfplatform.Configuration{
		Version: s.version,
	}
	for _, name := range services {
		c.Services = append(c.Services, struct{ Name string }{
			Name: name,
		})
	}
	for address, service := range s.routes {
		c.Routes = append(c.Routes, zfplatform.Route{
			Name:       address.String(),
			Host:       address.Addr().String(),
			PathPrefix: fmt.Sprintf("/%d/", address.Port()),
			Kind:       "idempotent",
			TimeoutMs:  1000 + int(s.version),
			Service:    service,
		})
	}
	s.check.sent(s.routes)
	for range tries {
		status, err := s.operator.Put(s.random.IntN(controlCount), c)
		switch {
		case err == nil && status == http.StatusOK:
			s.check.accepted(s.version)
			return true
		case err == nil:
			s.check.refused(s.version, status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// calm waits until changes are taken and flows are served.
func (s *soak) calm(promise string) {
	deadline := time.Now().Add(recoverTimeout)
	for time.Now().Before(deadline) {
		if s.put(1) && s.serves() {
			s.progress(promise)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.check.mutex.Lock()
	s.check.broken("not within %s: %s", recoverTimeout, promise)
	s.check.mutex.Unlock()
}

// serves reports whether flows to both routes are answered.
func (s *soak) serves() bool {
	for i := range 20 {
		flow := s.callers.RunFlow(s.route(1+i%2), 1, 0)
		s.check.flow(flow)
		if flow.Outcome != zfplatform.FlowDone {
			return false
		}
	}
	return true
}

func (s *soak) finish() Report {
	for _, m := range append(s.controls, s.entries...) {
		s.check.report.Starts += m.starts()
	}
	for name, lives := range s.check.hosts {
		for _, h := range lives {
			if n := h.Invalid.Load(); n > 0 {
				s.check.broken("%s got %d packets that no caller wrote", name, n)
			}
		}
	}
	return s.check.report
}

func (s *soak) close() {
	for _, m := range append(s.controls, s.entries...) {
		m.stop()
		if m.proxy != nil {
			m.proxy.close()
		}
	}
	for _, h := range s.hosts {
		if !h.Ended() {
			h.Crash()
		}
	}
	if s.callers != nil {
		_ = s.callers.Close() // It was open; there is nobody to tell otherwise.
	}
}
