package zfwire

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	zf "zinniafront"
)

type heartbeat struct {
	_       struct{} `cbor:",toarray"`
	Centre  string
	Control []byte
	Relay   []byte
	Beat    uint64
	Echo    uint64
	EchoOf  uint64
	State   uint64
	Slots   []slotDigest
	Servers []announcement
	Alive   []serverBeat
	Members [][]byte
	Lacks   bool
	Ready   bool
}

type serverBeat struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	State    uint8
	Sequence uint64
	Load     uint8
}

// loadSteps is how finely the load of a server beat is told.
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

type slotRows struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Names   []string
	Groups  []slotGroup
	Round   uint64
}

// slotGroup holds the slots that have the same row. Servers are indexes of
// names from 1, 0 being none; Slots holds the increments as varints.
type slotGroup struct {
	_       struct{} `cbor:",toarray"`
	Base    uint32
	Active  uint32
	Next    uint32
	Moved   bool
	Version uint32
	Writer  uint32
	Slots   []byte
}

type slotAck struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Round   uint64
	Busy    []uint16
}

type slotAsk struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Round   uint64
	Slots   []uint16
}

type slotPull struct {
	_       struct{} `cbor:",toarray"`
	Service string
}

type flowRows struct {
	_        struct{} `cbor:",toarray"`
	Servers  []string
	Services []string
	Rows     []flowRow
	Batch    uint64
	View     uint64
	Last     bool
}

type flowRow struct {
	_         struct{} `cbor:",toarray"`
	Hash      uint64
	Server    uint32
	Service   uint32
	Version   uint32
	Age       uint32
	Tentative bool
}

type flowAck struct {
	_     struct{} `cbor:",toarray"`
	Batch uint64
}

type leave struct {
	_ struct{} `cbor:",toarray"`
}

func packAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	packed, _ := address.MarshalBinary() // It never fails.
	return packed
}

func unpackAddress(packed []byte) (netip.AddrPort, error) {
	var address netip.AddrPort
	if len(packed) == 0 {
		return address, nil
	}
	err := address.UnmarshalBinary(packed)
	return address, errors.Wrap(err, "address")
}

// toWire returns the encoded form of a message.
func toWire(message zf.Message) any {
	switch message := message.(type) {
	case zf.Heartbeat:
		return heartbeatToWire(message)
	case zf.SlotRows:
		return slotRowsToWire(message)
	case zf.SlotAck:
		return slotAck{
			Service: string(message.Service),
			Round:   message.Round,
			Busy:    message.Busy,
		}
	case zf.SlotAsk:
		return slotAsk{
			Service: string(message.Service),
			Round:   message.Round,
			Slots:   message.Slots,
		}
	case zf.SlotPull:
		return slotPull{
			Service: string(message.Service),
		}
	case zf.FlowRows:
		return flowRowsToWire(message)
	case zf.FlowAck:
		return flowAck{
			Batch: message.Batch,
		}
	default:
		return leave{}
	}
}

// fromWire returns the message of an encoded form.
func (c *Codec) fromWire(kind zf.MessageKind, body cbor.RawMessage) (zf.Message, error) {
	switch kind {
	case zf.MessageHeartbeat:
		return c.decodeHeartbeat(body)
	case zf.MessageSlotRows:
		return c.decodeSlotRows(body)
	case zf.MessageSlotAck:
		var w slotAck
		err := c.decode.Unmarshal(body, &w)
		return zf.SlotAck{
			Service: zf.ServiceName(w.Service),
			Round:   w.Round,
			Busy:    w.Busy,
		}, err
	case zf.MessageSlotAsk:
		var w slotAsk
		err := c.decode.Unmarshal(body, &w)
		return zf.SlotAsk{
			Service: zf.ServiceName(w.Service),
			Round:   w.Round,
			Slots:   w.Slots,
		}, err
	case zf.MessageSlotPull:
		var w slotPull
		err := c.decode.Unmarshal(body, &w)
		return zf.SlotPull{
			Service: zf.ServiceName(w.Service),
		}, err
	case zf.MessageFlowRows:
		return c.decodeFlowRows(body)
	case zf.MessageFlowAck:
		var w flowAck
		err := c.decode.Unmarshal(body, &w)
		return zf.FlowAck{
			Batch: w.Batch,
		}, err
	case zf.MessageLeave:
		var w leave
		return zf.Leave{}, c.decode.Unmarshal(body, &w)
	default:
		return nil, errors.Errorf("message kind %d", kind)
	}
}

