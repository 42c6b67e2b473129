package zfsoak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// mode is what a proxy does with the bytes that pass it.
type mode int32

// The modes of a proxy.
const (
	modePass mode = iota
	modeDelay
	// modeDropAll loses all bytes, modeDropIncoming those towards the machine, modeDropOutgoing
	// those from it; connections stay open.
	modeDropAll
	modeDropIncoming
	modeDropOutgoing
	// modeReset ends all connections and takes no new ones.
	modeReset
)

var modeNames = map[mode]string{
	modePass:         "pass",
	modeDelay:        "delay",
	modeDropAll:      "silent",
	modeDropIncoming: "deaf",
	modeDropOutgoing: "mute",
	modeReset:        "reset",
}

// proxyDelay is how much later bytes arrive in modeDelay.
const proxyDelay = 150 * time.Millisecond

// proxy stands before the cluster address of one machine.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	mode     atomic.Int32
	mutex    sync.Mutex
	conns    map[net.Conn]bool
}

func startProxy(address, target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen as proxy")
	}
	p := &proxy{
		listener: listener,
		target:   target,
		conns:    make(map[net.Conn]bool),
	}
	go p.accept()
	return p, nil
}

func (p *proxy) setMode(m mode) {
	p.mode.Store(int32(m))
	if m == modeReset {
		p.closeConnections()
	}
}

func (p *proxy) closeConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		_ = conn.Close() // The other side may have closed it.
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // It was open; there is nobody to tell otherwise.
	p.closeConnections()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == modeReset {
			_ = conn.Close() // As a machine that takes no connections.
			continue
		}
		go p.forward(conn)
	}
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if open {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *proxy) forward(accepted net.Conn) {
	dialed, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = accepted.Close() // The process is down.
		return
	}
	p.track(accepted, true)
	p.track(dialed, true)
	var both sync.WaitGroup
	both.Go(func() { p.copy(dialed, accepted, modeDropIncoming) })
	both.Go(func() { p.copy(accepted, dialed, modeDropOutgoing) })
	both.Wait()
	p.track(accepted, false)
	p.track(dialed, false)
}

// copy carries bytes one way; they are lost in modeDropAll and in dropMode.
func (p *proxy) copy(to, from net.Conn, dropMode mode) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch current := mode(p.mode.Load()); current {
		case modeDropAll, dropMode:
			continue
		case modeDelay:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
