package zfdocument

import (
	"encoding/json"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
)

// Role names a function of a process; a process may have several.
type Role string

// The roles.
const (
	// RoleEntry is an entry instance that forwards packets and requests of callers. It
	// works with control instances of RoleControl.
	RoleEntry Role = "entry"
	// RoleControl is a control instance that stores the control state on its own disk.
	RoleControl Role = "control"
	// RoleForward is an entry instance that forwards packets by their cookies on the
	// users' platform. It works with control instances of RoleKeeper.
	RoleForward Role = "forward"
	// RoleKeeper is a control instance on the users' platform. It replicates the
	// control state and the table of backend servers with other instances of this role.
	RoleKeeper Role = "keeper"
)

// Settings is the configuration of one process.
type Settings struct {
	Name       zf.InstanceName
	Centre     zf.CentreName
	Roles      []Role
	DataFolder string
	Listen     Listen
	// Peers are the Listen.Control addresses of instances of RoleEntry, through which
	// this one joins the membership.
	Peers []netip.AddrPort
	// Controls are the Listen.Operator addresses of the instances of RoleControl.
	Controls []netip.AddrPort
	Keys     Keys
	// LogLevel is the lowest level of log events that are written.
	LogLevel string
	// Threads is the number of goroutines that read traffic.
	Threads int
	// AllowPlaintext permits connections between processes without TLS. Listen
	// addresses other than loopback are then refused, unless PrivateNetwork is set.
	AllowPlaintext bool
	// PrivateNetwork states that only the system's own processes have access to
	// the network between them.
	PrivateNetwork bool
	Platform       Platform
	Load           Load
	Resources      Resources
}

// Listen holds the addresses that a process listens on.
type Listen struct {
	// Traffic receives packets of the fabric, the network in front of the instances;
	// Relay receives those that other instances relay.
	Traffic netip.AddrPort
	Relay   netip.AddrPort
	// Control receives messages of other instances of RoleEntry. Operators and control
	// instances don't use it.
	Control netip.AddrPort
	// Announce receives announcements of backend servers.
	Announce netip.AddrPort
	// Front receives requests of callers.
	Front netip.AddrPort
	// Admin serves health, metrics and state.
	Admin netip.AddrPort
	// Operator serves the operations on the control state: commands and reads.
	Operator netip.AddrPort
	// Cluster serves calls of other instances of RoleForward and RoleKeeper, which
	// connect to Advertise.
	Cluster   netip.AddrPort
	Advertise netip.AddrPort
	// Ready serves the platform's readiness check.
	Ready netip.AddrPort
	// Calls serves the platform's calls of backend servers and operators.
	Calls netip.AddrPort
}

// Keys holds the paths of key files.
type Keys struct {
	// Trusted are the public keys of operators who may sign bundles.
	Trusted []string
	// Peers is the key shared by all instances of RoleEntry; Announce is the key that
	// they share with the backend servers.
	Peers    string
	Announce string
}

// HasRole reports whether the process has a role.
func (s *Settings) HasRole(role Role) bool { return slices.Contains(s.Roles, role) }

type settingsDocument struct {
	Format    int               `json:"format"`
	Name      string            `json:"name"`
	Centre    string            `json:"centre"`
	Roles     []Role            `json:"roles"`
	Data      string            `json:"data"`
	Listen    listenDocument    `json:"listen"`
	Peers     []netip.AddrPort  `json:"peers"`
	Controls  []netip.AddrPort  `json:"controls"`
	Keys      keysDocument      `json:"keys"`
	Level     string            `json:"level"`
	Threads   *int              `json:"threads"`
	Plain     bool              `json:"plain"`
	Private   bool              `json:"private"`
	Platform  platformDocument  `json:"platform"`
	Load      loadDocument      `json:"load"`
	Resources resourcesDocument `json:"resources"`
}

