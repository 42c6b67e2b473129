package zfsoak

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// mode is how a proxy treats connections and the bytes on them.
type mode int32

// The modes of a proxy.
const (
	modePass mode = iota
	modeDelay
	// modeDropAll drops all bytes, modeDropIncoming those to the instance,
	// modeDropOutgoing those from it; connections stay open.
	modeDropAll
	modeDropIncoming
	modeDropOutgoing
	// modeReset closes all connections and accepts no new ones.
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

// proxyDelay is the additional latency in modeDelay.
const proxyDelay = 150 * time.Millisecond

// proxy forwards connections to the cluster address of one instance.
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
		return nil, errors.Wrap(err, "open proxy listener")
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
		_ = conn.Close() // The connection may be closed already.
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // The listener was open; an error has no consequence.
	p.closeConnections()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == modeReset {
			_ = conn.Close() // Like an instance that accepts no connections.
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

// copy forwards bytes in one direction; it drops them in modeDropAll and dropMode.
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
