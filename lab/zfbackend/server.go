package zfbackend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfdocument"
	"zinniafront/lab/zfsegment"
	"zinniafront/lab/zftopology"
)

// LoadFault is how a backend server misreports its load.
type LoadFault string

// The faults of load reports.
const (
	// LoadFaultNone reports the load as it is, LoadFaultZero always 0,
	// LoadFaultFull always 1, LoadFaultStuck always the first load.
	LoadFaultNone  LoadFault = "none"
	LoadFaultZero  LoadFault = "zero"
	LoadFaultFull  LoadFault = "full"
	LoadFaultStuck LoadFault = "stuck"
)

const (
	announceInterval   = time.Second
	tickInterval       = 100 * time.Millisecond
	callQueueSize      = 4096
	maxDatagramBytes   = 64 << 10
	maxBodyBytes       = 1 << 20
	defaultRequestTime = 20 * time.Millisecond
	readTimeout        = 10 * time.Second
)

// Signer signs announcements.
type Signer interface {
	// Sign returns the document with its signature.
	Sign(document []byte) ([]byte, error)
}

// Config holds the parameters of a backend server.
type Config struct {
	Topology  *zftopology.Topology
	Name      string
	State     zf.ServerState
	LoadFault LoadFault
	// LoadLag is the age of the load that is announced.
	LoadLag time.Duration
	Signer  Signer
	Clock   zf.Clock
}

// Server is a backend server with its sockets.
type Server struct {
	config           Config
	server           zftopology.Server
	table            *Table
	packetConn       *net.UDPConn
	webListener      net.Listener
	calls            chan func(now time.Time)
	done             chan struct{}
	lastAnnouncement time.Time
	loadHistory      []float64
	sequence         uint64
}

// Listen opens the sockets of a backend server.
func Listen(config Config) (*Server, error) {
	server := config.Topology.FindServer(config.Name)
	if server == nil {
		return nil, errors.Errorf("no backend server %q in the topology", config.Name)
	}
	var frontend *zftopology.Service
	for i := range config.Topology.Services {
		if config.Topology.Services[i].Name == server.Service {
			frontend = &config.Topology.Services[i]
		}
	}
	packetConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(server.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	webListener, err := net.Listen("tcp", server.Web.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for requests")
	}
	return &Server{
		config:      config,
		server:      *server,
		table:       NewTable(*server, frontend, config.State, config.Clock.Now()),
		packetConn:  packetConn,
		webListener: webListener,
		calls:       make(chan func(now time.Time), callQueueSize),
		done:        make(chan struct{}),
	}, nil
}

// Drain makes the backend server announce that it drains.
func (s *Server) Drain() {
	s.enqueue(func(now time.Time) {
		s.table.Drain(now)
		s.lastAnnouncement = time.Time{}
	})
}

// SetCold makes the backend server cold without announcing it.
func (s *Server) SetCold() { s.enqueue(s.table.SetCold) }

// enqueue passes a call to the goroutine that owns the table.
func (s *Server) enqueue(call func(now time.Time)) {
	select {
	case s.calls <- call:
	case <-s.done:
	}
}

// Run serves until ctx ends. It returns the stats of the backend server and the
// keys of the requests that it ran.
func (s *Server) Run(ctx context.Context) (Stats, []string) {
	defer close(s.done)
	httpServer := &http.Server{
		Handler:           http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: readTimeout,
	}
	go func() { _ = httpServer.Serve(s.webListener) }() // Serve returns after Close.
	go s.readPackets()
	defer httpServer.Close()
	defer s.packetConn.Close()
	for {
		tick, release := s.config.Clock.After(tickInterval)
		if !s.handleCallsUntil(ctx, tick) {
			release()
			return s.table.Stats(), s.table.Keys()
		}
		now := s.config.Clock.Now()
		s.table.Tick(now)
		s.announce(now)
	}
}

// handleCallsUntil runs the queued calls until the tick. It reports false if
// ctx has ended.
func (s *Server) handleCallsUntil(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case call := <-s.calls:
			call(s.config.Clock.Now())
		}
	}
}

func (s *Server) readPackets() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.packetConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error of an earlier write; the socket still works.
		}
		segment, err := zfsegment.Decode(buffer[:n])
		if err != nil {
			continue
		}
		segment.Payload = nil
		s.enqueue(func(now time.Time) { s.handlePacket(segment, now) })
	}
}

func (s *Server) handlePacket(segment zfsegment.Segment, now time.Time) {
	out, ok := s.table.HandlePacket(segment, now)
	if !ok {
		return
	}
	datagram, err := out.Encode()
	if err != nil {
		return
	}
	// The caller retransmits its packet if the response is lost.
	_, _ = s.packetConn.WriteToUDPAddrPort(datagram, s.config.Topology.Callers)
}

// announce records the load, and sends an announcement if one is due.
func (s *Server) announce(now time.Time) {
	s.loadHistory = append(s.loadHistory, s.table.Load())
	if now.Sub(s.lastAnnouncement) < announceInterval || s.table.isOverloaded(now) {
		return
	}
	s.lastAnnouncement = now
	s.sequence = max(s.sequence+1, uint64(now.UnixMilli()))
	text, err := zfdocument.FormatAnnouncement(zf.Announcement{
		Server:  zf.ServerName(s.server.Name),
		Service: zf.ServiceName(s.server.Service),
		Centre:  zf.CentreName(s.server.Centre),
		Address: s.server.Address,
		Web:     s.server.Web,
		Capacity: zf.Capacity{
			Slots:       s.table.frontend.Slots,
			Connections: s.table.frontend.Limit,
		},
		State:    s.table.State(),
		Load:     s.reportedLoad(),
		Sequence: s.sequence,
	})
	if err != nil {
		return
	}
	signed, err := s.config.Signer.Sign(text)
	if err != nil {
		return
	}
	// A lost announcement is followed by the next one.
	_, _ = s.packetConn.WriteToUDPAddrPort(signed, s.config.Topology.Announce)
}

// reportedLoad returns the load to announce.
func (s *Server) reportedLoad() float64 {
	lagTicks := int(s.config.LoadLag / tickInterval)
	switch {
	case s.config.LoadFault == LoadFaultZero:
		return 0
	case s.config.LoadFault == LoadFaultFull:
		return 1
	case s.config.LoadFault == LoadFaultStuck:
		return s.loadHistory[0]
	case lagTicks >= len(s.loadHistory):
		return 0
	default:
		return s.loadHistory[len(s.loadHistory)-1-lagTicks]
	}
}

// serveRequest runs one request, which takes a slot.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	begun := make(chan bool, 1)
	s.enqueue(func(now time.Time) { begun <- s.table.BeginRequest(r.Header.Get("Idempotency-Key"), now) })
	select {
	case ok := <-begun:
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	case <-s.done:
		return
	}
	defer s.enqueue(func(time.Time) { s.table.EndRequest() })
	finished, release := s.config.Clock.After(s.requestTime(r))
	defer release()
	select {
	case <-finished:
	case <-r.Context().Done():
		return
	}
	text := fmt.Sprintf("%s %s %s", s.server.Name, r.Header.Get("Idempotency-Key"), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // The caller may have disconnected.
}

// requestTime returns how long a request takes: the value of the query
// parameter work, or defaultRequestTime.
func (s *Server) requestTime(r *http.Request) time.Duration {
	if requested, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		return requested
	}
	return defaultRequestTime
}
