// Package zfplatform stands in for the platform around the system: backend
// servers, callers and the operator, as its published protocol has them speak.
package zfplatform

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"
)

// The bits of a packet's flags.
const (
	FlagOpen        = 128
	FlagAcknowledge = 64
	FlagClose       = 16
	FlagReset       = 2
)

const (
	headBytes = 32
	// sumKey stands in for the secret that ends of flows sign their packets with.
	sumKey = 0x5bd1e995
)

// Packet is one packet between a caller and a backend server.
type Packet struct {
	Flags        byte
	Sequence     uint32
	Acknowledged uint32
	Echo         uint32
	Source       netip.AddrPort
	Destination  netip.AddrPort
	Checksum     uint32
	Data         []byte
}

// Has reports whether a packet has a flag.
func (p Packet) Has(flag byte) bool { return p.Flags&flag != 0 }

// Encode returns the packet's bytes.
func (p Packet) Encode() []byte {
	text := make([]byte, headBytes, headBytes+len(p.Data))
	text[0] = p.Flags
	binary.BigEndian.PutUint32(text[2:], p.Sequence)
	binary.BigEndian.PutUint32(text[6:], p.Acknowledged)
	binary.BigEndian.PutUint32(text[10:], p.Echo)
	binary.BigEndian.PutUint16(text[14:], uint16(len(p.Data)))
	binary.BigEndian.PutUint16(text[16:], p.Destination.Port())
	binary.BigEndian.PutUint16(text[18:], p.Source.Port())
	destination, source := p.Destination.Addr().As4(), p.Source.Addr().As4()
	copy(text[20:], destination[:])
	copy(text[24:], source[:])
	binary.BigEndian.PutUint32(text[28:], p.Checksum)
	return append(text, p.Data...)
}

var errPacket = errors.New("not a packet")

// Decode reads a packet.
func Decode(text []byte) (Packet, error) {
	if len(text) < headBytes || int(binary.BigEndian.Uint16(text[14:])) != len(text)-headBytes {
		return Packet{}, errPacket
	}
	return Packet{
		Flags:        text[0],
		Sequence:     binary.BigEndian.Uint32(text[2:]),
		Acknowledged: binary.BigEndian.Uint32(text[6:]),
		Echo:         binary.BigEndian.Uint32(text[10:]),
		Destination:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(text[20:])), binary.BigEndian.Uint16(text[16:])),
		Source:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(text[24:])), binary.BigEndian.Uint16(text[18:])),
		Checksum:     binary.BigEndian.Uint32(text[28:]),
		Data:         append([]byte(nil), text[headBytes:]...),
	}, nil
}

// sum signs all that nobody may change on the way.
func (p Packet) sum() uint32 {
	p.Echo = 0
	p.Checksum = 0
	total := uint32(sumKey)
	for _, b := range p.Encode() {
		total = (total ^ uint32(b)) * 16777619
	}
	return max(total, 1)
}

// WithChecksum returns the packet with its checksum.
func (p Packet) WithChecksum() Packet {
	p.Checksum = p.sum()
	return p
}

// ChecksumValid reports whether an end of the flow wrote the packet as it is.
func (p Packet) ChecksumValid() bool { return p.Checksum == p.sum() }
