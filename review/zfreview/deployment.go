package zfreview

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The bounds of the small deployments' sheets.
const (
	HeartbeatInterval = 770 * time.Millisecond
	// ContactTime is ContactMs.
	ContactTime = 4 * time.Second
	// DrainTime is DrainMs.
	DrainTime = 3 * time.Second
	// EvacuationTime is EvacuationMs.
	EvacuationTime = 5 * time.Second
	// StretchTime is StretchMaxMs.
	StretchTime = 12 * time.Second
)

// The offsets of the ports of all machines from Deployment.basePort.
const (
	offsetTraffic = iota
	offsetReady
	offsetCalls
	offsetCluster
	offsetServer
	portCount
)

// adminPort is the port of the metrics in the deploy file.
const adminPort = 19788

// The last bytes of the first addresses of each kind of machine.
const (
	firstControl = 1
	firstEntry   = 21
	callerHost   = 250
)

// Process is one process of the system.
type Process struct {
	name     string
	zone     string
	ip       netip.Addr
	folder   string
	settings map[string]any
	command  *exec.Cmd
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.name)
}

// Config describes a deployment.
type Config struct {
	// Program is the program that the deploy file builds.
	Program string
	// Zones are the zones; there is one control instance in each.
	Zones []string
	// Entries are the zones of the entry instances.
	Entries []string
	Record  *Record
}

// Deployment is a small deployment on loopback addresses of its own.
type Deployment struct {
	config   Config
	folder   string
	network  [3]byte
	basePort uint16
	Controls []*Process
	Entries  []*Process
}

// Start starts all processes with empty disks and waits until the entry instances accept
// connections.
func Start(config Config) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "zfreview-")
	if err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	d := &Deployment{
		config: config,
		folder: folder,
	}
	if err := d.choosePorts(); err != nil {
		return nil, err
	}
	for i, zone := range config.Zones {
		d.Controls = append(d.Controls, d.newProcess("core", zone, d.ip(firstControl+i)))
	}
	for i, zone := range config.Entries {
		d.Entries = append(d.Entries, d.newProcess("front", zone, d.ip(firstEntry+i)))
	}
	for _, p := range d.processes() {
		if err := d.StartProcess(p, true); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) processes() []*Process {
	return append(append([]*Process(nil), d.Controls...), d.Entries...)
}

func (d *Deployment) ip(last int) netip.Addr {
	return netip.AddrFrom4([4]byte{d.network[0], d.network[1], d.network[2], byte(last)})
}

func (d *Deployment) address(ip netip.Addr, offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(ip, d.basePort+offset)
}

// choosePorts chooses a loopback network and ports that are free on its first address.
func (d *Deployment) choosePorts() error {
	for range 50 {
		d.network = [3]byte{127, byte(16 + rand.IntN(200)), byte(1 + rand.IntN(250))}
		d.basePort = uint16(20000 + rand.IntN(10000))
		if d.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *Deployment) portsFree() bool {
	for offset := range uint16(portCount) {
		listener, err := net.Listen("tcp", d.address(d.ip(firstControl), offset).String())
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// newProcess returns a process with the settings that the template of the deploy file
// yields for its machine.
func (d *Deployment) newProcess(kind, zone string, ip netip.Addr) *Process {
	p := &Process{
		name: fmt.Sprintf("%s-%s-%d", kind, zone, ip.As4()[3]),
		zone: zone,
		ip:   ip,
	}
	p.folder = filepath.Join(d.folder, p.name)
	seeds := make([]netip.AddrPort, 0, len(d.config.Zones))
	for i := range d.config.Zones {
		seeds = append(seeds, d.address(d.ip(firstControl+i), offsetCalls))
	}
	listen := map[string]any{
		"cluster": d.address(ip, offsetCluster),
		"admin":   netip.AddrPortFrom(ip, adminPort),
	}
	p.settings = map[string]any{
		"format":  1,
		"name":    p.name,
		"centre":  zone,
		"listen":  listen,
		"threads": 1,
		"plain":   true,
		"private": true,
	}
	if kind == "core" {
		p.settings["roles"] = []string{"keeper"}
		p.settings["data"] = filepath.Join(p.folder, "data")
		listen["calls"] = d.address(ip, offsetCalls)
	} else {
		p.settings["roles"] = []string{"forward"}
		listen["traffic"] = d.address(ip, offsetTraffic)
		listen["ready"] = d.address(ip, offsetReady)
	}
	p.settings["platform"] = map[string]any{
		"seeds":    seeds,
		"centres":  d.config.Zones,
		"losses":   1,
		"interval": HeartbeatInterval.String(),
		"grace":    "6s",
		"drain":    DrainTime.String(),
		"modes": map[string]string{
			"forwarding": "echo",
			"hash":       "steady",
			"discovery":  "registry",
			"entry":      "announcement",
			"versions":   "highest",
		},
	}
	return p
}

// StartProcess starts a process with the command of the deploy file. first is set at the
// first start of the whole system.
func (d *Deployment) StartProcess(p *Process, first bool) error {
	p.settings["platform"].(map[string]any)["first"] = first
	text, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return errors.Wrap(err, "create folder of process")
	}
	path := filepath.Join(p.folder, "settings.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	p.command = exec.Command(d.config.Program, "serve", "--settings", path)
	p.command.Stdout = log
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	d.config.Record.Printf("start %s on %s, pid %d", p.name, p.ip, p.command.Process.Pid)
	return nil
}

// Kill kills a process and waits for its end.
func (d *Deployment) Kill(p *Process) {
	d.config.Record.Printf("kill %s", p.name)
	_ = p.command.Process.Kill() // It may have ended already.
	_ = p.command.Wait()         // The status only shows the signal.
}

// WaitReady waits until all entry instances are ready.
func (d *Deployment) WaitReady(timeout time.Duration) error {
	client := &http.Client{
		Timeout: 500 * time.Millisecond,
	}
	deadline := time.Now().Add(timeout)
	for _, p := range d.Entries {
		for !isReady(client, d.address(p.ip, offsetReady)) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, address netip.AddrPort) bool {
	response, err := client.Get(fmt.Sprintf("http://%s/readiness", address))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop kills all processes and removes their files. KEEP=1 in the environment keeps them.
func (d *Deployment) Stop() {
	for _, p := range d.processes() {
		if p.command != nil && p.command.Process != nil && p.command.ProcessState == nil {
			_ = p.command.Process.Kill() // It may have ended already.
			_ = p.command.Wait()         // The status only shows the signal.
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder) // A leftover in the temporary folder does no harm.
		return
	}
	d.config.Record.Printf("files of the processes: %s", d.folder)
}
