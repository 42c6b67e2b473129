// Package zfpacket decodes IP packets. The fabric, the network in front of the instances,
// sends each packet of a caller to one of them, in a UDP datagram.
package zfpacket

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"

	zf "zinniafront"
)

// Decoder implements zinniafront.Framing for IP packets. It reuses its layers between
// packets, so each goroutine needs a decoder of its own.
type Decoder struct {
	v4            layers.IPv4
	v6            layers.IPv6
	tcp           layers.TCP
	udp           layers.UDP
	parser4       *gopacket.DecodingLayerParser
	parser6       *gopacket.DecodingLayerParser
	decodedLayers []gopacket.LayerType
}

// NewDecoder returns a decoder.
func NewDecoder() *Decoder {
	d := &Decoder{
		decodedLayers: make([]gopacket.LayerType, 0, 4),
	}
	d.parser4 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &d.v4, &d.tcp, &d.udp)
	d.parser6 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, &d.v6, &d.tcp, &d.udp)
	d.parser4.IgnoreUnsupported = true
	d.parser6.IgnoreUnsupported = true
	return d
}

var (
	errVersion   = errors.New("not an IPv4 or IPv6 packet")
	errTransport = errors.New("transport protocol is neither TCP nor UDP")
	errFragment  = errors.New("later IPv4 fragment without TCP or UDP ports")
)

func refuse(reason zf.Reason, cause error) (zf.Packet, error) {
	return zf.Packet{}, &zf.WireError{
		Reason: reason,
		Cause:  cause,
	}
}

// Headroom implements zinniafront.Framing. It is 0, as packets are forwarded unchanged.
func (d *Decoder) Headroom() int { return 0 }

// Forward implements zinniafront.Framing.
func (d *Decoder) Forward(frame []byte, _ zf.Verdict) []byte { return frame }

// Reset implements zinniafront.Framing. Resets are not supported for flows of IP packets.
func (d *Decoder) Reset(zf.Packet) ([]byte, netip.AddrPort, bool) {
	return nil, netip.AddrPort{}, false
}

// Decode decodes one IP packet. Its errors are of type *zinniafront.WireError.
func (d *Decoder) Decode(data []byte) (zf.Packet, error) {
	if len(data) == 0 {
		return refuse(zf.ReasonMalformed, errVersion)
	}
	var err error
	var source, destination netip.Addr
	switch data[0] >> 4 {
	case 4:
		err = d.parser4.DecodeLayers(data, &d.decodedLayers)
		if err == nil && d.v4.FragOffset != 0 {
			return refuse(zf.ReasonFragment, errFragment)
		}
		source, _ = netip.AddrFromSlice(d.v4.SrcIP)
		destination, _ = netip.AddrFromSlice(d.v4.DstIP)
	case 6:
		err = d.parser6.DecodeLayers(data, &d.decodedLayers)
		source, _ = netip.AddrFromSlice(d.v6.SrcIP)
		destination, _ = netip.AddrFromSlice(d.v6.DstIP)
	default:
		return refuse(zf.ReasonMalformed, errVersion)
	}
	if err != nil {
		return refuse(zf.ReasonMalformed, err)
	}
	if len(d.decodedLayers) < 2 {
		return refuse(zf.ReasonMalformed, errTransport)
	}
	return d.packet(source, destination, d.decodedLayers[len(d.decodedLayers)-1])
}

func (d *Decoder) packet(source, destination netip.Addr, transport gopacket.LayerType) (zf.Packet, error) {
	packet := zf.Packet{}
	switch transport {
	case layers.LayerTypeTCP:
		packet.Kind = d.tcpKind()
		packet.Flow = zf.Flow{
			Protocol:    zf.ProtocolTCP,
			Source:      netip.AddrPortFrom(source, uint16(d.tcp.SrcPort)),
			Destination: netip.AddrPortFrom(destination, uint16(d.tcp.DstPort)),
		}
	case layers.LayerTypeUDP: // UDP has no opening or closing packets; the kind stays PacketMidFlow.
		packet.Flow = zf.Flow{
			Protocol:    zf.ProtocolUDP,
			Source:      netip.AddrPortFrom(source, uint16(d.udp.SrcPort)),
			Destination: netip.AddrPortFrom(destination, uint16(d.udp.DstPort)),
		}
	default:
		return refuse(zf.ReasonMalformed, errTransport)
	}
	return packet, nil
}

func (d *Decoder) tcpKind() zf.PacketKind {
	switch {
	case d.tcp.RST:
		return zf.PacketReset
	case d.tcp.SYN && !d.tcp.ACK:
		return zf.PacketOpening
	case d.tcp.FIN:
		return zf.PacketClosing
	default:
		return zf.PacketMidFlow
	}
}
