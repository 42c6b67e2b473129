package zfplatform

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ServerConfig configures a backend server.
type ServerConfig struct {
	Number  uint64
	Service string
	Centre  string
	// Address receives packets; CallerPort is the port that receives those of callers.
	Address    netip.AddrPort
	CallerPort uint16
	// Controls are the control instances that receive heartbeats.
	Controls []netip.AddrPort
	Interval time.Duration
}

// Server is one incarnation of a backend server.
type Server struct {
	config ServerConfig
	born   int64
	conn   *net.UDPConn
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	state    atomic.Pointer[string]
	sequence atomic.Uint64
	ended    atomic.Bool
	// Openings counts opening packets, Misrouted counts packets for another backend
	// server, Invalid counts malformed packets and those with an invalid checksum.
	Openings  atomic.Int64
	Misrouted atomic.Int64
	Invalid   atomic.Int64
	mutex     sync.Mutex
	flows     map[flowKey]*serverFlow
	// preferredControl is the control instance that the last answer named; it is
	// called first.
	preferredControl atomic.Pointer[netip.AddrPort]
}

type flowKey struct{ caller, route netip.AddrPort }

type serverFlow struct {
	sequence uint32
	open     bool
}

const callTimeout = time.Second

// StartServer opens the socket of a backend server and starts its heartbeats.
func StartServer(config ServerConfig) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "open UDP socket of backend server")
	}
	s := &Server{
		config: config,
		born:   time.Now().UnixMilli(),
		conn:   conn,
		client: &http.Client{
			Timeout: callTimeout,
		},
		flows: make(map[flowKey]*serverFlow),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.setState("ready")
	s.done.Go(s.receivePackets)
	s.done.Go(s.sendHeartbeats)
	return s, nil
}

// ID returns the backend server's name.
func (s *Server) ID() string { return fmt.Sprintf("i-%08x", s.config.Number) }

// Number returns the number that identifies the backend server in datagrams.
func (s *Server) Number() uint64 { return s.config.Number }

// Service returns the service of the backend server.
func (s *Server) Service() string { return s.config.Service }

// Centre returns the data centre of the backend server.
func (s *Server) Centre() string { return s.config.Centre }

// Ended reports whether this incarnation has ended.
func (s *Server) Ended() bool { return s.ended.Load() }

func (s *Server) setState(state string) { s.state.Store(&state) }

// Drain announces that the backend server is draining, and reports whether a
// control instance acknowledged it.
func (s *Server) Drain() bool {
	s.setState("draining")
	return s.callAnyControl("heartbeat", s.heartbeat())
}

// Leave announces that the backend server ends, and ends it.
func (s *Server) Leave() {
	s.callAnyControl("leave", map[string]any{
		"born": s.born,
	})
	s.Crash()
}

// Crash ends the backend server without an announcement.
func (s *Server) Crash() {
	s.ended.Store(true)
	s.cancel()
	_ = s.conn.Close() // The socket was open; an error has no consequence.
	s.done.Wait()
}

func (s *Server) heartbeat() map[string]any {
	return map[string]any{
		"Service":         s.config.Service,
		"Address":         s.config.Address,
		"Zone":            s.config.Centre,
		"Version":         "v1",
		"Slots":           2,
		"State":           *s.state.Load(),
		"ColdRemainingMs": 0,
		"Seq":             s.sequence.Add(1),
		"born":            s.born,
	}
}

// callAnyControl sends a call to the preferred control instance, then to all in
// random order, until one answers.
func (s *Server) callAnyControl(path string, body map[string]any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	controls := make([]netip.AddrPort, 0, len(s.config.Controls)+1)
	if preferred := s.preferredControl.Swap(nil); preferred != nil {
		controls = append(controls, *preferred)
	}
	for _, i := range rand.Perm(len(s.config.Controls)) {
		controls = append(controls, s.config.Controls[i])
	}
	for _, control := range controls {
		if s.callControl(control, path, text) {
			return true
		}
	}
	return false
}

// callControl sends a call to one control instance. The answer may name another
// one for the next call.
func (s *Server) callControl(control netip.AddrPort, path string, text []byte) bool {
	url := fmt.Sprintf("http://%s/instances/%s/%s", control, s.ID(), path)
	response, err := s.client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var answer struct {
		HeartbeatAddress netip.AddrPort
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return false
	}
	if answer.HeartbeatAddress.IsValid() {
		s.preferredControl.Store(&answer.HeartbeatAddress)
	}
	return true
}

func (s *Server) sendHeartbeats() {
	for {
		s.callAnyControl("heartbeat", s.heartbeat())
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(s.config.Interval):
		}
	}
}

func (s *Server) receivePackets() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			s.Invalid.Add(1)
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != s.config.Number {
			s.Misrouted.Add(1)
			continue
		}
		packet, err := Decode(buffer[8:n])
		if err != nil || !packet.ChecksumValid() {
			s.Invalid.Add(1)
			continue
		}
		s.handlePacket(packet)
	}
}

func (s *Server) handlePacket(p Packet) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := flowKey{
		caller: p.Source,
		route:  p.Destination,
	}
	flow := s.flows[key]
	switch {
	case p.Has(FlagReset):
		delete(s.flows, key)
	case p.Has(FlagOpen):
		s.Openings.Add(1)
		if flow == nil {
			flow = &serverFlow{
				sequence: rand.Uint32(),
			}
			s.flows[key] = flow
		}
		s.answer(p, Packet{
			Flags:        FlagOpen | FlagAcknowledge,
			Sequence:     flow.sequence,
			Acknowledged: p.Sequence + 1,
		})
	case flow == nil:
		s.answer(p, Packet{
			Flags:    FlagReset,
			Sequence: p.Acknowledged,
		})
	case p.Has(FlagClose):
		delete(s.flows, key)
	case len(p.Data) > 0:
		flow.open = true
		s.answer(p, Packet{
			Flags:        FlagAcknowledge,
			Sequence:     p.Acknowledged,
			Acknowledged: p.Sequence + uint32(len(p.Data)),
			Data:         []byte(s.ID() + " " + s.config.Service + " " + string(p.Data)),
		})
	default:
		flow.open = true
	}
}

// answer sends a packet directly to the caller, not through an entry instance.
func (s *Server) answer(p, answer Packet) {
	answer.Source = p.Destination
	answer.Destination = p.Source
	answer.Echo = p.Echo
	to := netip.AddrPortFrom(p.Source.Addr(), s.config.CallerPort)
	// Errors are ignored: the caller repeats an unanswered packet.
	_, _ = s.conn.WriteToUDPAddrPort(answer.WithChecksum().Encode(), to)
}
