// Package zftopology describes one run of the stand-ins: its processes and the
// addresses on which they listen.
package zftopology

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Topology is one run, as stored in the file lab.json of the run's folder.
type Topology struct {
	Bundle string `json:"bundle"`
	Seed   uint64 `json:"seed"`
	// Fabric receives the packets of callers, Announce the announcements.
	Fabric   netip.AddrPort `json:"fabric"`
	Announce netip.AddrPort `json:"announce"`
	// Callers receives the responses of backend servers.
	Callers netip.AddrPort `json:"callers"`
	// Operator receives the commands for the control state.
	Operator  netip.AddrPort `json:"operator"`
	Instances []Instance     `json:"instances"`
	Servers   []Server       `json:"servers"`
	Services  []Service      `json:"services"`
}

// Instance is one entry instance.
type Instance struct {
	Name     string         `json:"name"`
	Centre   string         `json:"centre"`
	Traffic  netip.AddrPort `json:"traffic"`
	Relay    netip.AddrPort `json:"relay"`
	Control  netip.AddrPort `json:"control"`
	Announce netip.AddrPort `json:"announce"`
	Front    netip.AddrPort `json:"front"`
	Admin    netip.AddrPort `json:"admin"`
}

// Server is one backend server.
type Server struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
	Web     netip.AddrPort `json:"web"`
	// Spare is set if the backend server is not started with the others.
	Spare bool `json:"spare"`
}

// Service holds what callers need to know of a service.
type Service struct {
	Name       string         `json:"name"`
	Frontend   netip.AddrPort `json:"frontend"`
	AtMostOnce bool           `json:"once"`
	Slots      int            `json:"slots"`
	Limit      int            `json:"limit"`
}

// FileName is the name of the topology's file in the run's folder.
const FileName = "lab.json"

// Read reads the topology of a run's folder.
func Read(folder string) (*Topology, error) {
	text, err := os.ReadFile(filepath.Join(folder, FileName))
	if err != nil {
		return nil, errors.Wrap(err, "read topology")
	}
	var topology Topology
	return &topology, errors.Wrap(json.Unmarshal(text, &topology), "decode topology")
}

// WriteDocument writes a value as JSON to a file in the run's folder, which it
// replaces at once.
func WriteDocument(folder, name string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path+".new", append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write document")
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace document")
}

// FindServer returns the backend server with a name, or nil.
func (t *Topology) FindServer(name string) *Server {
	for i := range t.Servers {
		if t.Servers[i].Name == name {
			return &t.Servers[i]
		}
	}
	return nil
}

// ServiceAt returns the service at an address and port, or nil.
func (t *Topology) ServiceAt(address netip.AddrPort) *Service {
	for i := range t.Services {
		if t.Services[i].Frontend == address {
			return &t.Services[i]
		}
	}
	return nil
}
