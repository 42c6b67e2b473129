// Package zfannounce receives the announcements of backend servers over UDP.
// Datagrams are untrusted until their signature is verified.
package zfannounce

import (
	"maps"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfdocument"
)

const (
	// MaxDatagramBytes is the size of the largest datagram that is decoded.
	MaxDatagramBytes = 2048
	// serverRate, per second, and serverBurst limit the announcements of one backend
	// server.
	serverRate  = 5
	serverBurst = 10
	// totalRate, per second, and totalBurst limit the datagrams whose signature is
	// verified.
	totalRate  = 5000
	totalBurst = 5000
	// maxServers bounds the number of rate limiters, one for each name of a backend
	// server. Announcements under further names are refused.
	maxServers = 20000
	// sweepInterval is the time between two removals of the rate limiters that are back
	// at their burst, like a new one.
	sweepInterval = time.Minute
)

// DecoderConfig configures a Decoder.
type DecoderConfig struct {
	Verifier zf.Verifier
	Clock    zf.Clock
}

// Decoder verifies announcements and limits their rate. It is not safe for concurrent
// use.
type Decoder struct {
	config         DecoderConfig
	totalLimiter   *rate.Limiter
	serverLimiters map[zf.ServerName]*rate.Limiter
	lastSweep      time.Time
}

// NewDecoder returns a decoder.
func NewDecoder(config DecoderConfig) *Decoder {
	return &Decoder{
		config:         config,
		totalLimiter:   rate.NewLimiter(totalRate, totalBurst),
		serverLimiters: make(map[zf.ServerName]*rate.Limiter),
	}
}

// Decode returns the announcement in a datagram after it has checked, in this order, the
// size, the total rate, the signature, the fields and the rate of the backend server. Its
// errors are of type *zinniafront.WireError.
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
	d.sweep(now)
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

// sweep removes the rate limiters of backend servers that have been silent.
func (d *Decoder) sweep(now time.Time) {
	if now.Sub(d.lastSweep) < sweepInterval {
		return
	}
	d.lastSweep = now
	maps.DeleteFunc(d.serverLimiters, func(_ zf.ServerName, limiter *rate.Limiter) bool {
		return limiter.TokensAt(now) >= serverBurst
	})
}

func refuse(reason zf.Reason, cause error) (zf.Announcement, error) {
	return zf.Announcement{}, &zf.WireError{
		Reason: reason,
		Cause:  cause,
	}
}

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Address  netip.AddrPort
	Decoder  *Decoder
	Counters *zfcounter.Set
	// OnAnnouncement is called with each announcement that was accepted.
	OnAnnouncement func(zf.Announcement)
}

// Listener receives announcements on a UDP socket.
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

// Run receives announcements until the listener is closed.
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
	return errors.Wrap(l.conn.Close(), "close announcement socket")
}
