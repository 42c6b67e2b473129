package zfdocument

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
)

// Platform holds the settings that only the forward and keeper roles use.
type Platform struct {
	// Seeds are the Listen.Calls addresses of hosts that may run control instances.
	// Calls between instances go to these hosts on the port of Listen.Advertise.
	Seeds []netip.AddrPort
	// Centres are all data centres of the deployment.
	Centres []zf.CentreName
	// FirstStart states that the whole system starts for the first time.
	FirstStart bool
	// MaxDiskLosses is the number of control instances that may lose their disks
	// at once.
	MaxDiskLosses int
	// HeartbeatInterval is the interval between heartbeats of a backend server.
	HeartbeatInterval time.Duration
	// StopGrace is the time between the platform's request to stop and its kill of
	// the process, or 0 if it doesn't kill processes.
	StopGrace time.Duration
	// DrainTimeout is the time within which an instance that was asked to stop must
	// leave the rotation, or 0 for no limit.
	DrainTimeout time.Duration
	// Modes holds the platform's mode for each of its variable properties, such as
	// "forwarding".
	Modes map[string]string
}

// supportedModes lists the modes that this version supports for each property.
var supportedModes = map[string][]string{
	"forwarding": {"echo"},
	"hash":       {"steady", "mod"},
	"discovery":  {"registry"},
	"entry":      {"announcement"},
	"versions":   {"highest"},
}

// checkPlatform checks the settings that the forward and keeper roles require.
func (s *Settings) checkPlatform() []zfbundle.Fault {
	if !s.HasRole(RoleForward) && !s.HasRole(RoleKeeper) {
		return nil
	}
	faults := make([]zfbundle.Fault, 0, 4)
	if len(s.Platform.Seeds) == 0 {
		faults = append(faults, zfbundle.Fault{
			Path:    "/platform/seeds",
			Problem: "is empty",
			Allowed: "at least one address of a control instance",
		})
	}
	if len(s.Platform.Centres) == 0 {
		faults = append(faults, zfbundle.Fault{
			Path:    "/platform/centres",
			Problem: "is empty",
			Allowed: "the data centres of the deployment",
		})
	}
	for _, property := range slices.Sorted(maps.Keys(supportedModes)) {
		value := s.Platform.Modes[property]
		if !slices.Contains(supportedModes[property], value) {
			faults = append(faults, zfbundle.Fault{
				Path:    "/platform/modes/" + property,
				Problem: "is " + strconv.Quote(value),
				Allowed: strings.Join(supportedModes[property], ", "),
			})
		}
	}
	return faults
}
