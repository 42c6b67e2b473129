package zfwire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	zf "zinniafront"
)

type heartbeat struct {
	_                  struct{} `cbor:",toarray"`
	Centre             string
	Control            []byte
	Relay              []byte
	Beat               uint64
	Echo               uint64
	EchoIncarnation    uint64
	State              uint64
	Slots              []slotDigest
	Servers            []announcement
	ServerHeartbeats   []serverHeartbeat
	Members            [][]byte
	NeedsAnnouncements bool
	Ready              bool
}

type serverHeartbeat struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	State    uint8
	Sequence uint64
	Load     uint8
}

// loadSteps is the resolution of the load in a serverHeartbeat, which is sent as a
// multiple of 1/loadSteps.
const loadSteps = 200

type slotDigest struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Digest  uint64
}

type announcement struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Service     string
	Centre      string
	Address     []byte
	Web         []byte
	Slots       uint32
	Connections uint32
	State       uint8
	Load        float32
	Sequence    uint64
}

func heartbeatToWire(message zf.Heartbeat) heartbeat {
	w := heartbeat{
		Centre:             string(message.Centre),
		Control:            packAddress(message.Control),
		Relay:              packAddress(message.Relay),
		Beat:               message.Beat,
		Echo:               message.Echo,
		EchoIncarnation:    message.EchoIncarnation,
		State:              message.State,
		NeedsAnnouncements: message.NeedsAnnouncements,
		Ready:              message.Ready,
	}
	for _, digest := range message.SlotDigests {
		w.Slots = append(w.Slots, slotDigest{
			Service: string(digest.Service),
			Digest:  digest.Digest,
		})
	}
	for _, a := range message.Servers {
		w.Servers = append(w.Servers, announcement{
			Server:      string(a.Server),
			Service:     string(a.Service),
			Centre:      string(a.Centre),
			Address:     packAddress(a.Address),
			Web:         packAddress(a.Web),
			Slots:       uint32(a.Capacity.Slots),
			Connections: uint32(a.Capacity.Connections),
			State:       uint8(a.State),
			Load:        float32(a.Load),
			Sequence:    a.Sequence,
		})
	}
	for _, beat := range message.ServerHeartbeats {
		w.ServerHeartbeats = append(w.ServerHeartbeats, serverHeartbeat{
			Server:   string(beat.Server),
			State:    uint8(beat.State),
			Sequence: beat.Sequence,
			Load:     uint8(beat.Load * loadSteps),
		})
	}
	for _, address := range message.Members {
		w.Members = append(w.Members, packAddress(address))
	}
	return w
}

func (c *Codec) decodeHeartbeat(body cbor.RawMessage) (zf.Message, error) {
	var w heartbeat
	if err := c.decode.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(err, "heartbeat")
	}
	message := zf.Heartbeat{
		Centre:             zf.CentreName(w.Centre),
		Beat:               w.Beat,
		Echo:               w.Echo,
		EchoIncarnation:    w.EchoIncarnation,
		State:              w.State,
		NeedsAnnouncements: w.NeedsAnnouncements,
		Ready:              w.Ready,
	}
	var err error
	if message.Control, err = unpackAddress(w.Control); err != nil {
		return nil, err
	}
	if message.Relay, err = unpackAddress(w.Relay); err != nil {
		return nil, err
	}
	for _, digest := range w.Slots {
		message.SlotDigests = append(message.SlotDigests, zf.SlotDigest{
			Service: zf.ServiceName(digest.Service),
			Digest:  digest.Digest,
		})
	}
	for _, beat := range w.ServerHeartbeats {
		if beat.State > uint8(zf.ServerDraining) {
			return nil, errors.Errorf("unknown backend server state %d in server heartbeat", beat.State)
		}
		message.ServerHeartbeats = append(message.ServerHeartbeats, zf.ServerHeartbeat{
			Server:   zf.ServerName(beat.Server),
			State:    zf.ServerState(beat.State),
			Sequence: beat.Sequence,
			Load:     min(1, float64(beat.Load)/loadSteps),
		})
	}
	for _, packed := range w.Members {
		address, err := unpackAddress(packed)
		if err != nil {
			return nil, err
		}
		message.Members = append(message.Members, address)
	}
	for _, a := range w.Servers {
		announced, err := a.toAnnouncement()
		if err != nil {
			return nil, err
		}
		message.Servers = append(message.Servers, announced)
	}
	return message, nil
}

func (a announcement) toAnnouncement() (zf.Announcement, error) {
	address, err := unpackAddress(a.Address)
	if err != nil {
		return zf.Announcement{}, err
	}
	web, err := unpackAddress(a.Web)
	if err != nil {
		return zf.Announcement{}, err
	}
	if a.State > uint8(zf.ServerDraining) {
		return zf.Announcement{}, errors.Errorf("unknown backend server state %d in announcement", a.State)
	}
	return zf.Announcement{
		Server:  zf.ServerName(a.Server),
		Service: zf.ServiceName(a.Service),
		Centre:  zf.CentreName(a.Centre),
		Address: address,
		Web:     web,
		Capacity: zf.Capacity{
			Slots:       int(a.Slots),
			Connections: int(a.Connections),
		},
		State:    zf.ServerState(a.State),
		Load:     float64(a.Load),
		Sequence: a.Sequence,
	}, nil
}
