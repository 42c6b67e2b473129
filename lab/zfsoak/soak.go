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

// Config configures a run.
type Config struct {
	// Binary is the path of the program, Folder holds settings, data and logs.
	Binary string
	Folder string
	Seed   uint64
	// Subnet separates the addresses of parallel runs on loopback, from 0 to 255.
	Subnet byte
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Progress receives a line for each phase; it may be nil.
	Progress func(line string)
}

const (
	controlCount = 3
	entryCount   = 4
	serverCount  = 8
	// recoverTimeout bounds the wait for the system to serve again, twice the
	// time that the users allow.
	recoverTimeout = 25 * time.Second
	// readinessInterval is how often the readiness of entry instances is polled.
	readinessInterval = 250 * time.Millisecond
	// meanFlowPause is the mean pause between two new flows.
	meanFlowPause = 8 * time.Millisecond
)

var centres = []string{"one", "two"}

// soak is the state of one run.
type soak struct {
	config Config
	random *rand.Rand
	// storageRandom is a separate random source, so that storage faults don't
	// change the sequence of the other faults.
	storageRandom *rand.Rand
	checker       *checker
	controls      []*instance
	entries       []*instance
	servers       []*zfplatform.Server
	lastNumber    uint64
	operator      *zfplatform.Operator
	callers       *zfplatform.Callers
	readyEntries  atomic.Pointer[[]netip.AddrPort]
	version       uint64
	routes        map[netip.AddrPort]string
	stop          chan struct{}
	running       sync.WaitGroup
}

// Run executes one run and returns its report. An error means the run could not
// start.
func Run(config Config) (Report, error) {
	s := &soak{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 2)),

		storageRandom: rand.New(rand.NewPCG(config.Seed, 4)),
		checker:       newChecker(config.Seed),
		routes:        make(map[netip.AddrPort]string),
		stop:          make(chan struct{}),
	}
	defer s.close()
	if err := s.start(); err != nil {
		close(s.stop)
		s.running.Wait()
		return s.checker.report, err
	}
	s.progress("started")
	s.waitServing("the first configuration comes into force")
	s.running.Go(s.openFlows)
	s.running.Go(s.readConfigurations)
	s.injectFaults()
	s.progress("faults are over")
	s.endFaults()
	s.waitServing("the system serves again after the faults")
	s.checkDrain()
	s.checkDurability()
	close(s.stop)
	s.running.Wait()
	return s.buildReport(), nil
}

func (s *soak) progress(line string) {
	if s.config.Progress != nil {
		s.config.Progress(fmt.Sprintf("seed %d: %.1fs %s", s.config.Seed, time.Since(s.checker.start).Seconds(), line))
	}
}

func (s *soak) address(network, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(network), s.config.Subnet, byte(host)})
}

func (s *soak) start() error {
	seeds := make([]netip.AddrPort, 0, controlCount)
	callAddresses := make([]netip.AddrPort, 0, controlCount)
	for i := range controlCount {
		seeds = append(seeds, netip.AddrPortFrom(s.address(78, i+1), callsPort))
		callAddresses = append(callAddresses, netip.AddrPortFrom(s.address(77, i+1), callsPort))
	}
	for i := range controlCount + entryCount {
		inst := &instance{
			name:         fmt.Sprintf("m%d", i+1),
			centre:       centres[i%len(centres)],
			role:         "keeper",
			address:      s.address(77, i+1),
			proxyAddress: s.address(78, i+1),
			folder:       filepath.Join(s.config.Folder, fmt.Sprintf("m%d", i+1)),
			binary:       s.config.Binary,
			seeds:        seeds,
			centres:      centres,
			firstStart:   true,
		}
		if i >= controlCount {
			inst.role = "forward"
			s.entries = append(s.entries, inst)
		} else {
			s.controls = append(s.controls, inst)
		}
		if err := s.startInstance(inst); err != nil {
			return err
		}
	}
	s.operator = zfplatform.NewOperator(callAddresses)
	callers, err := zfplatform.StartCallers(zfplatform.CallersConfig{
		Address: netip.AddrPortFrom(s.address(79, 1), trafficPort),
		Entries: func() []netip.AddrPort { return *s.readyEntries.Load() },
	})
	if err != nil {
		return err
	}
	s.callers = callers
	s.readyEntries.Store(&[]netip.AddrPort{})
	s.running.Go(s.pollReadiness)
	for i := range serverCount {
		if err := s.startNewServer(i, callAddresses); err != nil {
			return err
		}
	}
	s.routes[s.route(1)] = services[0]
	s.routes[s.route(2)] = services[1]
	return nil
}

func (s *soak) startInstance(inst *instance) error {
	if err := os.MkdirAll(inst.folder, 0o700); err != nil {
		return errors.Wrap(err, "create folder")
	}
	if err := inst.writeSettings(); err != nil {
		return err
	}
	p, err := startProxy(netip.AddrPortFrom(inst.proxyAddress, clusterPort), netip.AddrPortFrom(inst.address, clusterPort))
	if err != nil {
		return err
	}
	inst.proxy = p
	return inst.supervise()
}

// services are the services of the deployment.
var services = [...]string{"orders", "proofs"}

