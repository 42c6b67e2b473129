package zfreview

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"zinniafront/lab/zfplatform"
)

// ServerConfig describes a backend server.
type ServerConfig struct {
	Number  uint64
	Service string
	Zone    string
	// Host is the last byte of the address, Port is added to the deployment's port.
	Host int
	Port uint16
	// Work is the time that a request takes.
	Work time.Duration
	// Home is the control instance that gets the first heartbeat.
	Home int
}

// Arrival is one opening packet of a flow that a backend server took.
type Arrival struct {
	At     time.Time
	Caller netip.AddrPort
}

// Server is one incarnation of a backend server.
type Server struct {
	deployment *Deployment
	config     ServerConfig
	born       time.Time
	conn       *net.UDPConn
	client     *http.Client
	ctx        context.Context
	cancel     context.CancelFunc
	done       sync.WaitGroup

	mutex    sync.Mutex
	flows    map[flowKey]*serverFlow
	arrivals []Arrival
	state    string
	sequence uint64
	// heartbeatAddress is where the last answer directed the heartbeats to.
	heartbeatAddress string
}

type flowKey struct{ caller, route netip.AddrPort }

// serverFlow is a flow that a backend server holds.
type serverFlow struct {
	// sequence is the next sequence number that the backend server sends, expected the
	// next one of its caller.
	sequence uint32
	expected uint32
	opened   bool
	// busy is set while a request runs; its retransmissions are acknowledged.
	busy bool
	// last is the last answer, which is sent again if the request is retransmitted.
	last *zfplatform.Packet
}

// StartServer opens the socket of a backend server and starts its heartbeats.
func (d *Deployment) StartServer(config ServerConfig) (*Server, error) {
	s := &Server{
		deployment: d,
		config:     config,
		born:       time.Now(),
		client: &http.Client{
			Timeout: time.Second,
		},
		flows: make(map[flowKey]*serverFlow),
		state: "ready",
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address()))
	if err != nil {
		return nil, errors.Wrap(err, "open socket of backend server")
	}
	s.conn = conn
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Go(s.receive)
	s.done.Go(s.sendHeartbeats)
	return s, nil
}

// ID returns the backend server's name.
func (s *Server) ID() string { return fmt.Sprintf("i-%08x", s.config.Number) }

// Zone returns the zone of the backend server.
func (s *Server) Zone() string { return s.config.Zone }

// Address returns the address that receives packets.
func (s *Server) Address() netip.AddrPort {
	return s.deployment.address(s.deployment.ip(s.config.Host), offsetServer+s.config.Port)
}

// Crash ends the backend server without a word.
func (s *Server) Crash() {
	s.cancel()
	_ = s.conn.Close() // The socket was open.
	s.done.Wait()
}

// Arrivals returns the opening packets that came in, without retransmissions.
func (s *Server) Arrivals() []Arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Drain announces that the backend server drains, and returns the time of the
// acknowledgement and the control instance that gave it.
func (s *Server) Drain() (time.Time, string, error) {
	s.mutex.Lock()
	s.state = "draining"
	s.mutex.Unlock()
	by, err := s.heartbeat()
	return time.Now(), by, err
}

// heartbeat sends one heartbeat, to the address that the last answer named or to the
// control instances in turn, until one acknowledges it.
func (s *Server) heartbeat() (string, error) {
	s.mutex.Lock()
	s.sequence++
	preferred := s.heartbeatAddress
	text, err := json.Marshal(map[string]any{
		"Service":         s.config.Service,
		"Address":         s.Address(),
		"Zone":            s.config.Zone,
		"Version":         "v1",
		"Slots":           2,
		"State":           s.state,
		"ColdRemainingMs": 0,
		"Seq":             s.sequence,
		"born":            s.born.UnixMilli(),
	})
	s.mutex.Unlock()
	if err != nil {
		return "", errors.Wrap(err, "encode heartbeat")
	}
	var addresses []string
	if preferred != "" {
		addresses = append(addresses, preferred)
	}
	controls := s.deployment.Controls
	for i := range controls {
		addresses = append(addresses, s.deployment.address(controls[(s.config.Home+i)%len(controls)].ip, offsetCalls).String())
	}
	for _, address := range addresses {
		next, ok := s.post(address, text)
		s.mutex.Lock()
		s.heartbeatAddress = next
		s.mutex.Unlock()
		if ok {
			return address, nil
		}
	}
	return "", errors.Errorf("no control instance acknowledged a heartbeat of %s", s.ID())
}

func (s *Server) post(address string, text []byte) (next string, ok bool) {
	url := fmt.Sprintf("http://%s/instances/%s/heartbeat", address, s.ID())
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return "", false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var answer struct{ HeartbeatAddress string }
	body, err := io.ReadAll(io.LimitReader(response.Body, 4096))
	if err != nil || response.StatusCode/100 != 2 || json.Unmarshal(body, &answer) != nil {
		return "", false
	}
	return answer.HeartbeatAddress, true
}

func (s *Server) sendHeartbeats() {
	for {
		_, _ = s.heartbeat() // The next one follows after the interval.
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (s *Server) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != s.config.Number {
			continue // For another backend server: it sends nothing.
		}
		if p, err := zfplatform.Decode(buffer[8:n]); err == nil && p.ChecksumValid() {
			s.handle(p)
		}
	}
}

