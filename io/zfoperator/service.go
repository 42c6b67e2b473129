package zfoperator

import (
	"encoding/json"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfcontrol"
	"zinniafront/io/zfdocument"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfkey"
)

// serviceName is the name that methods are registered under.
const serviceName = "Control"

// mostWait bounds how long a fetch is held back.
const mostWait = 30 * time.Second

// The errors of the package.
var (
	ErrNotSaved = errors.New("nothing was accepted: the control state could not be saved")
	ErrStopped  = errors.New("nothing was accepted: the control instance has stopped")
)

// ServerConfig holds what a server is built from.
type ServerConfig struct {
	Address  netip.AddrPort
	Store    zf.Store
	Verifier zf.Verifier
	Clock    zf.Clock
	Logger   *zfevent.Logger
}

// Server answers operators and entry instances. One goroutine owns the control
// state; the goroutines of connections hand it their calls.
type Server struct {
	config    ServerConfig
	machine   *zfcontrol.StateMachine
	listener  net.Listener
	calls     chan func()
	done      chan struct{}
	closing   sync.Once
	waiting   []waiter
	instances map[zf.InstanceName]report
	mutex     sync.Mutex
	conns     map[net.Conn]bool
}

type report struct {
	args FetchArgs
	at   time.Time
}

// waiter is a fetch that waits for news.
type waiter struct {
	after uint64
	reply chan<- FetchReply
}

// Listen loads the control state and opens the socket.
func Listen(config ServerConfig) (*Server, error) {
	machine, err := load(config)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	return &Server{
		config:    config,
		machine:   machine,
		listener:  listener,
		calls:     make(chan func()),
		done:      make(chan struct{}),
		instances: make(map[zf.InstanceName]report),
		conns:     make(map[net.Conn]bool),
	}, nil
}

func load(config ServerConfig) (*zfcontrol.StateMachine, error) {
	text, err := config.Store.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load control state")
	}
	var state zfcontrol.State
	if text != nil {
		if err := json.Unmarshal(text, &state); err != nil {
			return nil, errors.Wrap(err, "decode control state")
		}
	}
	config.Logger.Entry(zfevent.StateLoaded).Uint64("sequence", state.Sequence).Uint64("version", state.InForce).Msg("")
	return newMachine(config, state)
}

func newMachine(config ServerConfig, state zfcontrol.State) (*zfcontrol.StateMachine, error) {
	return zfcontrol.NewStateMachine(zfcontrol.Config{
		State: state,
		Decode: func(signed []byte) (*zfbundle.Bundle, error) {
			bundle, _, err := open(config.Verifier, signed)
			return bundle, err
		},
		MaxBundles: zfcontrol.DefaultMaxBundles,
	})
}

// open verifies and reads a signed bundle.
func open(verifier zf.Verifier, signed []byte) (*zfbundle.Bundle, string, error) {
	document, err := verifier.Verify(signed)
	if err != nil {
		return nil, "", err
	}
	bundle, err := zfdocument.ParseBundle(document)
	return bundle, zfkey.Digest(document), err
}

// Run serves until the server is closed.
func (s *Server) Run() {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &control{
		server: s,
	}); err != nil {
		panic(err) // The methods are fixed; a wrong one is an error of this package.
	}
	go s.accept(server)
	for {
		select {
		case call := <-s.calls:
			call()
		case <-s.done:
			return
		}
	}
}

func (s *Server) accept(server *rpc.Server) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.conns[conn] = true
		s.mutex.Unlock()
		go func() {
			server.ServeConn(conn)
			s.mutex.Lock()
			delete(s.conns, conn)
			s.mutex.Unlock()
		}()
	}
}

// Close ends the server and its connections.
func (s *Server) Close() error {
	s.closing.Do(func() { close(s.done) })
	err := s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return errors.Wrap(err, "close operators")
}

// do runs a call on the goroutine that owns the control state.
func (s *Server) do(call func()) error {
	finished := make(chan struct{})
	select {
	case s.calls <- func() {
		call()
		close(finished)
	}:
		<-finished
		return nil
	case <-s.done:
		return ErrStopped
	}
}

// apply carries out a command; the answer leaves after the state is synced.
func (s *Server) apply(name string, command zfcontrol.Command) (zfcontrol.Outcome, error) {
	var outcome zfcontrol.Outcome
	var saveErr error
	err := s.do(func() {
		before := s.machine.State()
		outcome = s.machine.Apply(command)
		if outcome.Status != zfcontrol.StatusDone {
			s.logOutcome(zfevent.CommandRefused, name, outcome)
			return
		}
		if saveErr = s.save(); saveErr != nil {
			s.restore(before)
			return
		}
		s.logOutcome(zfevent.CommandDone, name, outcome)
		s.wake()
	})
	if err != nil {
		return outcome, err
	}
	return outcome, saveErr
}

