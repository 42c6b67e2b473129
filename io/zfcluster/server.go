package zfcluster

import (
	"net"
	"net/netip"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

// ServerConfig holds what a server is built from.
type ServerConfig struct {
	Address netip.AddrPort
	Handler Handler
}

// Server serves the calls of other instances.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	mutex    sync.Mutex
	conns    map[net.Conn]bool
}

// Listen opens the socket.
func Listen(config ServerConfig) (*Server, error) {
	server := rpc.NewServer()
	err := server.RegisterName(serviceName, &rpcService{
		handler: config.Handler,
	})
	if err != nil {
		return nil, errors.Wrap(err, "register rpc methods")
	}
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls of other instances")
	}
	return &Server{
		listener: listener,
		rpc:      server,
		conns:    make(map[net.Conn]bool),
	}, nil
}

// Run serves until the server is closed.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.trackConn(conn, true)
		go func() {
			s.rpc.ServeConn(conn)
			s.trackConn(conn, false)
		}()
	}
}

func (s *Server) trackConn(conn net.Conn, open bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if open {
		s.conns[conn] = true
		return
	}
	delete(s.conns, conn)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return errors.Wrap(err, "close listener for other instances")
}

// rpcService holds the methods that net/rpc exports.
type rpcService struct {
	handler Handler
}

// Deliver passes replication messages to the handler.
func (s *rpcService) Deliver(args DeliverArgs, _ *Empty) error {
	s.handler.Deliver(args.Messages)
	return nil
}

// Ask carries out an operation as the leader.
func (s *rpcService) Ask(args AskArgs, reply *AskReply) (err error) {
	*reply, err = s.handler.Ask(args)
	return err
}

// Offer passes the address of a control instance that has started to the handler.
func (s *rpcService) Offer(args OfferArgs, _ *Empty) error {
	s.handler.Offer(args.Address)
	return nil
}

// Fetch returns changes, and waits for some if there are none.
func (s *rpcService) Fetch(args FetchArgs, reply *FetchReply) (err error) {
	*reply, err = s.handler.Fetch(args)
	return err
}
