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

// serviceName is the net/rpc service name.
const serviceName = "Control"

// maxWait bounds how long a fetch is held back.
const maxWait = 30 * time.Second

// The errors of the server, which net/rpc returns to operators.
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

// Server serves operators and entry instances. One goroutine owns the control state;
// the goroutines of connections pass their calls to it.
type Server struct {
	config ServerConfig
	// stateMachine, pending and instances belong to the goroutine of Run.
	stateMachine *zfcontrol.StateMachine
	listener     net.Listener
	calls        chan func()
	done         chan struct{}
	closeOnce    sync.Once
	pending      []pendingFetch
	instances    map[zf.InstanceName]instanceReport
	// mutex guards conns.
	mutex sync.Mutex
	conns map[net.Conn]bool
}

type instanceReport struct {
	args       FetchArgs
	receivedAt time.Time
}

// pendingFetch is a fetch that waits for a control state later than sequence.
type pendingFetch struct {
	sequence uint64
	reply    chan<- FetchReply
}

// Listen loads the control state and opens the socket.
func Listen(config ServerConfig) (*Server, error) {
	stateMachine, err := loadStateMachine(config)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls of operators")
	}
	return &Server{
		config:       config,
		stateMachine: stateMachine,
		listener:     listener,
		calls:        make(chan func()),
		done:         make(chan struct{}),
		instances:    make(map[zf.InstanceName]instanceReport),
		conns:        make(map[net.Conn]bool),
	}, nil
}

func loadStateMachine(config ServerConfig) (*zfcontrol.StateMachine, error) {
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
	return newStateMachine(config, state)
}

func newStateMachine(config ServerConfig, state zfcontrol.State) (*zfcontrol.StateMachine, error) {
	return zfcontrol.NewStateMachine(zfcontrol.Config{
		State: state,
		Decode: func(signed []byte) (*zfbundle.Bundle, error) {
			bundle, _, err := openBundle(config.Verifier, signed)
			return bundle, err
		},
		MaxBundles: zfcontrol.DefaultMaxBundles,
	})
}