func (s *Server) handle(p zfplatform.Packet) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := flowKey{
		caller: p.Source,
		route:  p.Destination,
	}
	flow := s.flows[key]
	switch {
	case p.Has(zfplatform.FlagReset):
		delete(s.flows, key)
	case p.Has(zfplatform.FlagOpen):
		s.handleOpening(key, flow, p)
	case flow == nil && p.Has(zfplatform.FlagClose):
		s.send(p, zfplatform.Packet{
			Flags:        zfplatform.FlagAcknowledge,
			Sequence:     p.Acknowledged,
			Acknowledged: p.Sequence + 1,
		})
	case flow == nil:
		s.send(p, zfplatform.Packet{
			Flags:    zfplatform.FlagReset,
			Sequence: p.Acknowledged,
		})
	case p.Has(zfplatform.FlagClose):
		delete(s.flows, key)
		s.send(p, zfplatform.Packet{
			Flags:        zfplatform.FlagClose | zfplatform.FlagAcknowledge,
			Sequence:     flow.sequence,
			Acknowledged: p.Sequence + 1,
		})
	case len(p.Data) > 0:
		flow.opened = true
		s.handleRequest(flow, p)
	default:
		flow.opened = true
	}
}

func (s *Server) handleOpening(key flowKey, flow *serverFlow, p zfplatform.Packet) {
	if flow == nil {
		flow = &serverFlow{
			sequence: rand.Uint32(),
			expected: p.Sequence + 1,
		}
		s.flows[key] = flow
		s.arrivals = append(s.arrivals, Arrival{
			At:     time.Now(),
			Caller: p.Source,
		})
	}
	if flow.opened {
		return
	}
	s.send(p, zfplatform.Packet{
		Flags:        zfplatform.FlagOpen | zfplatform.FlagAcknowledge,
		Sequence:     flow.sequence,
		Acknowledged: flow.expected,
	})
}

// handleRequest runs a request, which is one packet. A retransmission is acknowledged
// while the request runs, and answered again later.
func (s *Server) handleRequest(flow *serverFlow, p zfplatform.Packet) {
	switch {
	case p.Sequence != flow.expected && flow.last != nil:
		s.send(p, *flow.last)
		return
	case p.Sequence != flow.expected || flow.busy:
		s.send(p, zfplatform.Packet{
			Flags:        zfplatform.FlagAcknowledge,
			Sequence:     p.Acknowledged,
			Acknowledged: flow.expected,
		})
		return
	}
	if flow.last == nil {
		flow.sequence++ // The SYN counts as one.
	}
	flow.expected += uint32(len(p.Data))
	flow.busy = true
	id := requestID(p.Data)
	s.deployment.config.Record.Printf("%s runs %s", s.ID(), id)
	time.AfterFunc(s.config.Work, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.ctx.Err() != nil {
			return
		}
		answer := zfplatform.Packet{
			Flags:        zfplatform.FlagAcknowledge,
			Sequence:     flow.sequence,
			Acknowledged: flow.expected,
			Data:         []byte(response(s.ID(), id)),
		}
		flow.sequence += uint32(len(answer.Data))
		flow.busy = false
		flow.last = &answer
		s.send(p, answer)
	})
}

func requestID(data []byte) string {
	for line := range strings.Lines(string(data)) {
		if id, ok := strings.CutPrefix(line, "X-Zinniafront-Request-Id: "); ok {
			return strings.TrimSpace(id)
		}
	}
	return "?"
}

func response(server, id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Zinniafront-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", server, len(id), id)
}

// send sends a packet directly to the caller of p.
func (s *Server) send(p, answer zfplatform.Packet) {
	answer.Source = p.Destination
	answer.Destination = p.Source
	answer.Echo = p.Echo
	to := netip.AddrPortFrom(p.Source.Addr(), s.deployment.basePort+offsetTraffic)
	_, _ = s.conn.WriteToUDPAddrPort(answer.WithChecksum().Encode(), to) // A lost packet is retransmitted.
}

// ForeignHeartbeat sends a heartbeat that another writer makes for this backend server's
// id and address, with another service and without some fields.
func (s *Server) ForeignHeartbeat(service string, without ...string) error {
	heartbeat := map[string]any{
		"Service":         service,
		"Address":         s.Address(),
		"Zone":            s.config.Zone,
		"Version":         "v1",
		"Slots":           2,
		"State":           "ready",
		"ColdRemainingMs": 0,
		"Seq":             1,
		"born":            time.Now().UnixMilli(),
	}
	for _, field := range without {
		delete(heartbeat, field)
	}
	text, err := json.Marshal(heartbeat)
	if err != nil {
		return errors.Wrap(err, "encode heartbeat")
	}
	address := s.deployment.address(s.deployment.Controls[0].ip, offsetCalls).String()
	_, ok := s.post(address, text)
	s.deployment.config.Record.Printf("another writer sends a heartbeat for %s: %s, accepted: %t", s.ID(), text, ok)
	return nil
}
