// Package zfsegment encodes and decodes the TCP segments between stand-ins.
package zfsegment

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"

	zf "zinniafront"
)

// Segment is one TCP segment in an IP packet.
type Segment struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	SYN         bool
	ACK         bool
	FIN         bool
	RST         bool
	// Number is the number of the data segment in its flow, sent as the TCP sequence
	// number; an answer repeats it.
	Number  uint32
	Payload []byte
}

// Flow returns the flow of a segment that a caller sent.
func (s Segment) Flow() zf.Flow {
	return zf.Flow{
		Protocol:    zf.ProtocolTCP,
		Source:      s.Source,
		Destination: s.Destination,
	}
}

const (
	defaultTTL = 64
	windowSize = 65535
)

// Encode returns the segment in an IPv4 packet.
func (s Segment) Encode() ([]byte, error) {
	ip := &layers.IPv4{
		Version:  4,
		TTL:      defaultTTL,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    s.Source.Addr().AsSlice(),
		DstIP:    s.Destination.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()),
		DstPort: layers.TCPPort(s.Destination.Port()),
		Seq:     s.Number,
		SYN:     s.SYN,
		ACK:     s.ACK,
		FIN:     s.FIN,
		RST:     s.RST,
		Window:  windowSize,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, errors.Wrap(err, "prepare checksum of segment")
	}
	buffer := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{
		FixLengths:       true,
		ComputeChecksums: true,
	}, ip, tcp, gopacket.Payload(s.Payload))
	return buffer.Bytes(), errors.Wrap(err, "encode segment")
}

// ErrInvalidSegment means data is not a TCP segment in an IPv4 packet.
var ErrInvalidSegment = errors.New("not a TCP segment in an IPv4 packet")

// Decode parses a TCP segment in an IPv4 packet.
func Decode(data []byte) (Segment, error) {
	var ip layers.IPv4
	var tcp layers.TCP
	decoded := make([]gopacket.LayerType, 0, 3)
	parser := gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &ip, &tcp)
	parser.IgnoreUnsupported = true // The port may imply an application protocol, which is not decoded.
	if err := parser.DecodeLayers(data, &decoded); err != nil || len(decoded) < 2 {
		return Segment{}, ErrInvalidSegment
	}
	source, _ := netip.AddrFromSlice(ip.SrcIP)
	destination, _ := netip.AddrFromSlice(ip.DstIP)
	return Segment{
		Source:      netip.AddrPortFrom(source, uint16(tcp.SrcPort)),
		Destination: netip.AddrPortFrom(destination, uint16(tcp.DstPort)),
		SYN:         tcp.SYN,
		ACK:         tcp.ACK,
		FIN:         tcp.FIN,
		RST:         tcp.RST,
		Number:      tcp.Seq,
		Payload:     tcp.Payload,
	}, nil
}