func (s *Server) logOutcome(event zfevent.Event, name string, outcome zfcontrol.Outcome) {
	s.config.Logger.Entry(event).Str("command", name).Str("status", outcome.Status.String()).
		Uint64("sequence", outcome.Sequence).Uint64("version", outcome.Version).Msg("")
}

func (s *Server) save() error {
	text, err := json.Marshal(s.machine.State())
	if err == nil {
		err = s.config.Store.Save(text)
	}
	if err != nil {
		s.config.Logger.Entry(zfevent.StateSaveFailed).Err(err).Msg("")
		return errors.Wrap(ErrNotSaved, err.Error())
	}
	return nil
}

// restore goes back to the state before a command that was not saved.
func (s *Server) restore(state zfcontrol.State) {
	machine, err := newMachine(s.config, state)
	if err == nil {
		s.machine = machine
	}
}

// published returns the control state that entry instances serve.
func (s *Server) published() FetchReply {
	state := s.machine.State()
	reply := FetchReply{
		Sequence: state.Sequence,
	}
	for _, accepted := range state.Bundles {
		if accepted.Version == state.InForce {
			reply.Signed = accepted.Signed
		}
	}
	for _, out := range state.Out {
		reply.Out = append(reply.Out, out.Centre)
	}
	return reply
}

func (s *Server) wake() {
	reply := s.published()
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		if reply.Sequence <= w.after {
			return false
		}
		w.reply <- reply
		return true
	})
}

// fetch answers with a later state, or with the present one after the wait.
func (s *Server) fetch(args FetchArgs) (FetchReply, error) {
	news := make(chan FetchReply, 1)
	var now FetchReply
	err := s.do(func() {
		s.instances[args.Instance] = report{
			args: args,
			at:   s.config.Clock.Now(),
		}
		now = s.published()
		if now.Sequence <= args.Sequence {
			s.waiting = append(s.waiting, waiter{
				after: args.Sequence,
				reply: news,
			})
		}
	})
	if err != nil || now.Sequence > args.Sequence {
		return now, err
	}
	timeout, release := s.config.Clock.After(min(max(args.Wait, 0), mostWait))
	defer release()
	select {
	case reply := <-news:
		return reply, nil
	case <-timeout:
		err := s.do(func() { s.forget(news) })
		return now, err
	case <-s.done:
		return now, ErrStopped
	}
}

func (s *Server) forget(news chan FetchReply) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.reply == news })
}

func (s *Server) status() (Status, error) {
	var status Status
	err := s.do(func() {
		status.State = s.machine.State()
		now := s.config.Clock.Now()
		for name, report := range s.instances {
			status.Instances = append(status.Instances, Progress{
				Instance: name,
				Centre:   report.args.Centre,
				Sequence: report.args.Sequence,
				Ready:    report.args.Ready,
				Silent:   now.Sub(report.at),
			})
		}
	})
	slices.SortFunc(status.Instances, func(a, b Progress) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return status, err
}

// control holds the methods that net/rpc offers.
type control struct {
	server *Server
}

// Accept accepts a signed bundle.
func (c *control) Accept(args AcceptArgs, reply *Reply) error {
	bundle, digest, err := open(c.server.config.Verifier, args.Signed)
	if err != nil {
		return errors.Wrap(err, "nothing was accepted")
	}
	reply.Outcome, err = c.server.apply("accept", zfcontrol.AcceptCommand{
		Signed: args.Signed,
		Digest: digest,
		Bundle: bundle,
	})
	return err
}

// Roll puts an accepted bundle in force.
func (c *control) Roll(args RollArgs, reply *Reply) (err error) {
	reply.Outcome, err = c.server.apply("roll", zfcontrol.RollCommand(args))
	return err
}

// Centre takes a data centre out or brings it back.
func (c *control) Centre(args CentreArgs, reply *Reply) (err error) {
	reply.Outcome, err = c.server.apply("centre", zfcontrol.CentreCommand(args))
	return err
}

// Status returns the control state.
func (c *control) Status(_ StatusArgs, reply *Status) (err error) {
	*reply, err = c.server.status()
	return err
}

// Fetch returns the control state in force.
func (c *control) Fetch(args FetchArgs, reply *FetchReply) (err error) {
	*reply, err = c.server.fetch(args)
	return err
}
