// Package zflabcmd holds the commands of zinnialab.
package zflabcmd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"zinniafront/core/zfbundle"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfkey"
	"zinniafront/lab/zftopology"
)

// PlanOptions are the flags of plan.
type PlanOptions struct {
	Bundle string `name:"bundle" required:"" help:"Bundle file; sizes are read from the file next to it that ends in .lab.json."`
	Dir    string `name:"dir" required:"" help:"Folder of the run; it must be empty."`
	Seed   uint64 `name:"seed" default:"1" help:"Seed of all random choices of the stand-ins."`
	Spares int    `name:"spares" default:"1" help:"Number of spare backend servers of the first service, which are not started at first."`

	streams zfcmd.Streams
}

// Run runs the command.
func (o *PlanOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return planRun(o)
}

// runSizes is the document with the sizes of a run.
type runSizes struct {
	// Instances is the number of entry instances in each data centre.
	Instances int `json:"instances"`
	// Servers is the number of backend servers of each service.
	Servers map[string]int `json:"hosts"`
}

const defaultInstances = 2

func readSizes(path string) (runSizes, error) {
	s := runSizes{
		Instances: defaultInstances,
	}
	text, err := os.ReadFile(strings.TrimSuffix(path, ".json") + ".lab.json")
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, errors.Wrap(err, "read sizes")
	}
	return s, errors.Wrap(json.Unmarshal(text, &s), "decode sizes")
}

func planRun(o *PlanOptions) error {
	text, err := o.streams.ReadFile(o.Bundle)
	if err != nil {
		return err
	}
	bundle, err := zfdocument.ParseBundle(text)
	if err != nil {
		return err
	}
	s, err := readSizes(o.Bundle)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return errors.Wrap(err, "create folder")
	}
	p := &planner{
		options: o,
		bundle:  bundle,
		sizes:   s,
		ports:   &portAllocator{},
	}
	defer p.ports.release()
	if err := p.makeTopology(); err != nil {
		return err
	}
	if err := p.writeKeys(text); err != nil {
		return err
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	return zftopology.WriteDocument(o.Dir, zftopology.FileName, p.topology)
}

// portAllocator allocates free loopback ports, which stay reserved until release.
type portAllocator struct {
	closers []func() error
}

const maxPortAttempts = 1000

// allocate returns an address whose port is free for UDP and TCP.
func (p *portAllocator) allocate() (netip.AddrPort, error) {
	for range maxPortAttempts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "find a free loopback port")
		}
		p.closers = append(p.closers, listener.Close)
		address := netip.MustParseAddrPort(listener.Addr().String())
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		p.closers = append(p.closers, conn.Close)
		return address, nil
	}
	return netip.AddrPort{}, errors.New("no loopback port is free for both TCP and UDP")
}

func (p *portAllocator) release() {
	for _, closeSocket := range p.closers {
		_ = closeSocket() // The socket only reserved the port.
	}
}

type planner struct {
	options      *PlanOptions
	bundle       *zfbundle.Bundle
	sizes        runSizes
	ports        *portAllocator
	topology     *zftopology.Topology
	controlAdmin netip.AddrPort
}

// allocateAddresses sets each address to one with a free port.
func (p *planner) allocateAddresses(addresses ...*netip.AddrPort) error {
	for _, address := range addresses {
		next, err := p.ports.allocate()
		if err != nil {
			return err
		}
		*address = next
	}
	return nil
}

func (p *planner) makeTopology() error {
	t := &zftopology.Topology{
		Bundle: p.bundle.Name,
		Seed:   p.options.Seed,
	}
	p.topology = t
	if err := p.allocateAddresses(&t.Fabric, &t.Announce, &t.Callers, &t.Operator, &p.controlAdmin); err != nil {
		return err
	}
	for _, centre := range p.bundle.Centres {
		for n := range p.sizes.Instances {
			instance := zftopology.Instance{
				Name:   fmt.Sprintf("%s-%d", centre.Name, n+1),
				Centre: string(centre.Name),
			}
			if err := p.allocateAddresses(&instance.Traffic, &instance.Relay, &instance.Control, &instance.Announce,
				&instance.Front, &instance.Admin); err != nil {
				return err
			}
			t.Instances = append(t.Instances, instance)
		}
	}
	for i, service := range p.bundle.Services {
		t.Services = append(t.Services, zftopology.Service{
			Name:       string(service.Name),
			Frontend:   service.Frontends()[0],
			AtMostOnce: service.AtMostOnce,
			Slots:      service.Pool.Capacity.Slots,
			Limit:      service.Pool.Capacity.Connections,
		})
		spares := 0
		if i == 0 {
			spares = p.options.Spares
		}
		if err := p.addServers(service, spares); err != nil {
			return err
		}
	}
	return nil
}

