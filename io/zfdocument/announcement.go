package zfdocument

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
)

type announcementDocument struct {
	Format      int            `json:"format"`
	Server      string         `json:"server"`
	Service     string         `json:"service"`
	Centre      string         `json:"centre"`
	Address     netip.AddrPort `json:"address"`
	Web         netip.AddrPort `json:"web"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	State       string         `json:"state"`
	Load        float64        `json:"load"`
	Sequence    uint64         `json:"sequence"`
}

// serverStates maps the states that an announcement may report from their names.
var serverStates = map[string]zf.ServerState{
	zf.ServerCold.String():     zf.ServerCold,
	zf.ServerWarm.String():     zf.ServerWarm,
	zf.ServerDraining.String(): zf.ServerDraining,
}

// ParseAnnouncement parses the announcement of a backend server. It returns an
// *Error if the document doesn't pass validation.
func ParseAnnouncement(text []byte) (zf.Announcement, error) {
	var d announcementDocument
	if err := load(KindAnnouncement, text, &d); err != nil {
		return zf.Announcement{}, err
	}
	for path, name := range map[string]string{
		"/server":  d.Server,
		"/service": d.Service,
		"/centre":  d.Centre,
	} {
		if !zfbundle.ValidName(name) {
			return zf.Announcement{}, &Error{
				Kind: KindAnnouncement,
				Faults: []zfbundle.Fault{{
					Path:    path,
					Problem: "is not a valid name",
				}},
			}
		}
	}
	return zf.Announcement{
		Server:  zf.ServerName(d.Server),
		Service: zf.ServiceName(d.Service),
		Centre:  zf.CentreName(d.Centre),
		Address: d.Address,
		Web:     d.Web,
		Capacity: zf.Capacity{
			Slots:       d.Slots,
			Connections: d.Connections,
		},
		State:    serverStates[d.State],
		Load:     d.Load,
		Sequence: d.Sequence,
	}, nil
}

// FormatAnnouncement encodes an announcement as JSON.
func FormatAnnouncement(a zf.Announcement) ([]byte, error) {
	text, err := json.Marshal(announcementDocument{
		Format:      1,
		Server:      string(a.Server),
		Service:     string(a.Service),
		Centre:      string(a.Centre),
		Address:     a.Address,
		Web:         a.Web,
		Slots:       a.Capacity.Slots,
		Connections: a.Capacity.Connections,
		State:       a.State.String(),
		Load:        a.Load,
		Sequence:    a.Sequence,
	})
	return text, errors.Wrap(err, "encode announcement")
}
