package zfbundle_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/lab/zfassert"
)

func validBundle() *zfbundle.Bundle {
	return &zfbundle.Bundle{
		Name:    "test",
		Version: 1,
		Centres: []zfbundle.Centre{{
			Name:   "one",
			Region: "north",
		}},
		Services: []zfbundle.Service{{
			Name:      "orders",
			Addresses: []netip.Addr{netip.MustParseAddr("198.51.100.1")},
			Ports:     []uint16{443},
			Protocol:  zf.ProtocolTCP,
			Idle:      time.Hour,
			Slots:     1024,
			Pool: zfbundle.Pool{
				Capacity: zf.Capacity{
					Slots:       2,
					Connections: 2000,
				},
			},
		}},
		Limits: zfbundle.DefaultLimits(),
	}
}

func assertFault(t *testing.T, bundle *zfbundle.Bundle, path string) {
	t.Helper()
	for _, fault := range bundle.Check() {
		if fault.Path == path {
			return
		}
	}
	t.Fatalf("no fault at %s among %v", path, bundle.Check())
}

func TestCheck(t *testing.T) {
	t.Run("valid", func(t *testing.T) {
		zfassert.Equal(t, "faults", len(validBundle().Check()), 0)
	})
	for path, change := range map[string]func(b *zfbundle.Bundle){
		"/name":                        func(b *zfbundle.Bundle) { b.Name = "Upper" },
		"/version":                     func(b *zfbundle.Bundle) { b.Version = 0 },
		"/centres":                     func(b *zfbundle.Bundle) { b.Centres = nil },
		"/centres/1/name":              func(b *zfbundle.Bundle) { b.Centres = append(b.Centres, b.Centres[0]) },
		"/services":                    func(b *zfbundle.Bundle) { b.Services = nil },
		"/services/1/name":             func(b *zfbundle.Bundle) { b.Services = append(b.Services, b.Services[0]) },
		"/services/1/addresses/0":      func(b *zfbundle.Bundle) { b.Services = append(b.Services, b.Services[0]) },
		"/services/0/addresses/0":      func(b *zfbundle.Bundle) { b.Services[0].Addresses[0] = netip.IPv4Unspecified() },
		"/services/0/ports/0":          func(b *zfbundle.Bundle) { b.Services[0].Ports[0] = 0 },
		"/services/0/protocol":         func(b *zfbundle.Bundle) { b.Services[0].Protocol = 1 },
		"/services/0/slots":            func(b *zfbundle.Bundle) { b.Services[0].Slots = 1000 },
		"/services/0/idle":             func(b *zfbundle.Bundle) { b.Services[0].Idle = 0 },
		"/services/0/pool/slots":       func(b *zfbundle.Bundle) { b.Services[0].Pool.Capacity.Slots = 0 },
		"/services/0/pool/connections": func(b *zfbundle.Bundle) { b.Services[0].Pool.Capacity.Connections = 0 },
		"/limits/gone":                 func(b *zfbundle.Bundle) { b.Limits.Gone = b.Limits.Expiry },
		"/limits/body":                 func(b *zfbundle.Bundle) { b.Limits.Body = 0 },
		"/limits/queue":                func(b *zfbundle.Bundle) { b.Limits.Queue = 0 },
		"/limits/retry":                func(b *zfbundle.Bundle) { b.Limits.Retry = 2 },
		"/limits/ramp":                 func(b *zfbundle.Bundle) { b.Limits.Ramp = 0 },
	} {
		t.Run(path, func(t *testing.T) {
			bundle := validBundle()
			change(bundle)
			assertFault(t, bundle, path)
		})
	}
	t.Run("all at once", func(t *testing.T) {
		bundle := validBundle()
		bundle.Version = 0
		bundle.Services[0].Slots = 3
		bundle.Limits.Queue = 0
		zfassert.Equal(t, "faults", len(bundle.Check()), 3)
	})
}
