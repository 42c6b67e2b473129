package zfdocument

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
)

// duration is a time.Duration encoded as a Go duration string, such as "30m".
type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return errors.Wrap(err, "duration")
	}
	value, err := time.ParseDuration(s)
	*d = duration(value)
	return errors.Wrap(err, "duration")
}

type bundleDocument struct {
	Format   int               `json:"format"`
	Name     string            `json:"name"`
	Version  uint64            `json:"version"`
	Centres  []centreDocument  `json:"centres"`
	Services []serviceDocument `json:"services"`
	Limits   limitsDocument    `json:"limits"`
}

type centreDocument struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type serviceDocument struct {
	Name      string       `json:"name"`
	Addresses []netip.Addr `json:"addresses"`
	Ports     []uint16     `json:"ports"`
	Protocol  string       `json:"protocol"`
	Priority  string       `json:"priority"`
	Once      bool         `json:"once"`
	Idle      *duration    `json:"idle"`
	Slots     *int         `json:"slots"`
	Pool      poolDocument `json:"pool"`
}

type poolDocument struct {
	Slots       *int `json:"slots"`
	Connections *int `json:"connections"`
	Reports     bool `json:"reports"`
}

type limitsDocument struct {
	Expiry   *duration `json:"expiry"`
	Gone     *duration `json:"gone"`
	Ramp     *duration `json:"ramp"`
	Wait     *duration `json:"wait"`
	Deadline *duration `json:"deadline"`
	Body     *int64    `json:"body"`
	Queue    *int      `json:"queue"`
	Retry    *float64  `json:"retry"`
}

// ParseBundle parses a bundle. It returns an *Error if the document doesn't pass
// validation.
func ParseBundle(text []byte) (*zfbundle.Bundle, error) {
	var document bundleDocument
	err := load(KindBundle, text, &document)
	if err != nil && json.Unmarshal(text, &document) != nil {
		return nil, err
	}
	bundle := document.bundle()
	if err := mergeFaults(KindBundle, err, bundle.Check()); err != nil {
		return nil, err
	}
	return bundle, nil
}

func (d bundleDocument) bundle() *zfbundle.Bundle {
	bundle := &zfbundle.Bundle{
		Name:    d.Name,
		Version: d.Version,
		Limits:  d.Limits.limits(),
	}
	for _, centre := range d.Centres {
		bundle.Centres = append(bundle.Centres, zfbundle.Centre{
			Name:   zf.CentreName(centre.Name),
			Region: centre.Region,
		})
	}
	for _, service := range d.Services {
		bundle.Services = append(bundle.Services, service.service())
	}
	return bundle
}

func (d serviceDocument) service() zfbundle.Service {
	service := zfbundle.Service{
		Name:       zf.ServiceName(d.Name),
		Addresses:  d.Addresses,
		Ports:      d.Ports,
		Protocol:   zf.ProtocolTCP,
		AtMostOnce: d.Once,
		Idle:       durationOrDefault(d.Idle, zfbundle.DefaultIdle),
		Slots:      intOrDefault(d.Slots, zfbundle.DefaultSlots),
		Pool: zfbundle.Pool{
			Capacity: zf.Capacity{
				Slots:       intOrDefault(d.Pool.Slots, zfbundle.DefaultServerSlots),
				Connections: intOrDefault(d.Pool.Connections, zfbundle.DefaultConnections),
			},
			Reports: d.Pool.Reports,
		},
	}
	if d.Protocol == "udp" {
		service.Protocol = zf.ProtocolUDP
	}
	if d.Priority == "high" {
		service.Priority = zfbundle.PriorityHigh
	}
	return service
}

func (d limitsDocument) limits() zfbundle.Limits {
	defaults := zfbundle.DefaultLimits()
	limits := zfbundle.Limits{
		Expiry:   durationOrDefault(d.Expiry, defaults.Expiry),
		Gone:     durationOrDefault(d.Gone, defaults.Gone),
		Ramp:     durationOrDefault(d.Ramp, defaults.Ramp),
		Wait:     durationOrDefault(d.Wait, defaults.Wait),
		Deadline: durationOrDefault(d.Deadline, defaults.Deadline),
		Body:     defaults.Body,
		Queue:    intOrDefault(d.Queue, defaults.Queue),
		Retry:    defaults.Retry,
	}
	if d.Body != nil {
		limits.Body = *d.Body
	}
	if d.Retry != nil {
		limits.Retry = *d.Retry
	}
	return limits
}

func durationOrDefault(value *duration, defaultValue time.Duration) time.Duration {
	if value == nil {
		return defaultValue
	}
	return time.Duration(*value)
}

func intOrDefault(value *int, defaultValue int) int {
	if value == nil {
		return defaultValue
	}
	return *value
}