type platformDocument struct {
	Seeds    []netip.AddrPort  `json:"seeds"`
	Centres  []zf.CentreName   `json:"centres"`
	First    bool              `json:"first"`
	Losses   int               `json:"losses"`
	Interval *duration         `json:"interval"`
	Grace    *duration         `json:"grace"`
	Drain    *duration         `json:"drain"`
	Modes    map[string]string `json:"modes"`
}

// defaultHeartbeatInterval applies if the settings give no interval.
const defaultHeartbeatInterval = time.Second

type listenDocument struct {
	Traffic  netip.AddrPort `json:"traffic"`
	Relay    netip.AddrPort `json:"relay"`
	Control  netip.AddrPort `json:"control"`
	Announce netip.AddrPort `json:"announce"`
	Front    netip.AddrPort `json:"front"`
	Admin    netip.AddrPort `json:"admin"`
	Operator netip.AddrPort `json:"operator"`
	Cluster  netip.AddrPort `json:"cluster"`
	// Advertise defaults to Cluster.
	Advertise netip.AddrPort `json:"advertise"`
	Ready     netip.AddrPort `json:"ready"`
	Calls     netip.AddrPort `json:"calls"`
}

type keysDocument struct {
	Trusted  []string `json:"trusted"`
	Peers    string   `json:"peers"`
	Announce string   `json:"announce"`
}

const defaultThreads = 2

// ParseSettings parses settings and resolves relative paths in them against
// folder. It returns an *Error if the document doesn't pass validation.
func ParseSettings(text []byte, folder string) (*Settings, error) {
	var document settingsDocument
	err := load(KindSettings, text, &document)
	if err != nil && json.Unmarshal(text, &document) != nil {
		return nil, err
	}
	settings := document.settings(folder)
	if err := mergeFaults(KindSettings, err, settings.check()); err != nil {
		return nil, err
	}
	return settings, nil
}

func (d settingsDocument) settings(folder string) *Settings {
	resolve := func(path string) string {
		if path == "" || filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(folder, path)
	}
	settings := &Settings{
		Name:       zf.InstanceName(d.Name),
		Centre:     zf.CentreName(d.Centre),
		Roles:      d.Roles,
		DataFolder: resolve(d.Data),
		Listen:     Listen(d.Listen),
		Peers:      d.Peers,
		Controls:   d.Controls,
		Keys: Keys{
			Peers:    resolve(d.Keys.Peers),
			Announce: resolve(d.Keys.Announce),
		},
		LogLevel:       d.Level,
		Threads:        intOrDefault(d.Threads, defaultThreads),
		AllowPlaintext: d.Plain,
		PrivateNetwork: d.Private,
		Platform: Platform{
			Seeds:             d.Platform.Seeds,
			Centres:           d.Platform.Centres,
			FirstStart:        d.Platform.First,
			MaxDiskLosses:     d.Platform.Losses,
			HeartbeatInterval: durationOrDefault(d.Platform.Interval, defaultHeartbeatInterval),
			StopGrace:         durationOrDefault(d.Platform.Grace, 0),
			DrainTimeout:      durationOrDefault(d.Platform.Drain, 0),
			Modes:             d.Platform.Modes,
		},
		Load:      d.Load.load(),
		Resources: Resources(d.Resources),
	}
	for _, path := range d.Keys.Trusted {
		settings.Keys.Trusted = append(settings.Keys.Trusted, resolve(path))
	}
	if !settings.Listen.Advertise.IsValid() {
		settings.Listen.Advertise = settings.Listen.Cluster
	}
	if settings.LogLevel == "" {
		settings.LogLevel = "info"
	}
	return settings
}

// listenField is one address of Listen with its path in the document and the role that
// requires it, or no role if every process requires it.
type listenField struct {
	path    string
	address netip.AddrPort
	role    Role
}

