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

// Server takes the calls of other instances.
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
		return nil, errors.Wrap(err, "register methods")
	}
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for other instances")
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

// Close ends the server and its connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return errors.Wrap(err, "close server of instances")
}

// rpcService are what net/rpc offers.
type rpcService struct {
	handler Handler
}

// Deliver takes messages of the replication.
func (m *rpcService) Deliver(args DeliverArgs, _ *Empty) error {
	m.handler.Deliver(args.Messages)
	return nil
}

// Ask carries out a command or a read.
func (m *rpcService) Ask(args AskArgs, reply *AskReply) (err error) {
	*reply, err = m.handler.Ask(args)
	return err
}

// Offer takes the address of a control instance.
func (m *rpcService) Offer(args OfferArgs, _ *Empty) error {
	m.handler.Offer(args.Address)
	return nil
}

// Fetch returns news.
func (m *rpcService) Fetch(args FetchArgs, reply *FetchReply) (err error) {
	*reply, err = m.handler.Fetch(args)
	return err
}
