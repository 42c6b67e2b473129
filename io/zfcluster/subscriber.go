package zfcluster

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/xxh3"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfevent"
)

const (
	// fetchHold is how long a control instance holds a fetch back; a silent connection
	// is detected after fetchHold and fetchMargin.
	fetchHold   = 500 * time.Millisecond
	fetchMargin = 500 * time.Millisecond
	// firstPageMargin is how long a page of backend servers may take at the start of a
	// session: its transfer takes a seventh of a second on the slowest links, and after
	// an outage all other subscribers fetch at the same time.
	firstPageMargin = time.Second
	// staleContactAge is the age of a control instance's last contact with a majority
	// from which the subscriber looks for another control instance.
	staleContactAge = 1200 * time.Millisecond
	// staleHold is how long a control instance without contact may hold back the next
	// fetch, to regain contact before the subscriber leaves it.
	staleHold = 250 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after all known instances were
	// tried. It begins short, as a process starts within some 50 ms, and doubles.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// ownCentreInterval is the time between two attempts to return to a control
	// instance of the subscriber's own data centre, as traffic between data centres is
	// expensive.
	ownCentreInterval = 5 * time.Second
)

// SubscriberConfig holds what a subscriber is built from.
type SubscriberConfig struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	// Size is this instance's share of a core, or 0 if it is not known.
	Size float64
	// Address is where this instance answers fetches.
	Address netip.AddrPort
	// Seeds are possible addresses of control instances.
	Seeds  []netip.AddrPort
	Clock  zf.Clock
	Logger *zfevent.Logger
	// FetchTime records the duration of each fetch.
	FetchTime metrics.Timer
	// Link counts the bytes of fetches; its counters may be nil.
	Link zfcounter.ByteCounters
	// FetchState returns the state to report with a fetch. withDigests is set until the
	// other instance's whole table has been received once, which may take several
	// pages.
	FetchState func(withDigests bool) FetchState
	// ApplyReply applies a reply. It returns the backend servers that the replying
	// instance lacks.
	ApplyReply func(reply FetchReply) []zfregistry.Update
}

// FetchState is the state that an instance reports with a fetch.
type FetchState struct {
	// Index is that of the control state in force.
	Index uint64
	// Digests are those of the table of backend servers, if FetchState was called with
	// withDigests.
	Digests []uint64
	// Outcomes are the outcomes of requests. They are lost if the fetch fails.
	Outcomes []zf.Outcome
	// Loads are the requests to backend servers since the last report, or nil.
	Loads []zf.ServerLoad
	// Ready is set if this instance takes traffic, Stopping if it waits for a stop
	// permit.
	Ready    bool
	Stopping bool
	// Able is set if this instance could take traffic.
	Able bool
	// Strain is how far this instance's resources suffice. StepOut is set if it requests a
	// permit to leave the rotation, or its renewal.
	Strain  zf.Strain
	StepOut bool
}

// Subscriber fetches changes from one control instance, and switches to another when
// that one doesn't answer or has lost contact with a majority. If no control
// instance is reachable, it fetches from other entry instances.
type Subscriber struct {
	config SubscriberConfig
	seeds  chan []netip.AddrPort
	// offers holds the address of a control instance that has started, which is tried
	// next if there is no session.
	offers   chan netip.AddrPort
	controls []zfquorum.Node
	// peers are other entry instances.
	peers  []netip.AddrPort
	client *Client
	// progress is that of the session.
	progress Progress
	// nextCandidate is the index of the next instance to try.
	nextCandidate int
	// retryPause is the pause after the next round without success.
	retryPause  time.Duration
	unreachable bool
	// rowsToSend are the backend servers that the other instance lacks.
	rowsToSend []zfregistry.Update
	// receivedIndex is the index of the control state received last. A control state
	// that can't be decoded here is not fetched again.
	receivedIndex uint64
	// stale is set if the control instance had no recent contact with a majority at its
	// last reply; it gets one more fetch. clientIsPeer is set if client calls an entry
	// instance, which gets none.
	stale        bool
	clientIsPeer bool
	// lastOwnCentreTry is the time of the last attempt to reach a control instance of
	// the own data centre.
	lastOwnCentreTry time.Time
}

// NewSubscriber returns a subscriber that has not started.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	return &Subscriber{
		config:     config,
		seeds:      make(chan []netip.AddrPort, 1),
		offers:     make(chan netip.AddrPort, 1),
		retryPause: minRetryPause,
	}
}

// SetSeeds replaces the possible addresses of control instances.
func (s *Subscriber) SetSeeds(seeds []netip.AddrPort) {
	select {
	case <-s.seeds:
	default:
	}
	s.seeds <- seeds
}

// Offer records the address of a control instance that has started, to be tried next.
func (s *Subscriber) Offer(address netip.AddrPort) {
	select {
	case s.offers <- address:
	default: // An earlier offer has not been tried yet.
	}
}

// Run fetches until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	defer s.disconnect()
	for ctx.Err() == nil {
		select {
		case s.config.Seeds = <-s.seeds:
		default:
		}
		if s.client == nil && !s.selectInstance(ctx) {
			continue
		}
		s.fetch()
	}
}

func (s *Subscriber) disconnect() {
	if s.client != nil {
		s.client.Close()
		s.client = nil
	}
}

