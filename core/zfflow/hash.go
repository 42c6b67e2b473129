package zfflow

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// The encoded lengths of a five-tuple: two addresses, two ports, protocol.
const (
	tupleBytes6 = 16 + 16 + 2 + 2 + 1
	tupleBytes4 = 4 + 4 + 2 + 2 + 1
)

// Hash returns the 64-bit hash of a flow. Instances with the same seed agree
// on it; the seed is secret, so that callers can't choose collisions.
func Hash(seed uint64, flow zf.Flow) uint64 {
	if flow.Source.Addr().Is4() && flow.Destination.Addr().Is4() {
		return hash4(seed, &flow)
	}
	var key [tupleBytes6]byte
	source, destination := flow.Source.Addr().As16(), flow.Destination.Addr().As16()
	copy(key[0:16], source[:])
	copy(key[16:32], destination[:])
	binary.BigEndian.PutUint16(key[32:34], flow.Source.Port())
	binary.BigEndian.PutUint16(key[34:36], flow.Destination.Port())
	key[36] = byte(flow.Protocol)
	return xxh3.HashSeed(key[:], seed)
}

// hash4 hashes the shorter five-tuple of an IPv4 flow.
func hash4(seed uint64, flow *zf.Flow) uint64 {
	var key [tupleBytes4]byte
	source, destination := flow.Source.Addr().As4(), flow.Destination.Addr().As4()
	copy(key[0:4], source[:])
	copy(key[4:8], destination[:])
	binary.BigEndian.PutUint16(key[8:10], flow.Source.Port())
	binary.BigEndian.PutUint16(key[10:12], flow.Destination.Port())
	key[12] = byte(flow.Protocol)
	return xxh3.HashSeed(key[:], seed)
}