// openBundle verifies and parses a signed bundle. It returns the bundle and the digest
// of its document.
func openBundle(verifier zf.Verifier, signed []byte) (*zfbundle.Bundle, string, error) {
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
	if err := server.RegisterName(serviceName, &rpcService{
		server: s,
	}); err != nil {
		panic(err) // The methods are fixed, so a failure is a bug of this package.
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

// Close stops the server and closes all connections.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.done) })
	err := s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return errors.Wrap(err, "close listener for operators")
}

// do runs a call on the goroutine that owns the control state and waits for it.
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

// apply carries out a command and returns its outcome after a changed state is synced to
// disk. A command whose state can't be saved is undone.
func (s *Server) apply(name string, command zfcontrol.Command) (zfcontrol.Outcome, error) {
	var outcome zfcontrol.Outcome
	var saveErr error
	err := s.do(func() {
		before := s.stateMachine.State()
		outcome = s.stateMachine.Apply(command)
		if s.stateMachine.State().Sequence == before.Sequence {
			s.logOutcome(name, command, outcome)
			return
		}
		if saveErr = s.saveState(); saveErr != nil {
			s.restoreState(before)
			return
		}
		s.logOutcome(name, command, outcome)
		s.answerFetches()
	})
	if err != nil {
		return outcome, err
	}
	return outcome, saveErr
}

func (s *Server) logOutcome(name string, command zfcontrol.Command, outcome zfcontrol.Outcome) {
	entry := s.config.Logger.Entry(zfevent.OfCommand(outcome.Status))
	if centre, ok := command.(zfcontrol.CentreCommand); ok {
		entry = entry.Str("centre", string(centre.Centre)).Bool("out", centre.Out).Uint64("asof", centre.AsOf)
	}
	entry.Str("command", name).Str("status", outcome.Status.String()).
		Uint64("sequence", outcome.Sequence).Uint64("version", outcome.Version).Msg("")
}

func (s *Server) saveState() error {
	text, err := json.Marshal(s.stateMachine.State())
	if err == nil {
		err = s.config.Store.Save(text)
	}
	if err != nil {
		s.config.Logger.Entry(zfevent.StateSaveFailed).Err(err).Msg("")
		return errors.Wrap(ErrNotSaved, err.Error())
	}
	return nil
}

// restoreState restores the state before a command that was not saved.
func (s *Server) restoreState(state zfcontrol.State) {
	stateMachine, err := newStateMachine(s.config, state)
	if err == nil {
		s.stateMachine = stateMachine
	}
}

// published returns the control state as it is sent to entry instances.
func (s *Server) published() FetchReply {
	state := s.stateMachine.State()
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

func (s *Server) answerFetches() {
	reply := s.published()
	s.pending = slices.DeleteFunc(s.pending, func(p pendingFetch) bool {
		if reply.Sequence <= p.sequence {
			return false
		}
		p.reply <- reply
		return true
	})
}

// fetch records the report of an entry instance and returns a later state, or the
// present one if there is none before the wait ends.
func (s *Server) fetch(args FetchArgs) (FetchReply, error) {
	later := make(chan FetchReply, 1)
	var current FetchReply
	err := s.do(func() {
		s.instances[args.Instance] = instanceReport{
			args:       args,
			receivedAt: s.config.Clock.Now(),
		}
		current = s.published()
		if current.Sequence <= args.Sequence {
			s.pending = append(s.pending, pendingFetch{
				sequence: args.Sequence,
				reply:    later,
			})
		}
	})
	if err != nil || current.Sequence > args.Sequence {
		return current, err
	}
	timeout, release := s.config.Clock.After(min(max(args.Wait, 0), maxWait))
	defer release()
	select {
	case reply := <-later:
		return reply, nil
	case <-timeout:
		err := s.do(func() { s.cancelFetch(later) })
		return current, err
	case <-s.done:
		return current, ErrStopped
	}
}

func (s *Server) cancelFetch(later chan FetchReply) {
	s.pending = slices.DeleteFunc(s.pending, func(p pendingFetch) bool { return p.reply == later })
}

func (s *Server) status() (Status, error) {
	var status Status
	err := s.do(func() {
		status.State = s.stateMachine.State()
		now := s.config.Clock.Now()
		for name, r := range s.instances {
			status.Instances = append(status.Instances, Progress{
				Instance: name,
				Centre:   r.args.Centre,
				Sequence: r.args.Sequence,
				Ready:    r.args.Ready,
				Silent:   now.Sub(r.receivedAt),
			})
		}
	})
	slices.SortFunc(status.Instances, func(a, b Progress) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return status, err
}

// rpcService holds the methods that net/rpc exports.
type rpcService struct {
	server *Server
}

// Accept accepts a signed bundle.
func (s *rpcService) Accept(args AcceptArgs, reply *Reply) error {
	bundle, digest, err := openBundle(s.server.config.Verifier, args.Signed)
	if err != nil {
		return errors.Wrap(err, "nothing was accepted")
	}
	reply.Outcome, err = s.server.apply("accept", zfcontrol.AcceptCommand{
		Signed: args.Signed,
		Digest: digest,
		Bundle: bundle,
	})
	return err
}

// Roll puts an accepted bundle in force.
func (s *rpcService) Roll(args RollArgs, reply *Reply) (err error) {
	reply.Outcome, err = s.server.apply("roll", zfcontrol.RollCommand(args))
	return err
}

// Centre takes a data centre out or brings it back.
func (s *rpcService) Centre(args CentreArgs, reply *Reply) (err error) {
	reply.Outcome, err = s.server.apply("centre", zfcontrol.CentreCommand(args))
	return err
}

// Status returns the control state and the progress of entry instances.
func (s *rpcService) Status(_ StatusArgs, reply *Status) (err error) {
	*reply, err = s.server.status()
	return err
}

// Fetch returns the control state in force, and waits for a later one.
func (s *rpcService) Fetch(args FetchArgs, reply *FetchReply) (err error) {
	*reply, err = s.server.fetch(args)
	return err
}
