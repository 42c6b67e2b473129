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

// ServerConfig holds what a backend server is built from.
type ServerConfig struct {
	Number  uint64
	Service string
	Centre  string
	// Address takes packets, CallerPort is the port at which callers take theirs.
	Address    netip.AddrPort
	CallerPort uint16
	// Controls are where heartbeats go.
	Controls []netip.AddrPort
	Interval time.Duration
}

// Server is one life of a backend server.
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
	// Openings counts opening packets, Misrouted packets for another backend
	// server, Invalid packets that no caller wrote so.
	Openings  atomic.Int64
	Misrouted atomic.Int64
	Invalid   atomic.Int64
	mutex     sync.Mutex
	flows     map[flowKey]*hostFlow
	// home is where heartbeats go first, as the last answer said.
	home atomic.Pointer[netip.AddrPort]
}

type flowKey struct{ caller, route netip.AddrPort }

type hostFlow struct {
	sequence uint32
	open     bool
}

const callTimeout = time.Second

// StartServer starts a backend server.
func StartServer(config ServerConfig) (*Server, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listen as backend server")
	}
	h := &Server{
		config: config,
		born:   time.Now().UnixMilli(),
		conn:   conn,
		client: &http.Client{
			Timeout: callTimeout,
		},
		flows: make(map[flowKey]*hostFlow),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.setState("ready")
	h.done.Go(h.read)
	h.done.Go(h.beat)
	return h, nil
}

// ID returns the backend server's name.
func (h *Server) ID() string { return fmt.Sprintf("i-%08x", h.config.Number) }

// Number returns what datagrams name the backend server by.
func (h *Server) Number() uint64 { return h.config.Number }

// Service returns what the backend server serves.
func (h *Server) Service() string { return h.config.Service }

// Centre returns its data centre.
func (h *Server) Centre() string { return h.config.Centre }

// Ended reports whether this life is over.
func (h *Server) Ended() bool { return h.ended.Load() }

func (h *Server) setState(state string) { h.state.Store(&state) }

// Drain has the backend server tell that it will leave; it returns whether that
// was acknowledged.
func (h *Server) Drain() bool {
	h.setState("draining")
	return h.tell("heartbeat", h.heartbeat())
}

// Leave tells that the backend server ends, and ends.
func (h *Server) Leave() {
	h.tell("leave", map[string]any{
		"born": h.born,
	})
	h.Crash()
}

// Crash ends the backend server without a word.
func (h *Server) Crash() {
	h.ended.Store(true)
	h.cancel()
	_ = h.conn.Close() // It was open; there is nobody to tell otherwise.
	h.done.Wait()
}

func (h *Server) heartbeat() map[string]any {
	return map[string]any{
		"Service":         h.config.Service,
		"Address":         h.config.Address,
		"Zone":            h.config.Centre,
		"Version":         "v1",
		"Slots":           2,
		"State":           *h.state.Load(),
		"ColdRemainingMs": 0,
		"Seq":             h.sequence.Add(1),
		"born":            h.born,
	}
}

// tell sends a call to one control instance after the other until one answers.
func (h *Server) tell(call string, body map[string]any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	controls := make([]netip.AddrPort, 0, len(h.config.Controls)+1)
	if home := h.home.Swap(nil); home != nil {
		controls = append(controls, *home)
	}
	for _, i := range rand.Perm(len(h.config.Controls)) {
		controls = append(controls, h.config.Controls[i])
	}
	for _, control := range controls {
		if h.tellTo(control, call, text) {
			return true
		}
	}
	return false
}

// tellTo sends a call to one control instance. An answer may name another one for
// the next calls.
func (h *Server) tellTo(control netip.AddrPort, call string, text []byte) bool {
	url := fmt.Sprintf("http://%s/instances/%s/%s", control, h.ID(), call)
	response, err := h.client.Post(url, "application/json", bytes.NewReader(text))
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
		h.home.Store(&answer.HeartbeatAddress)
	}
	return true
}

func (h *Server) beat() {
	for {
		h.tell("heartbeat", h.heartbeat())
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(h.config.Interval):
		}
	}
}

func (h *Server) read() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			h.Invalid.Add(1)
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != h.config.Number {
			h.Misrouted.Add(1)
			continue
		}
		packet, err := Decode(buffer[8:n])
		if err != nil || !packet.ChecksumValid() {
			h.Invalid.Add(1)
			continue
		}
		h.take(packet)
	}
}

func (h *Server) take(p Packet) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	key := flowKey{
		caller: p.Source,
		route:  p.Destination,
	}
	flow := h.flows[key]
	switch {
	case p.Has(FlagReset):
		delete(h.flows, key)
	case p.Has(FlagOpen):
		h.Openings.Add(1)
		if flow == nil {
			flow = &hostFlow{
				sequence: rand.Uint32(),
			}
			h.flows[key] = flow
		}
		h.answer(p, Packet{
			Flags:        FlagOpen | FlagAcknowledge,
			Sequence:     flow.sequence,
			Acknowledged: p.Sequence + 1,
		})
	case flow == nil:
		h.answer(p, Packet{
			Flags:    FlagReset,
			Sequence: p.Acknowledged,
		})
	case p.Has(FlagClose):
		delete(h.flows, key)
	case len(p.Data) > 0:
		flow.open = true
		h.answer(p, Packet{
			Flags:        FlagAcknowledge,
			Sequence:     p.Acknowledged,
			Acknowledged: p.Sequence + uint32(len(p.Data)),
			Data:         []byte(h.ID() + " " + h.config.Service + " " + string(p.Data)),
		})
	default:
		flow.open = true
	}
}

// answer sends a packet to a caller directly.
func (h *Server) answer(p, answer Packet) {
	answer.Source = p.Destination
	answer.Destination = p.Source
	answer.Echo = p.Echo
	to := netip.AddrPortFrom(p.Source.Addr(), h.config.CallerPort)
	// What gets lost is asked for again.
	_, _ = h.conn.WriteToUDPAddrPort(answer.WithChecksum().Encode(), to)
}
