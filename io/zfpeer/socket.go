// Package zfpeer sends and receives the messages between instances of the entry role
// over UDP.
package zfpeer

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
)

const (
	maxDatagramBytes  = 64 << 10
	socketBufferBytes = 4 << 20
)

// Config configures a Socket.
type Config struct {
	Address  netip.AddrPort
	Codec    zf.Codec
	Counters *zfcounter.Set
	// OnMessage is called with each message that was decoded.
	OnMessage func(zf.Envelope)
}

// Socket sends and receives messages.
type Socket struct {
	config Config
	conn   *net.UDPConn
}

// Listen opens the socket.
func Listen(config Config) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for messages of other instances")
	}
	// The kernel may grant a smaller buffer; lost messages are sent again.
	_ = conn.SetReadBuffer(socketBufferBytes)
	return &Socket{
		config: config,
		conn:   conn,
	}, nil
}

// Send encodes and sends messages. A message that can't be sent is only counted, as
// every message is repeated until it is acknowledged or out of date.
func (s *Socket) Send(envelopes []zf.Envelope) {
	for _, envelope := range envelopes {
		datagram, err := s.config.Codec.Encode(envelope)
		if err == nil {
			_, err = s.conn.WriteToUDPAddrPort(datagram, envelope.Address)
		}
		if err != nil {
			s.config.Counters.MessageRefused.Add(zf.ReasonSendFailed)
			continue
		}
		s.config.Counters.MessageSent.AddBytes(envelope.Message.Kind(), len(datagram))
		s.config.Counters.ControlBytes.Inc(int64(len(datagram)))
	}
}

// Run receives messages until the socket is closed.
func (s *Socket) Run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error caused by an earlier write; the socket remains usable.
		}
		envelope, err := s.config.Codec.Decode(buffer[:n])
		if err != nil {
			s.config.Counters.MessageRefused.Add(reasonOf(err))
			continue
		}
		s.config.Counters.MessageTaken.AddBytes(envelope.Message.Kind(), n)
		s.config.OnMessage(envelope)
	}
}

func reasonOf(err error) zf.Reason {
	var wire *zf.WireError
	if errors.As(err, &wire) {
		return wire.Reason
	}
	return zf.ReasonBadEncoding
}

// Close closes the socket.
func (s *Socket) Close() error { return errors.Wrap(s.conn.Close(), "close message socket") }