// selectInstance selects the next instance to fetch from: an offered one, then the
// control instances, then other entry instances, which may reach a control instance
// that this one doesn't. After each round it pauses; it returns false if none was
// selected.
func (s *Subscriber) selectInstance(ctx context.Context) bool {
	select {
	case offered := <-s.offers:
		s.startSession(offered, false)
		return true
	default:
	}
	controls := s.candidates()
	candidates := slices.Concat(controls, s.peers)
	if s.nextCandidate >= len(candidates) {
		s.nextCandidate = 0
		pause, release := s.config.Clock.After(s.retryPause)
		s.retryPause = min(2*s.retryPause, maxRetryPause)
		defer release()
		select {
		case <-ctx.Done():
		case <-pause:
		case offered := <-s.offers:
			s.startSession(offered, false)
			return true
		}
		return false
	}
	s.startSession(candidates[s.nextCandidate], s.nextCandidate >= len(controls))
	s.nextCandidate++
	return true
}

// startSession prepares a session with another instance: the fetches from it until
// disconnect.
func (s *Subscriber) startSession(address netip.AddrPort, peer bool) {
	s.client = NewClient(address, s.config.Clock)
	s.client.link = s.config.Link
	s.progress = Progress{}
	s.rowsToSend = nil
	s.receivedIndex = 0
	s.stale = false
	s.clientIsPeer = peer
}

// candidates returns the control instances to try, those of the own data centre
// first. The order is rotated by a hash of the instance name, so that subscribers
// spread over the control instances.
func (s *Subscriber) candidates() []netip.AddrPort {
	offset := xxh3.HashString(string(s.config.Instance))
	local := make([]netip.AddrPort, 0, len(s.controls))
	remote := make([]netip.AddrPort, 0, len(s.controls)+len(s.config.Seeds))
	for _, node := range s.controls {
		if node.Centre == s.config.Centre {
			local = append(local, node.Address)
		} else {
			remote = append(remote, node.Address)
		}
	}
	for _, seed := range s.config.Seeds {
		if !slices.Contains(local, seed) && !slices.Contains(remote, seed) {
			remote = append(remote, seed)
		}
	}
	return append(rotate(local, offset), rotate(remote, offset)...)
}

func rotate(addresses []netip.AddrPort, offset uint64) []netip.AddrPort {
	if len(addresses) == 0 {
		return nil
	}
	first := int(offset % uint64(len(addresses)))
	return append(slices.Clone(addresses[first:]), addresses[:first]...)
}

// fetch sends one fetch, applies the reply and decides whether the session goes on.
func (s *Subscriber) fetch() {
	starting := s.progress.Starting()
	state := s.config.FetchState(starting)
	hold, margin := fetchHold, fetchMargin
	switch {
	case starting:
		hold, margin = 0, firstPageMargin
	case s.stale:
		hold = staleHold
	}
	args := FetchArgs{
		Instance: s.config.Instance,
		Centre:   s.config.Centre,
		Address:  s.config.Address,
		Index:    max(state.Index, s.receivedIndex),
		Digests:  state.Digests,
		Outcomes: state.Outcomes,
		Loads:    state.Loads,
		Rows:     s.rowsToSend,
		Ready:    state.Ready,
		Stopping: state.Stopping,
		Able:     state.Able,
		Strain:   state.Strain,
		StepOut:  state.StepOut,
		Size:     s.config.Size,
		Hold:     hold,
	}
	s.progress.Request(&args)
	start := s.config.Clock.Now()
	reply, err := s.client.Fetch(args, hold+margin)
	s.config.FetchTime.Update(s.config.Clock.Now().Sub(start))
	if err != nil {
		s.logReachability(true, err)
		s.disconnect()
		return
	}
	s.progress.Record(reply)
	s.receivedIndex = reply.Index
	s.controls = reply.Controls
	if len(reply.Peers) > 0 {
		s.peers = reply.Peers
	}
	s.rowsToSend = s.config.ApplyReply(reply)
	if reply.Contact < staleContactAge {
		s.stale = false
	}
	switch {
	case reply.Contact >= staleContactAge && !s.stale && !s.clientIsPeer:
		s.stale = true // It may be about to gain contact, as after a power loss.
	case reply.Contact >= staleContactAge:
		s.logReachability(true, ErrUnreachable) // It replied, but without recent contact with a majority.
		s.disconnect()
	case s.shouldReturnToOwnCentre(reply):
		s.nextCandidate = 0
		s.disconnect()
	case starting || s.unreachable:
		s.logReachability(false, nil)
		s.nextCandidate = 0
		s.retryPause = minRetryPause
		select {
		case <-s.offers: // Drop an offer that came after the session began.
		default:
		}
	}
}

// shouldReturnToOwnCentre reports whether the present control instance is in another
// data centre and it is time to try those of the own one.
func (s *Subscriber) shouldReturnToOwnCentre(reply FetchReply) bool {
	found := false
	for _, node := range reply.Controls {
		if node.Centre != s.config.Centre {
			continue
		}
		if node.Address == s.client.Address() {
			return false
		}
		found = true
	}
	now := s.config.Clock.Now()
	if !found || now.Sub(s.lastOwnCentreTry) < ownCentreInterval {
		return false
	}
	s.lastOwnCentreTry = now
	return true
}

// logReachability logs the first failure after a success and the first success after a
// failure. A failure is a fetch without a reply, or an instance that is left as it has
// no recent contact with a majority; a success is a reply at the start of a session.
// The instance may also be an entry instance.
func (s *Subscriber) logReachability(unreachable bool, err error) {
	if unreachable == s.unreachable {
		return
	}
	s.unreachable = unreachable
	if unreachable {
		s.lastOwnCentreTry = s.config.Clock.Now() // The next round begins with the own data centre.
		s.config.Logger.Entry(zfevent.ControlUnreachable).Str("address", s.client.Address().String()).Err(err).Msg("")
		return
	}
	s.config.Logger.Entry(zfevent.ControlReachable).Str("address", s.client.Address().String()).Msg("")
}
