package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The figures of the deployment dvsu-front.
const (
	heartbeatInterval = 770 * time.Millisecond
	contactTime       = 4 * time.Second
	catchUpTime       = 4 * time.Second
	recoveryTime      = 12 * time.Second
	graceTime         = 6 * time.Second
	coldOverage       = 1.5
	coldSlack         = 5
)

var zones = []string{"hobart", "kingston", "new-norfolk"}

// process is one of the project's processes on a machine of its own.
type process struct {
	run     *run
	name    string
	zone    int
	keeper  bool
	address netip.Addr

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// addProcess adds a machine. It has an address in its zone's net.
func (r *run) addProcess(name string, zone, machine int, keeper bool) *process {
	p := &process{
		run:     r,
		name:    name,
		zone:    zone,
		keeper:  keeper,
		address: r.address(zone+1, machine),
	}
	r.mutex.Lock()
	r.processes = append(r.processes, p)
	r.mutex.Unlock()
	return p
}

func (p *process) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(p.address, port) }

func (p *process) folder() string { return filepath.Join(p.run.folder, p.name) }

// writeSettings writes the settings that the template of the deploy file yields.
func (p *process) writeSettings(first bool, seeds []netip.AddrPort) (string, error) {
	listen := map[string]any{
		"cluster": p.at(p.run.ports.cluster),
		"admin":   p.at(p.run.ports.admin),
	}
	role := "forward"
	if p.keeper {
		role = "keeper"
		listen["calls"] = p.at(p.run.ports.control)
	} else {
		listen["traffic"] = p.at(p.run.ports.traffic)
		listen["ready"] = p.at(p.run.ports.ready)
	}
	settings := map[string]any{
		"format":  1,
		"name":    p.name,
		"centre":  zones[p.zone],
		"roles":   []string{role},
		"listen":  listen,
		"threads": 1,
		"plain":   true,
		"private": true,
		"load": map[string]any{
			"placement": "wait",
			"admission": "room",
			"early":     "hold",
			"leaving":   map[string]any{"kilobyte": "5ms"},
		},
		"platform": map[string]any{
			"seeds":    seeds,
			"centres":  zones,
			"first":    first,
			"losses":   1,
			"interval": fmt.Sprintf("%dms", heartbeatInterval.Milliseconds()),
			"grace":    "6s",
			"drain":    "3s",
			"modes": map[string]string{
				"forwarding": "echo",
				"hash":       "steady",
				"discovery":  "registry",
				"entry":      "announcement",
				"versions":   "highest",
			},
		},
	}
	if p.keeper {
		settings["data"] = filepath.Join(p.folder(), "data")
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	if err := os.MkdirAll(p.folder(), 0o700); err != nil {
		return "", errors.Wrap(err, "create folder")
	}
	path := filepath.Join(p.folder(), "settings.json")
	return path, errors.Wrap(os.WriteFile(path, text, 0o600), "write settings")
}

// start starts the process with the command of the deploy file.
func (p *process) start(first bool, seeds []netip.AddrPort) error {
	path, err := p.writeSettings(first, seeds)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	command := exec.Command(p.run.program, "serve", "--settings", path)
	command.Stdout = log
	command.Stderr = log
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	p.command = command
	p.exited = make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait() // Signals of this run end it.
		close(exited)
	}(p.exited)
	return nil
}

func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return nil
	}
	_ = p.command.Process.Signal(s) // It may have ended already.
	return p.exited
}

// kill ends the process without notice and waits for its end.
func (p *process) kill() {
	if exited := p.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// stop ends the process as the platform does at planned work.
func (p *process) stop() {
	exited := p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		p.kill()
	}
}

// running reports whether the process runs.
func (p *process) running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
