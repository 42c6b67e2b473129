package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// bounds are those of the site dvsu-front.
type bounds struct {
	heartbeat time.Duration
	drain     time.Duration
	grace     time.Duration
}

// lab holds the processes and stand-ins of one run.
type lab struct {
	trouble bool
	start   time.Time
	bounds  bounds
	zones   []string
	// network is the /16 of 127.0.0.0/8 that the run uses.
	network byte
	ports   ports
	temp    string
	keepers []*process
	// proxies stand before the control instances if proxied is set.
	proxied  bool
	proxies  []*proxy
	entries  []*process
	hosts    []*host
	router   *router
	operator *operator

	mutex  sync.Mutex
	record *os.File
	broken []string
}

// ports are the same on all machines.
type ports struct {
	traffic, ready, calls, cluster, admin uint16
}

// process is one process of the system, on a machine of its own address.
type process struct {
	name    string
	zone    string
	ip      netip.Addr
	path    string
	command *exec.Cmd
	done    chan struct{}
}

func newLab(folder string, trouble bool) (*lab, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: trouble,
		start:   time.Now(),
		bounds:  bounds{heartbeat: 770 * time.Millisecond, drain: 3 * time.Second, grace: 6 * time.Second},
		zones:   []string{"hobart", "kingston", "new-norfolk"},
		network: byte(20 + rand.IntN(200)),
		temp:    temp,
		record:  record,
	}
	first := uint16(20000 + 16*rand.IntN(500))
	l.ports = ports{traffic: first, ready: first + 1, calls: first + 2, cluster: first + 3, admin: first + 4}
	l.router = newRouter(l)
	l.operator = &operator{lab: l}
	l.note("trouble %v, network 127.%d.0.0/16, ports from %d", trouble, l.network, first)
	return l, nil
}

// ip returns the address of machine n of a kind.
func (l *lab) ip(kind, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, l.network, kind, n}) }

// The kinds of addresses.
const (
	kindKeeper = 1 + iota
	kindEntry
	kindHost
	kindClient
	kindRoute
)

// note writes a line with the time since the start into the record.
func (l *lab) note(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (l *lab) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.broken) < 10 {
		l.broken = append(l.broken, text)
	}
}

// startKeepers starts control instances, one in each zone.
func (l *lab) startKeepers() error {
	for i, zone := range l.zones {
		p := &process{name: fmt.Sprintf("core-%s-1", zone), zone: zone, ip: l.ip(kindKeeper, byte(i+1))}
		l.keepers = append(l.keepers, p)
	}
	if l.proxied {
		if err := l.startProxies(); err != nil {
			return err
		}
	}
	for _, p := range l.keepers {
		if err := l.startProcess(p, true); err != nil {
			return err
		}
	}
	return nil
}

// addEntry starts an entry instance in a zone.
func (l *lab) addEntry(zone string) (*process, error) {
	n := len(l.entries) + 1
	p := &process{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, ip: l.ip(kindEntry, byte(n))}
	err := l.startProcess(p, false)
	l.mutex.Lock()
	l.entries = append(l.entries, p)
	l.mutex.Unlock()
	return p, err
}

// currentEntries returns the entry instances started so far.
func (l *lab) currentEntries() []*process {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]*process{}, l.entries...)
}

// settings returns the settings of a process, as deploy/settings.json.template renders them.
func (l *lab) settings(p *process, keeper bool) ([]byte, error) {
	at := func(port uint16) string { return netip.AddrPortFrom(p.ip, port).String() }
	listen := map[string]any{"cluster": at(l.ports.cluster), "admin": at(l.ports.admin)}
	document := map[string]any{
		"format": 1, "name": p.name, "centre": p.zone, "listen": listen, "threads": 1, "plain": true, "private": true,
		"load": map[string]any{"placement": "wait", "admission": "room", "early": "hold", "leaving": map[string]any{"kilobyte": "5ms"}},
	}
	var seeds []string
	for _, k := range l.keepers {
		seeds = append(seeds, netip.AddrPortFrom(k.ip, l.ports.calls).String())
	}
	document["platform"] = map[string]any{
		"seeds": seeds, "centres": l.zones, "first": true, "losses": 1, "interval": l.bounds.heartbeat.String(),
		"grace": l.bounds.grace.String(), "drain": l.bounds.drain.String(),
		"modes": map[string]string{"forwarding": "echo", "hash": "steady", "discovery": "registry", "entry": "announcement", "versions": "highest"},
	}
	if keeper {
		document["roles"] = []string{"keeper"}
		document["data"] = filepath.Join(l.temp, p.name)
		document["resources"] = map[string]any{"processor": 0.48, "memory": 280, "link": 1000, "descriptors": 4096}
		listen["calls"] = at(l.ports.calls)
		if l.proxied {
			listen["cluster"] = at(l.ports.cluster + backendOffset)
			listen["advertise"] = at(l.ports.cluster)
		}
	} else {
		document["roles"] = []string{"forward"}
		document["resources"] = map[string]any{"processor": 0.4, "memory": 284, "link": 1000, "descriptors": 4100}
		listen["traffic"] = at(l.ports.traffic)
		listen["ready"] = at(l.ports.ready)
	}
	return json.MarshalIndent(document, "", " ")
}

func (l *lab) startProcess(p *process, keeper bool) error {
	text, err := l.settings(p, keeper)
	if err != nil {
		return err
	}
	p.path = filepath.Join(l.temp, p.name+".json")
	if err := os.WriteFile(p.path, text, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(l.temp, p.name+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	p.command = exec.Command("target/zinniafront", "serve", "--settings", p.path)
	p.command.Stdout = output
	p.command.Stderr = output
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		err := p.command.Wait()
		l.note("%s ended: %v", p.name, err)
		close(p.done)
	}()
	l.note("started %s at %s", p.name, p.ip)
	return nil
}

// close ends everything that the run started.
func (l *lab) close() {
	l.router.close()
	for _, p := range l.proxies {
		_ = p.listener.Close()
	}
	for _, h := range l.hosts {
		h.close()
	}
	for _, p := range append(append([]*process{}, l.keepers...), l.entries...) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Kill()
		<-p.done
	}
	if os.Getenv("STAND2_KEEP") == "" {
		_ = os.RemoveAll(l.temp)
	}
	_ = l.record.Close()
}

// wait waits until a condition holds, at most for a time.
func wait(limit time.Duration, what string, holds func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("timed out: " + what)
}

// listenUDP opens a socket of a stand-in.
func listenUDP(at netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
}
