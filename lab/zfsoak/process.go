// Package zfsoak runs the real programs as separate processes on loopback,
// injects faults from outside, and checks the promises of the system by what
// callers, backend servers and the operator observe.
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

// The ports of all instances, each of which has its own IP address.
const (
	trafficPort = 21001
	readyPort   = 21002
	callsPort   = 21003
	clusterPort = 21004
	adminPort   = 21005
	serverPort  = 21006
)

// restartPause is the time between the end of a process and its restart.
const restartPause = 200 * time.Millisecond

// instance is one instance of the system and its process.
type instance struct {
	name    string
	centre  string
	role    string
	address netip.Addr
	// proxyAddress is the address of the proxy in front of the instance.
	proxyAddress netip.Addr
	folder       string
	proxy        *proxy
	binary       string
	seeds        []netip.AddrPort
	centres      []string

	mutex sync.Mutex
	// firstStart is the setting that the whole system starts for the first time.
	firstStart bool
	stopped    bool
	command    *exec.Cmd
	startCount int
	done       sync.WaitGroup
}

func (inst *instance) settingsPath() string { return filepath.Join(inst.folder, "settings.json") }

// setWriteFault makes writes of the process fail, or succeed again, by folders in
// place of the files that it writes.
func (inst *instance) setWriteFault(on bool) error {
	for _, file := range []string{"record.new", "servers.new", "followers.new"} {
		path := filepath.Join(inst.dataFolder(), file)
		if !on {
			if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
				return errors.Wrap(err, "end write fault")
			}
			continue
		}
		_ = os.Remove(path) // A killed process may have left the file.
		if err := os.Mkdir(path, 0o700); err != nil {
			return errors.Wrap(err, "start write fault")
		}
	}
	return nil
}

func (inst *instance) dataFolder() string { return filepath.Join(inst.folder, "data") }

// writeSettings writes the settings file of the instance.
func (inst *instance) writeSettings() error {
	listen := map[string]any{
		"cluster":   netip.AddrPortFrom(inst.address, clusterPort),
		"advertise": netip.AddrPortFrom(inst.proxyAddress, clusterPort),
		"admin":     netip.AddrPortFrom(inst.address, adminPort),
	}
	settings := map[string]any{
		"format":  1,
		"name":    inst.name,
		"centre":  inst.centre,
		"roles":   []string{inst.role},
		"listen":  listen,
		"threads": 1,
		"plain":   true,
		"load": map[string]any{
			"placement": "wait",
			"admission": "room",
			"early":     "hold",
			"leaving":   map[string]any{},
		},
		"platform": map[string]any{
			"seeds":    inst.seeds,
			"centres":  inst.centres,
			"first":    inst.firstStart,
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
	if inst.role == "keeper" {
		settings["data"] = inst.dataFolder()
		listen["calls"] = netip.AddrPortFrom(inst.address, callsPort)
	} else {
		listen["traffic"] = netip.AddrPortFrom(inst.address, trafficPort)
		listen["ready"] = netip.AddrPortFrom(inst.address, readyPort)
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(inst.settingsPath(), text, 0o600), "write settings")
}

// supervise starts the process, and restarts it whenever it ends until the instance
// is stopped.
func (inst *instance) supervise() error {
	log, err := os.OpenFile(filepath.Join(inst.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	inst.done.Go(func() {
		defer log.Close()
		for inst.startProcess(log) {
			_ = inst.command.Wait() // The exit status only reflects the injected fault.
			time.Sleep(restartPause)
		}
	})
	return nil
}

// startProcess starts the process once; it returns false if the instance is stopped
// or the process can't be started.
func (inst *instance) startProcess(log *os.File) bool {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if inst.stopped {
		return false
	}
	inst.startCount++
	inst.command = exec.Command(inst.binary, "serve", "--settings", inst.settingsPath())
	inst.command.Stdout = log
	inst.command.Stderr = log
	return inst.command.Start() == nil
}

// starts returns how often the process was started.
func (inst *instance) starts() int {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	return inst.startCount
}

// signal sends a signal to the current process.
func (inst *instance) signal(signal syscall.Signal) {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	if inst.command != nil && inst.command.Process != nil {
		_ = inst.command.Process.Signal(signal) // The process may have ended already.
	}
}

// wipeDisk clears firstStart, kills the process and removes its data, as if the disk
// were lost.
func (inst *instance) wipeDisk() error {
	inst.mutex.Lock()
	defer inst.mutex.Unlock()
	inst.firstStart = false
	if err := inst.writeSettings(); err != nil {
		return err
	}
	_ = inst.command.Process.Kill() // The process may have ended already.
	return errors.Wrap(os.RemoveAll(inst.dataFolder()), "wipe disk")
}

// stop ends the process and its restarts.
func (inst *instance) stop() {
	inst.mutex.Lock()
	inst.stopped = true
	inst.mutex.Unlock()
	inst.signal(syscall.SIGCONT)
	inst.signal(syscall.SIGKILL)
	inst.done.Wait()
}
