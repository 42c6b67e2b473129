package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// The bits of a packet's flags.
const (
	flagSYN     = 128
	flagACK     = 64
	flagFIN     = 16
	flagRST     = 2
	flagBounced = 4
)

const headBytes = 32

// packet is a packet of the platform.
type packet struct {
	flags    byte
	seq, ack uint32
	echo     uint32
	from, to netip.AddrPort
	data     []byte
	sum      uint32
}

// sumOf returns the keyed sum over all fields but echo, pad and BOUNCED.
func sumOf(head, data []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("stand2 key"))
	_, _ = h.Write([]byte{head[0] &^ flagBounced})
	_, _ = h.Write(head[2:10])
	_, _ = h.Write(head[14:28])
	_, _ = h.Write(data)
	return h.Sum32() | 1
}

func (p packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint32(b[2:], p.seq)
	binary.BigEndian.PutUint32(b[6:], p.ack)
	binary.BigEndian.PutUint32(b[10:], p.echo)
	binary.BigEndian.PutUint16(b[14:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[16:], p.to.Port())
	binary.BigEndian.PutUint16(b[18:], p.from.Port())
	to, from := p.to.Addr().As4(), p.from.Addr().As4()
	copy(b[20:], to[:])
	copy(b[24:], from[:])
	binary.BigEndian.PutUint32(b[28:], sumOf(b, p.data))
	return append(b, p.data...)
}

// decode decodes a packet; genuine is set if its sender has written it so.
func decode(b []byte) (p packet, genuine bool) {
	if len(b) < headBytes {
		return p, false
	}
	p = packet{
		flags: b[0],
		seq:   binary.BigEndian.Uint32(b[2:]),
		ack:   binary.BigEndian.Uint32(b[6:]),
		echo:  binary.BigEndian.Uint32(b[10:]),
		to:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), binary.BigEndian.Uint16(b[16:])),
		from:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[24:28])), binary.BigEndian.Uint16(b[18:])),
		data:  b[headBytes:],
		sum:   binary.BigEndian.Uint32(b[28:]),
	}
	return p, p.sum == sumOf(b, p.data)
}
