// Package zfplatform provides stand-ins for the platform around the system:
// backend servers, callers and an operator that use its published protocol.
package zfplatform

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"
)

// The flags of a packet.
const (
	FlagOpen        = 128
	FlagAcknowledge = 64
	FlagClose       = 16
	FlagReset       = 2
)

const (
	headerBytes = 32
	// checksumKey stands in for the secret that callers and backend servers share.
	checksumKey = 0x5bd1e995
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

// Encode returns the packet in its wire format.
func (p Packet) Encode() []byte {
	data := make([]byte, headerBytes, headerBytes+len(p.Data))
	data[0] = p.Flags
	binary.BigEndian.PutUint32(data[2:], p.Sequence)
	binary.BigEndian.PutUint32(data[6:], p.Acknowledged)
	binary.BigEndian.PutUint32(data[10:], p.Echo)
	binary.BigEndian.PutUint16(data[14:], uint16(len(p.Data)))
	binary.BigEndian.PutUint16(data[16:], p.Destination.Port())
	binary.BigEndian.PutUint16(data[18:], p.Source.Port())
	destination, source := p.Destination.Addr().As4(), p.Source.Addr().As4()
	copy(data[20:], destination[:])
	copy(data[24:], source[:])
	binary.BigEndian.PutUint32(data[28:], p.Checksum)
	return append(data, p.Data...)
}

var errInvalidPacket = errors.New("invalid packet: short header or wrong data length")

// Decode parses a packet in its wire format.
func Decode(data []byte) (Packet, error) {
	if len(data) < headerBytes || int(binary.BigEndian.Uint16(data[14:])) != len(data)-headerBytes {
		return Packet{}, errInvalidPacket
	}
	return Packet{
		Flags:        data[0],
		Sequence:     binary.BigEndian.Uint32(data[2:]),
		Acknowledged: binary.BigEndian.Uint32(data[6:]),
		Echo:         binary.BigEndian.Uint32(data[10:]),
		Destination:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[20:])), binary.BigEndian.Uint16(data[16:])),
		Source:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[24:])), binary.BigEndian.Uint16(data[18:])),
		Checksum:     binary.BigEndian.Uint32(data[28:]),
		Data:         append([]byte(nil), data[headerBytes:]...),
	}, nil
}

// checksum covers everything that must not change on the way: all but the echo and
// the checksum itself. It is never 0, which marks resets by the system.
func (p Packet) checksum() uint32 {
	p.Echo = 0
	p.Checksum = 0
	hash := uint32(checksumKey)
	for _, b := range p.Encode() {
		hash = (hash ^ uint32(b)) * 16777619
	}
	return max(hash, 1)
}

// WithChecksum returns the packet with its checksum set.
func (p Packet) WithChecksum() Packet {
	p.Checksum = p.checksum()
	return p
}

// ChecksumValid reports whether the packet is unchanged since the caller or the
// backend server sent it.
func (p Packet) ChecksumValid() bool { return p.Checksum == p.checksum() }