func heartbeatToWire(message zf.Heartbeat) heartbeat {
	w := heartbeat{
		Centre:  string(message.Centre),
		Control: packAddress(message.Control),
		Relay:   packAddress(message.Relay),
		Beat:    message.Beat,
		Echo:    message.Echo,
		EchoOf:  message.EchoOf,
		State:   message.State,
		Lacks:   message.Lacks,
		Ready:   message.Ready,
	}
	for _, digest := range message.Slots {
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
	for _, beat := range message.Alive {
		w.Alive = append(w.Alive, serverBeat{
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
		Centre: zf.CentreName(w.Centre),
		Beat:   w.Beat,
		Echo:   w.Echo,
		EchoOf: w.EchoOf,
		State:  w.State,
		Lacks:  w.Lacks,
		Ready:  w.Ready,
	}
	var err error
	if message.Control, err = unpackAddress(w.Control); err != nil {
		return nil, err
	}
	if message.Relay, err = unpackAddress(w.Relay); err != nil {
		return nil, err
	}
	for _, digest := range w.Slots {
		message.Slots = append(message.Slots, zf.SlotDigest{
			Service: zf.ServiceName(digest.Service),
			Digest:  digest.Digest,
		})
	}
	for _, beat := range w.Alive {
		if beat.State > uint8(zf.ServerDraining) {
			return nil, errors.Errorf("state %d", beat.State)
		}
		message.Alive = append(message.Alive, zf.ServerBeat{
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
		announced, err := a.message()
		if err != nil {
			return nil, err
		}
		message.Servers = append(message.Servers, announced)
	}
	return message, nil
}

func (a announcement) message() (zf.Announcement, error) {
	address, err := unpackAddress(a.Address)
	if err != nil {
		return zf.Announcement{}, err
	}
	web, err := unpackAddress(a.Web)
	if err != nil {
		return zf.Announcement{}, err
	}
	if a.State > uint8(zf.ServerDraining) {
		return zf.Announcement{}, errors.Errorf("state %d", a.State)
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

// dictionary gives names indexes from 1; 0 is the empty name.
type dictionary struct {
	names []string
	index map[string]uint32
}

func newDictionary() *dictionary {
	return &dictionary{
		index: make(map[string]uint32),
	}
}

func (d *dictionary) add(name string) uint32 {
	if name == "" {
		return 0
	}
	if i, ok := d.index[name]; ok {
		return i
	}
	d.names = append(d.names, name)
	d.index[name] = uint32(len(d.names))
	return uint32(len(d.names))
}

func lookUp(names []string, index uint32) (string, error) {
	switch {
	case index == 0:
		return "", nil
	case int(index) > len(names):
		return "", errors.Errorf("name %d of %d", index, len(names))
	default:
		return names[index-1], nil
	}
}

func slotRowsToWire(message zf.SlotRows) slotRows {
	names := newDictionary()
	w := slotRows{
		Service: string(message.Service),
		Round:   message.Round,
	}
	previous := uint16(0)
	for _, row := range message.Rows {
		group := slotGroup{
			Base:    names.add(string(row.Base)),
			Active:  names.add(string(row.Active)),
			Next:    names.add(string(row.Next)),
			Moved:   row.Moved,
			Version: row.Version,
			Writer:  row.Writer,
		}
		if last := len(w.Groups) - 1; last < 0 || !w.Groups[last].alike(group) || row.Slot < previous {
			w.Groups = append(w.Groups, group)
			previous = 0
		}
		last := &w.Groups[len(w.Groups)-1]
		last.Slots = binary.AppendUvarint(last.Slots, uint64(row.Slot-previous))
		previous = row.Slot
	}
	w.Names = names.names
	return w
}

func (g slotGroup) alike(other slotGroup) bool {
	return g.Base == other.Base && g.Active == other.Active && g.Next == other.Next &&
		g.Moved == other.Moved && g.Version == other.Version && g.Writer == other.Writer
}

func (c *Codec) decodeSlotRows(body cbor.RawMessage) (zf.Message, error) {
	var w slotRows
	if err := c.decode.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(err, "slot rows")
	}
	message := zf.SlotRows{
		Service: zf.ServiceName(w.Service),
		Round:   w.Round,
	}
	for _, group := range w.Groups {
		rows, err := group.rows(w.Names)
		if err != nil {
			return nil, errors.Wrap(err, "slot rows")
		}
		message.Rows = append(message.Rows, rows...)
	}
	return message, nil
}

func (g slotGroup) rows(names []string) ([]zf.SlotRow, error) {
	var servers [3]string
	for i, index := range [...]uint32{g.Base, g.Active, g.Next} {
		name, err := lookUp(names, index)
		if err != nil {
			return nil, err
		}
		servers[i] = name
	}
	rows := make([]zf.SlotRow, 0, len(g.Slots))
	slot := uint64(0)
	for rest := g.Slots; len(rest) > 0; {
		step, n := binary.Uvarint(rest)
		if n <= 0 || slot+step > 1<<16-1 {
			return nil, errors.New("slot out of range")
		}
		slot += step
		rest = rest[n:]
		rows = append(rows, zf.SlotRow{
			Slot:    uint16(slot),
			Base:    zf.ServerName(servers[0]),
			Active:  zf.ServerName(servers[1]),
			Next:    zf.ServerName(servers[2]),
			Moved:   g.Moved,
			Version: g.Version,
			Writer:  g.Writer,
		})
	}
	return rows, nil
}

func flowRowsToWire(message zf.FlowRows) flowRows {
	servers, services := newDictionary(), newDictionary()
	w := flowRows{
		Batch: message.Batch,
		View:  message.View,
		Last:  message.Last,
	}
	for _, row := range message.Rows {
		w.Rows = append(w.Rows, flowRow{
			Hash:      row.Hash,
			Server:    servers.add(string(row.Server)),
			Service:   services.add(string(row.Service)),
			Version:   row.Version,
			Age:       uint32(row.Age / time.Second),
			Tentative: row.Tentative,
		})
	}
	w.Servers = servers.names
	w.Services = services.names
	return w
}

func (c *Codec) decodeFlowRows(body cbor.RawMessage) (zf.Message, error) {
	var w flowRows
	if err := c.decode.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(err, "flow rows")
	}
	message := zf.FlowRows{
		Batch: w.Batch,
		View:  w.View,
		Last:  w.Last,
	}
	for _, row := range w.Rows {
		server, err := lookUp(w.Servers, row.Server)
		if err != nil {
			return nil, errors.Wrap(err, "flow rows")
		}
		service, err := lookUp(w.Services, row.Service)
		if err != nil {
			return nil, errors.Wrap(err, "flow rows")
		}
		message.Rows = append(message.Rows, zf.FlowRow{
			Hash:      row.Hash,
			Server:    zf.ServerName(server),
			Service:   zf.ServiceName(service),
			Version:   row.Version,
			Age:       time.Duration(row.Age) * time.Second,
			Tentative: row.Tentative,
		})
	}
	return message, nil
}
