// Package zfadmin serves health, readiness, metrics and state over HTTP.
package zfadmin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const httpTimeout = 5 * time.Second

// Config holds what a server is built from.
type Config struct {
	Address  netip.AddrPort
	Registry metrics.Registry
	// Ready reports whether the process may get traffic.
	Ready func() bool
	// State returns the state of the process, which is encoded as JSON.
	State func(ctx context.Context) (any, error)
}

// Server serves the endpoints of the admin address.
type Server struct {
	config   Config
	listener net.Listener
	server   *http.Server
}

// Listen opens the socket.
func Listen(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen on admin address")
	}
	s := &Server{
		config:   config,
		listener: listener,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /state", s.state)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: httpTimeout,
		ReadTimeout:       httpTimeout,
		WriteTimeout:      httpTimeout,
	}
	return s, nil
}

// Run serves until the server is closed.
func (s *Server) Run() {
	// Serve always returns an error; after Close it is http.ErrServerClosed.
	_ = s.server.Serve(s.listener)
}

// Close ends the server.
func (s *Server) Close() error { return errors.Wrap(s.server.Close(), "close admin server") }

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.config.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.config.Registry, w)
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	state, err := s.config.State(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The connection may be closed; there is no one else to report the error to.
	_ = json.NewEncoder(w).Encode(state)
}