const defaultServers = 4

func (p *planner) addServers(service zfbundle.Service, spares int) error {
	count, ok := p.sizes.Servers[string(service.Name)]
	if !ok {
		count = defaultServers
	}
	for n := range count + spares {
		server := zftopology.Server{
			Name:    fmt.Sprintf("%.20s-%d", service.Name, n+1),
			Service: string(service.Name),
			Centre:  string(p.bundle.Centres[n%len(p.bundle.Centres)].Name),
			Spare:   n >= count,
		}
		if err := p.allocateAddresses(&server.Address, &server.Web); err != nil {
			return err
		}
		p.topology.Servers = append(p.topology.Servers, server)
	}
	return nil
}

// The files of keys and of the signed bundle in the folder of a run.
const (
	signingKeyFile   = "ops.key"
	peersKeyFile     = "peers.key"
	announceKeyFile  = "announce.key"
	signedBundleFile = "bundle.jws"
)

func (p *planner) path(name string) string { return filepath.Join(p.options.Dir, name) }

func (p *planner) writeKeys(text []byte) error {
	if _, err := zfkey.GenerateSigningKey(p.path(signingKeyFile)); err != nil {
		return err
	}
	for _, name := range []string{peersKeyFile, announceKeyFile} {
		if _, err := zfkey.GenerateSharedKey(p.path(name)); err != nil {
			return err
		}
	}
	key, err := zfkey.ReadSigningKey(p.path(signingKeyFile))
	if err != nil {
		return err
	}
	signed, err := key.Sign(text)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(p.path(signedBundleFile), signed, 0o644), "write signed bundle")
}

// settingsFile is a settings document as the planner writes it.
type settingsFile struct {
	Format   int                       `json:"format"`
	Name     string                    `json:"name"`
	Centre   string                    `json:"centre"`
	Roles    []string                  `json:"roles"`
	Data     string                    `json:"data,omitempty"`
	Listen   map[string]netip.AddrPort `json:"listen"`
	Peers    []netip.AddrPort          `json:"peers,omitempty"`
	Controls []netip.AddrPort          `json:"controls,omitempty"`
	Keys     keysFile                  `json:"keys"`
	Level    string                    `json:"level"`
	Plain    bool                      `json:"plain"`
}

type keysFile struct {
	Trusted  []string `json:"trusted"`
	Peers    string   `json:"peers,omitempty"`
	Announce string   `json:"announce,omitempty"`
}

func (p *planner) writeSettings() error {
	keys := keysFile{
		Trusted:  []string{signingKeyFile + ".pub"},
		Peers:    peersKeyFile,
		Announce: announceKeyFile,
	}
	control := settingsFile{
		Format: 1,
		Name:   "control",
		Centre: string(p.bundle.Centres[0].Name),
		Roles:  []string{"control"},
		Data:   "control",
		Listen: map[string]netip.AddrPort{
			"admin":    p.controlAdmin,
			"operator": p.topology.Operator,
		},
		Keys: keysFile{
			Trusted: keys.Trusted,
		},
		Level: "info",
		Plain: true,
	}
	if err := zftopology.WriteDocument(p.options.Dir, "settings-control.json", control); err != nil {
		return err
	}
	for _, instance := range p.topology.Instances {
		file := settingsFile{
			Format: 1,
			Name:   instance.Name,
			Centre: instance.Centre,
			Roles:  []string{"entry"},
			Listen: map[string]netip.AddrPort{
				"traffic":  instance.Traffic,
				"relay":    instance.Relay,
				"control":  instance.Control,
				"announce": instance.Announce,
				"front":    instance.Front,
				"admin":    instance.Admin,
			},
			Controls: []netip.AddrPort{p.topology.Operator},
			Keys:     keys,
			Level:    "info",
			Plain:    true,
		}
		for _, peer := range p.topology.Instances {
			if peer.Name != instance.Name {
				file.Peers = append(file.Peers, peer.Control)
			}
		}
		if err := zftopology.WriteDocument(p.options.Dir, "settings-"+instance.Name+".json", file); err != nil {
			return err
		}
	}
	return nil
}