// startNewServer starts a backend server with a new number at index i.
func (s *soak) startNewServer(i int, controls []netip.AddrPort) error {
	s.lastNumber++
	return s.startServer(i, s.lastNumber, services[i/2%2], controls)
}

// startServer starts the backend server with this number at index i.
func (s *soak) startServer(i int, number uint64, service string, controls []netip.AddrPort) error {
	server, err := zfplatform.StartServer(zfplatform.ServerConfig{
		Number:     number,
		Service:    service,
		Centre:     centres[i%len(centres)],
		Address:    netip.AddrPortFrom(s.address(80, i+1), serverPort),
		CallerPort: trafficPort,
		Controls:   controls,
		Interval:   400 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	s.checker.addServer(server)
	if i < len(s.servers) {
		s.servers[i] = server
	} else {
		s.servers = append(s.servers, server)
	}
	return nil
}

func (s *soak) route(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 443)
}

// pollReadiness polls the entry instances and stores those that are ready. If fewer
// than half are, it stores all.
func (s *soak) pollReadiness() {
	client := &http.Client{
		Timeout: readinessInterval,
	}
	for {
		all := make([]netip.AddrPort, 0, entryCount)
		ready := make([]netip.AddrPort, 0, entryCount)
		for _, inst := range s.entries {
			traffic := netip.AddrPortFrom(inst.address, trafficPort)
			all = append(all, traffic)
			response, err := client.Get(fmt.Sprintf("http://%s/readiness", netip.AddrPortFrom(inst.address, readyPort)))
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
		s.readyEntries.Store(&ready)
		if s.pause(readinessInterval) {
			return
		}
	}
}

// pause waits for d or the end of the run, and reports whether the run is over.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return true
	case <-time.After(d):
		return false
	}
}

// openFlows opens flows to the first two routes until the run is over.
func (s *soak) openFlows() {
	random := rand.New(rand.NewPCG(s.config.Seed, 3))
	for {
		route := s.route(1 + random.IntN(2))
		requests, gap := 1+random.IntN(6), time.Duration(random.IntN(300))*time.Millisecond
		s.running.Go(func() { s.checker.checkFlow(s.callers.RunFlow(route, requests, gap)) })
		if s.pause(time.Duration(random.Int64N(int64(2 * meanFlowPause)))) {
			return
		}
	}
}

// readConfigurations reads the configuration from the control instances in turn.
func (s *soak) readConfigurations() {
	for i := 0; !s.pause(50 * time.Millisecond); i++ {
		before := s.checker.highestAcknowledged()
		if version, err := s.operator.Read(i); err == nil {
			s.checker.checkRead(i%controlCount, version, before)
		}
	}
}

// putConfiguration sends the current routes under a new version until they are
// acknowledged or refused, at most tries times.
func (s *soak) putConfiguration(tries int) bool {
	s.version += 1 + uint64(s.random.IntN(3))
	configuration := zfplatform.Configuration{
		Version: s.version,
	}
	for _, name := range services {
		configuration.Services = append(configuration.Services, struct{ Name string }{
			Name: name,
		})
	}
	for address, service := range s.routes {
		configuration.Routes = append(configuration.Routes, zfplatform.Route{
			Name:       address.String(),
			Host:       address.Addr().String(),
			PathPrefix: fmt.Sprintf("/%d/", address.Port()),
			Kind:       "idempotent",
			TimeoutMs:  1000 + int(s.version),
			Service:    service,
		})
	}
	s.checker.recordSent(s.routes)
	for range tries {
		status, err := s.operator.Put(s.random.IntN(controlCount), configuration)
		switch {
		case err == nil && status == http.StatusOK:
			s.checker.recordAccepted(s.version)
			return true
		case err == nil:
			s.checker.recordRefused(s.version, status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// waitServing waits until a configuration is accepted and flows are answered.
func (s *soak) waitServing(condition string) {
	deadline := time.Now().Add(recoverTimeout)
	for time.Now().Before(deadline) {
		if s.putConfiguration(1) && s.flowsAnswered() {
			s.progress(condition)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.checker.mutex.Lock()
	s.checker.addViolation("not within %s: %s", recoverTimeout, condition)
	s.checker.mutex.Unlock()
}

// flowsAnswered reports whether flows to both routes are answered.
func (s *soak) flowsAnswered() bool {
	for i := range 20 {
		flow := s.callers.RunFlow(s.route(1+i%2), 1, 0)
		s.checker.checkFlow(flow)
		if flow.Outcome != zfplatform.FlowDone {
			return false
		}
	}
	return true
}

func (s *soak) buildReport() Report {
	for _, inst := range append(s.controls, s.entries...) {
		s.checker.report.Starts += inst.starts()
	}
	for name, incarnations := range s.checker.servers {
		for _, server := range incarnations {
			if n := server.Invalid.Load(); n > 0 {
				s.checker.addViolation("%s received %d invalid packets", name, n)
			}
		}
	}
	return s.checker.report
}

func (s *soak) close() {
	for _, inst := range append(s.controls, s.entries...) {
		inst.stop()
		if inst.proxy != nil {
			inst.proxy.close()
		}
	}
	for _, server := range s.servers {
		if !server.Ended() {
			server.Crash()
		}
	}
	if s.callers != nil {
		_ = s.callers.Close() // The socket was open; an error has no consequence.
	}
}
