package zfwire

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	zf "zinniafront"
)

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
	packed, _ := address.MarshalBinary() // It never returns an error.
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

// messageToWire converts a message to the struct that is encoded as CBOR.
func messageToWire(message zf.Message) any {
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

// decodeMessage decodes the CBOR body of a message.
func (c *Codec) decodeMessage(kind zf.MessageKind, body cbor.RawMessage) (zf.Message, error) {
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
		return nil, errors.Errorf("unknown message kind %d", kind)
	}
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
