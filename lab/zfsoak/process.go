// Package zfsoak runs the real programs as separate processes on loopback,
// injects faults from outside them, and checks the promises of the system from
// what callers, backend servers and the operator see.
package zfsoak

import (
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The ports of all machines, each of which has an address of its own.
const (
	trafficPort = 21001
	readyPort   = 21002
	callsPort   = 21003
	clusterPort = 21004
	adminPort   = 21005
	hostPort    = 21006
)

// restartPause is how long a process that ended stays down.
const restartPause = 200 * time.Millisecond

// machine is one machine of the system with its one process.
type machine struct {
	name    string
	zone    string
	role    string
	address netip.Addr
	// outside is the address of the proxy before the machine.
	outside netip.Addr
	folder  string
	proxy   *proxy
	binary  string
	seeds   []netip.AddrPort
	zones   []string

	mutex sync.Mutex
	// first tells that the whole system starts for the first time.
	first   bool
	stopped bool
	command *exec.Cmd
	count   int
	done    sync.WaitGroup
}

func (m *machine) settingsPath() string { return filepath.Join(m.folder, "settings.json") }

// refuse has the process find folders in place of the files that it writes, or no
// longer.
func (m *machine) refuse(on bool) error {
	for _, file := range []string{"record.new", "servers.new", "followers.new"} {
		path := filepath.Join(m.data(), file)
		if !on {
			if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
				return errors.Wrap(err, "end a disk's fault")
			}
			continue
		}
		_ = os.Remove(path) // A file may be there after a kill.
		if err := os.Mkdir(path, 0o700); err != nil {
			return errors.Wrap(err, "make a disk refuse writes")
		}
	}
	return nil
}

func (m *machine) data() string { return filepath.Join(m.folder, "data") }

// write writes the machine's settings.
func (m *machine) write() error {
	listen := map[string]any{
		"cluster":   netip.AddrPortFrom(m.address, clusterPort),
		"advertise": netip.AddrPortFrom(m.outside, clusterPort),
		"admin":     netip.AddrPortFrom(m.address, adminPort),
	}
	settings := map[string]any{
		"format":  1,
		"name":    m.name,
		"centre":  m.zone,
		"roles":   []string{m.role},
		"listen":  listen,
		"threads": 1,
		"plain":   true,
		"platform": map[string]any{
			"seeds":    m.seeds,
			"centres":  m.zones,
			"first":    m.first,
			"losses":   1,
			"interval": "400ms",
			"modes": map[string]string{
				"forwarding": "echo",
				"hash":       "steady",
				"discovery":  "registry",
				"entry":      "announcement",
				"versions":   "highest",
			},
		},
	}
	if m.role == "keeper" {
		settings["data"] = m.data()
		listen["calls"] = netip.AddrPortFrom(m.address, callsPort)
	} else {
		listen["traffic"] = netip.AddrPortFrom(m.address, trafficPort)
		listen["ready"] = netip.AddrPortFrom(m.address, readyPort)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(m.settingsPath(), text, 0o600), "write settings")
}

// run keeps the process running until the machine is stopped.
func (m *machine) run() error {
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	m.done.Go(func() {
		defer log.Close()
		for m.start(log) {
			_ = m.command.Wait() // How it ended is the fault that was injected.
			time.Sleep(restartPause)
		}
	})
	return nil
}

// start starts the process once; it returns false if the machine is stopped.
func (m *machine) start(log *os.File) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopped {
		return false
	}
	m.count++
	m.command = exec.Command(m.binary, "serve", "--settings", m.settingsPath())
	m.command.Stdout = log
	m.command.Stderr = log
	return m.command.Start() == nil
}

// starts returns how often a process was started.
func (m *machine) starts() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.count
}

// signal sends a signal to the process that runs now.
func (m *machine) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(signal) // It may have ended by itself.
	}
}

// wipe loses the machine's disk.
func (m *machine) wipe() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.first = false
	if err := m.write(); err != nil {
		return err
	}
	_ = m.command.Process.Kill() // It may have ended by itself.
	return errors.Wrap(os.RemoveAll(m.data()), "lose a disk")
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mutex.Lock()
	m.stopped = true
	m.mutex.Unlock()
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.done.Wait()
}