func (s *Settings) listenFields() []listenField {
	return []listenField{
		{
			path:    "/listen/traffic",
			address: s.Listen.Traffic,
			role:    RoleEntry,
		},
		{
			path:    "/listen/relay",
			address: s.Listen.Relay,
			role:    RoleEntry,
		},
		{
			path:    "/listen/control",
			address: s.Listen.Control,
			role:    RoleEntry,
		},
		{
			path:    "/listen/announce",
			address: s.Listen.Announce,
			role:    RoleEntry,
		},
		{
			path:    "/listen/front",
			address: s.Listen.Front,
			role:    RoleEntry,
		},
		{
			path:    "/listen/operator",
			address: s.Listen.Operator,
			role:    RoleControl,
		},
		{
			path:    "/listen/traffic",
			address: s.Listen.Traffic,
			role:    RoleForward,
		},
		{
			path:    "/listen/ready",
			address: s.Listen.Ready,
			role:    RoleForward,
		},
		{
			path:    "/listen/cluster",
			address: s.Listen.Cluster,
			role:    RoleForward,
		},
		{
			path:    "/listen/cluster",
			address: s.Listen.Cluster,
			role:    RoleKeeper,
		},
		{
			path:    "/listen/calls",
			address: s.Listen.Calls,
			role:    RoleKeeper,
		},
	}
}

func (s *Settings) check() []zfbundle.Fault {
	faults := make([]zfbundle.Fault, 0, 4)
	add := func(path, problem, allowed string) {
		faults = append(faults, zfbundle.Fault{
			Path:    path,
			Problem: problem,
			Allowed: allowed,
		})
	}
	for path, name := range map[string]string{
		"/name":   string(s.Name),
		"/centre": string(s.Centre),
	} {
		if !zfbundle.ValidName(name) {
			add(path, "is not a valid name", "1 to 63 lower-case letters, digits and inner hyphens")
		}
	}
	usedPaths := make(map[netip.AddrPort]string)
	for _, field := range append(s.listenFields(), listenField{
		path:    "/listen/admin",
		address: s.Listen.Admin,
	}) {
		required := field.role == "" || s.HasRole(field.role)
		switch usedBy, used := usedPaths[field.address]; {
		case !required && field.path == usedBy: // The same field, checked before for another role.
		case required && !field.address.IsValid():
			add(field.path, "is missing", "an address with a port, needed for the roles")
		case !field.address.IsValid(): // Neither set nor required.
		case field.address.Addr().IsUnspecified() || field.address.Port() == 0:
			add(field.path, "has an unspecified IP address or port 0", "a specific IP address and a port from 1")
		case used && usedBy != field.path:
			add(field.path, "is the same as "+usedBy, "each address once")
		case s.AllowPlaintext && !s.PrivateNetwork && !field.address.Addr().IsLoopback():
			add(field.path, "is not a loopback address", "a loopback address, as plain is true and private is not")
		}
		usedPaths[field.address] = field.path
	}
	if s.HasRole(RoleControl) && s.HasRole(RoleKeeper) {
		add("/roles", "has both control and keeper", "one of them, as each keeps a control state of its own")
	}
	if (s.HasRole(RoleControl) || s.HasRole(RoleKeeper)) && s.DataFolder == "" {
		add("/data", "is missing", "the data folder, needed for the control and keeper roles")
	}
	if s.HasRole(RoleEntry) && len(s.Controls) == 0 {
		add("/controls", "is empty", "at least one control instance, needed for the entry role")
	}
	if s.HasRole(RoleEntry) && (s.Keys.Peers == "" || s.Keys.Announce == "") {
		add("/keys", "is incomplete", "peers and announce, needed for the entry role")
	}
	faults = append(faults, s.checkPlatform()...)
	verifiesBundles := s.HasRole(RoleEntry) || s.HasRole(RoleControl)
	if verifiesBundles && len(s.Keys.Trusted) == 0 {
		add("/keys/trusted", "is empty", "at least one public key of an operator")
	}
	if !s.AllowPlaintext {
		add("/plain", "is not set", "true, as TLS between processes is not supported yet")
	}
	return faults
}
