package zfregion

import (
	"fmt"
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
)

// Server is a simulated backend server.
type Server struct {
	Name    zf.ServerName
	Service zf.ServiceName
	Centre  zf.CentreName
	Address netip.AddrPort
	Running bool
	State   zf.ServerState
	// StateSince is when State began.
	StateSince time.Time
	conns      map[zf.Flow]bool
	// MaxConnections is the highest number of connections at a time,
	// OpenedWhileDraining the number of flows opened later than drainGrace
	// after the start of a drain, WrongService the number of packets for other
	// services.
	MaxConnections      int
	OpenedWhileDraining int
	WrongService        int
	nextAnnouncement    time.Time
	sequence            uint64
}

const (
	// drainGrace is how long after the start of a drain flows may still be
	// opened.
	drainGrace = 3 * time.Second
	// announceInterval is the time between announcements.
	announceInterval = time.Second
	// coldDuration is how long a backend server stays cold.
	coldDuration = 5 * time.Second
)

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.conns) }

// Servers holds the backend servers of a region.
type Servers struct {
	bundle    *zfbundle.Bundle
	list      []*Server
	byAddress map[netip.AddrPort]*Server
}

func newServers(bundle *zfbundle.Bundle) *Servers {
	return &Servers{
		bundle:    bundle,
		byAddress: make(map[netip.AddrPort]*Server),
	}
}

// List returns the backend servers.
func (s *Servers) List() []*Server { return s.list }

// Find returns the backend server with a name, or nil.
func (s *Servers) Find(name zf.ServerName) *Server {
	for _, server := range s.list {
		if server.Name == name {
			return server
		}
	}
	return nil
}

func (s *Servers) add(service zf.ServiceName, state zf.ServerState, now time.Time) *Server {
	n := len(s.list)
	server := &Server{
		Name:       zf.ServerName(fmt.Sprintf("server-%d", n)),
		Service:    service,
		Centre:     s.bundle.Centres[n%len(s.bundle.Centres)].Name,
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 1),
		Running:    true,
		State:      state,
		StateSince: now,
		conns:      make(map[zf.Flow]bool),
	}
	s.list = append(s.list, server)
	s.byAddress[server.Address] = server
	return server
}

// AddServer adds a cold backend server.
func (r *Region) AddServer(service zf.ServiceName) *Server {
	return r.servers.add(service, zf.ServerCold, r.now)
}

// DrainServer makes a backend server announce that it drains.
func (r *Region) DrainServer(server *Server) {
	server.State = zf.ServerDraining
	server.StateSince = r.now
	server.nextAnnouncement = r.now
}

// UndrainServer ends the drain of a backend server.
func (r *Region) UndrainServer(server *Server) {
	server.State = zf.ServerWarm
	server.StateSince = r.now
	server.nextAnnouncement = r.now
}

// CrashServer stops a backend server without notice and drops its connections.
func (r *Region) CrashServer(server *Server) {
	server.Running = false
	clear(server.conns)
}

// ReviveServer starts a backend server that crashed. It is cold.
func (r *Region) ReviveServer(server *Server) {
	server.Running = true
	server.State = zf.ServerCold
	server.StateSince = r.now
	server.nextAnnouncement = r.now
}

// tick returns the announcements that are due.
func (s *Servers) tick(now time.Time) []zf.Announcement {
	announcements := make([]zf.Announcement, 0, 4)
	for _, server := range s.list {
		if server.State == zf.ServerCold && now.Sub(server.StateSince) >= coldDuration {
			server.State = zf.ServerWarm
		}
		if !server.Running || now.Before(server.nextAnnouncement) {
			continue
		}
		server.nextAnnouncement = now.Add(announceInterval)
		server.sequence++
		capacity := s.bundle.Find(server.Service).Pool.Capacity
		announcements = append(announcements, zf.Announcement{
			Server:   server.Name,
			Service:  server.Service,
			Centre:   server.Centre,
			Address:  server.Address,
			Web:      server.Address,
			Capacity: capacity,
			State:    server.State,
			Load:     float64(len(server.conns)) / float64(capacity.Connections),
			Sequence: server.sequence,
		})
	}
	return announcements
}

// response is how a backend server responds to a packet.
type response uint8

const (
	responseNone response = iota
	responseOpen
	responseData
	responseReset
)

// handlePacket handles a packet and returns the response to it.
func (s *Server) handlePacket(packet zf.Packet, service zf.ServiceName, now time.Time) response {
	if !s.Running {
		return responseNone
	}
	if service != s.Service {
		s.WrongService++
		return responseReset
	}
	connected := s.conns[packet.Flow]
	switch {
	case packet.Kind == zf.PacketOpening && !connected:
		if s.State == zf.ServerDraining && now.Sub(s.StateSince) > drainGrace {
			s.OpenedWhileDraining++
		}
		s.conns[packet.Flow] = true
		s.MaxConnections = max(s.MaxConnections, len(s.conns))
		return responseOpen
	case packet.Kind == zf.PacketOpening:
		return responseOpen
	case !connected:
		return responseReset
	case packet.Kind != zf.PacketMidFlow:
		delete(s.conns, packet.Flow)
	}
	return responseData
}
