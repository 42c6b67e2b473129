// Package zfannounce takes the announcements of backend servers from a UDP
// socket. Each datagram is hostile until its signature is checked.
package zfannounce

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
)

const (
	// MaxDatagramBytes bounds the datagram of one announcement.
	MaxDatagramBytes = 2048
	// serverRate and serverBurst bound the announcements of one backend server.
	serverRate  = 5
	serverBurst = 10
	// totalRate and totalBurst bound the datagrams whose signature is checked.
	totalRate  = 5000
	totalBurst = 5000
	// maxServers bounds the limiters.
	maxServers = 20000
)

// DecoderConfig holds what a decoder is built from.
type DecoderConfig struct {
	Verifier zf.Verifier
	Clock    zf.Clock
}

// Decoder checks announcements and their rate. It belongs to one goroutine.
type Decoder struct {
	config         DecoderConfig
	totalLimiter   *rate.Limiter
	serverLimiters map[zf.ServerName]*rate.Limiter
}

// NewDecoder returns a decoder.
func NewDecoder(config DecoderConfig) *Decoder {
	return &Decoder{
		config:         config,
		totalLimiter:   rate.NewLimiter(totalRate, totalBurst),
		serverLimiters: make(map[zf.ServerName]*rate.Limiter),
	}
}

// Decode returns the announcement in a datagram. Its errors are of type
// *zinniafront.WireError.
func (d *Decoder) Decode(datagram []byte) (zf.Announcement, error) {
	now := d.config.Clock.Now()
	if len(datagram) > MaxDatagramBytes {
		return refuse(zf.ReasonTooLarge, nil)
	}
	if !d.totalLimiter.AllowN(now, 1) {
		return refuse(zf.ReasonRateLimited, nil)
	}
	text, err := d.config.Verifier.Verify(datagram)
	if err != nil {
		return refuse(zf.ReasonBadSignature, err)
	}
	announcement, err := zfdocument.ParseAnnouncement(text)
	if err != nil {
		return refuse(zf.ReasonBadField, err)
	}
	limiter, ok := d.serverLimiters[announcement.Server]
	if !ok {
		if len(d.serverLimiters) >= maxServers {
			return refuse(zf.ReasonFull, nil)
		}
		limiter = rate.NewLimiter(serverRate, serverBurst)
		d.serverLimiters[announcement.Server] = limiter
	}
	if !limiter.AllowN(now, 1) {
		return refuse(zf.ReasonRateLimited, nil)
	}
	return announcement, nil
}

func refuse(reason zf.Reason, cause error) (zf.Announcement, error) {
	return zf.Announcement{}, &zf.WireError{
		Reason: reason,
		Cause:  cause,
	}
}

// ListenerConfig holds what a listener is built from.
type ListenerConfig struct {
	Address  netip.AddrPort
	Decoder  *Decoder
	Counters *zfcounter.Set
	// OnAnnouncement gets each announcement that was not refused.
	OnAnnouncement func(zf.Announcement)
}

// Listener reads announcements from its socket.
type Listener struct {
	config ListenerConfig
	conn   *net.UDPConn
}

// Listen opens the socket.
func Listen(config ListenerConfig) (*Listener, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for announcements")
	}
	return &Listener{
		config: config,
		conn:   conn,
	}, nil
}

// Run reads until the listener is closed.
func (l *Listener) Run() {
	buffer := make([]byte, MaxDatagramBytes+1)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		announcement, err := l.config.Decoder.Decode(buffer[:n])
		if err != nil {
			l.config.Counters.AnnounceRefused.Add(reasonOf(err))
			continue
		}
		l.config.Counters.AnnounceTaken.Inc(1)
		l.config.OnAnnouncement(announcement)
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
func (l *Listener) Close() error {
	return errors.Wrap(l.conn.Close(), "close announcements")
}
