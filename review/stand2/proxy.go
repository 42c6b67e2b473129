package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// backendOffset is the distance from the port at which a proxy listens for a control instance
// to the one at which that instance itself listens for calls of other instances.
const backendOffset = 5

// proxy passes the calls of other instances on to a control instance.
type proxy struct {
	lab      *lab
	to       *process
	listener net.Listener

	mutex sync.Mutex
	// conns are the open connections by the process that called, or nil if that is no control
	// instance.
	conns map[net.Conn]*process
	// refused are the processes whose connections are refused.
	refused map[*process]bool
}

// startProxies starts a proxy before each control instance.
func (l *lab) startProxies() error {
	for _, k := range l.keepers {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(k.ip, l.ports.cluster).String())
		if err != nil {
			return err
		}
		p := &proxy{lab: l, to: k, listener: listener, conns: make(map[net.Conn]*process), refused: make(map[*process]bool)}
		l.proxies = append(l.proxies, p)
		go p.run()
	}
	return nil
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve copies both directions of a connection until one ends or the caller is refused.
func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	caller := p.lab.callerOf(conn)
	p.mutex.Lock()
	if p.refused[caller] {
		p.mutex.Unlock()
		return
	}
	p.conns[conn] = caller
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		delete(p.conns, conn)
		p.mutex.Unlock()
	}()
	backend, err := net.Dial("tcp4", netip.AddrPortFrom(p.to.ip, p.lab.ports.cluster+backendOffset).String())
	if err != nil {
		return
	}
	defer backend.Close()
	go func() {
		_, _ = io.Copy(backend, conn)
		_ = backend.Close()
	}()
	_, _ = io.Copy(conn, backend)
}

// setRefused refuses the connections of a process, or ends that.
func (p *proxy) setRefused(caller *process, refused bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refused[caller] = refused
	if !refused {
		return
	}
	for conn, of := range p.conns {
		if of == caller {
			_ = conn.Close()
		}
	}
}

// callerOf returns the control instance that has opened a connection, or nil.
func (l *lab) callerOf(conn net.Conn) *process {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil
	}
	ip := remote.AddrPort().Addr().Unmap().As4()
	address := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], remote.Port)
	text, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[1] != address {
			continue
		}
		for _, k := range l.keepers {
			if holdsSocket(k.command.Process.Pid, fields[9]) {
				return k
			}
		}
	}
	return nil
}

// holdsSocket reports whether a process holds the socket with an inode.
func holdsSocket(pid int, inode string) bool {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// cutCore partitions a control instance from the others, or ends that. All other machines
// reach both sides.
func (l *lab) cutCore(k *process, cut bool) {
	l.note("%s is partitioned from the other control instances: %v", k.name, cut)
	for _, p := range l.proxies {
		for _, caller := range l.keepers {
			if (p.to == k) != (caller == k) {
				p.setRefused(caller, cut)
			}
		}
	}
}
