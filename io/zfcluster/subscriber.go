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
	"zinniafront/io/zfevent"
)

const (
	// fetchHold is how long a control instance holds a fetch back; a connection
	// that has gone silent is noticed after this time and fetchMargin.
	fetchHold   = 500 * time.Millisecond
	fetchMargin = 500 * time.Millisecond
	// firstPageMargin is how long a page of backend servers may take at the start of a
	// session: its way takes a seventh of a second on the slowest links, and after an
	// outage all others ask too.
	firstPageMargin = time.Second
	// staleContactAge is how old the last contact of a control instance with a
	// majority may be before another one is looked for.
	staleContactAge = 1200 * time.Millisecond
	// staleHold is how long one that is out of touch is given.
	staleHold = 250 * time.Millisecond
	// minRetryPause and retryMost bound the pause after all known instances were
	// tried. It begins short, as a process starts within some 50 ms, and doubles.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// ownCentreInterval is the time between two attempts to get back to a control
	// instance of the own data centre, as bytes between data centres are dear.
	ownCentreInterval = 5 * time.Second
)

// SubscriberConfig holds what a follower is built from.
type SubscriberConfig struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	// Address is where this instance answers fetches.
	Address netip.AddrPort
	// Seeds are addresses at which control instances may be.
	Seeds  []netip.AddrPort
	Clock  zf.Clock
	Logger *zfevent.Logger
	// FetchTime gets how long each fetch took.
	FetchTime metrics.Timer
	// FetchState returns what a fetch tells, the first one of a session if first is set.
	FetchState func(first bool) FetchState
	// ApplyReply takes news. It returns the backend servers that the sender lacks.
	ApplyReply func(reply FetchReply) []zfregistry.Update
}

// FetchState is what an instance tells with a fetch.
type FetchState struct {
	// Index is that of the control state in force.
	Index uint64
	// Digests are those of the backend servers, for the first fetch of a session.
	Digests []uint64
	// Outcomes are what became of requests. They are lost if the fetch fails.
	Outcomes []zf.Outcome
	// Loads are the requests to backend servers since they were last told, or nil.
	Loads []zf.ServerLoad
	// Ready tells that this instance takes traffic, Stopping that it waits for its turn
	// to stop.
	Ready    bool
	Stopping bool
}

// Subscriber has one control instance tell the news, and turns to another when
// that one doesn't answer or has lost touch with the others. Where it reaches
// none, it turns to other entry instances.
type Subscriber struct {
	config SubscriberConfig
	seeds  chan []netip.AddrPort
	// offers holds the address of a control instance that has started, to be tried
	// next unless there is a session.
	offers   chan netip.AddrPort
	controls []zfquorum.Node
	// peers are other entry instances.
	peers  []netip.AddrPort
	client *Client
	source uint64
	cursor uint64
	next   int
	// retryPause is the retryPause after the next round without success.
	retryPause  time.Duration
	unreachable bool
	// rowsToSend are the backend servers that the other instance lacks.
	rowsToSend []zfregistry.Update
	// more tells that there are more changes than those of the last answer, bucket
	// where they begin at the start of a session.
	more   bool
	bucket int
	// receivedIndex is the index of the control state that was receivedIndex last. One that can't
	// be read here is not asked for again.
	receivedIndex uint64
	// stale tells that the control instance was out of touch at its last answer,
	// peer that client is of an entry instance, which is not waited for.
	stale        bool
	clientIsPeer bool
	// lastOwnCentreTry is when a control instance of the own data centre was last lastOwnCentreTry
	// for.
	lastOwnCentreTry time.Time
}

// NewSubscriber returns a follower that has not started.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	return &Subscriber{
		config:     config,
		seeds:      make(chan []netip.AddrPort, 1),
		offers:     make(chan netip.AddrPort, 1),
		retryPause: minRetryPause,
	}
}

// SetSeeds replaces the addresses at which control instances may be.
func (s *Subscriber) SetSeeds(seeds []netip.AddrPort) {
	select {
	case <-s.seeds:
	default:
	}
	s.seeds <- seeds
}

// Offer tells of a control instance that has started.
func (s *Subscriber) Offer(address netip.AddrPort) {
	select {
	case s.offers <- address:
	default: // Another one was offered, and not tried yet.
	}
}

// Run follows until ctx ends.
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

// selectInstance chooses the next control instance, and after them other entry instances,
// which may reach one that this one doesn't. After a round it pauses.
func (s *Subscriber) selectInstance(ctx context.Context) bool {
	select {
	case offered := <-s.offers:
		s.startSession(offered, false)
		return true
	default:
	}
	controls := s.candidates()
	candidates := slices.Concat(controls, s.peers)
	if s.next >= len(candidates) {
		s.next = 0
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
	s.startSession(candidates[s.next], s.next >= len(controls))
	s.next++
	return true
}

// startSession prepares a session with another instance.
func (s *Subscriber) startSession(address netip.AddrPort, peer bool) {
	s.client = NewClient(address, s.config.Clock)
	s.source = 0
	s.cursor = 0
	s.rowsToSend = nil
	s.more = false
	s.bucket = 0
	s.receivedIndex = 0
	s.stale = false
	s.clientIsPeer = peer
}

// candidates returns the control instances to try: those of the own data centre
// first, each follower beginning with another one.
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

// fetch asks for news once and hands it on.
func (s *Subscriber) fetch() {
	state := s.config.FetchState(s.source == 0)
	hold, margin := fetchHold, fetchMargin
	switch {
	case s.source == 0:
		hold, margin = 0, firstPageMargin
	case s.stale:
		hold = staleHold
	}
	start := s.config.Clock.Now()
	reply, err := s.client.Fetch(FetchArgs{
		Instance: s.config.Instance,
		Centre:   s.config.Centre,
		Address:  s.config.Address,
		Source:   s.source,
		Cursor:   s.cursor,
		Index:    max(state.Index, s.receivedIndex),
		More:     s.more,
		Digests:  state.Digests,
		Bucket:   s.bucket,
		Outcomes: state.Outcomes,
		Loads:    state.Loads,
		Rows:     s.rowsToSend,
		Ready:    state.Ready,
		Stopping: state.Stopping,
		Hold:     hold,
	}, hold+margin)
	s.config.FetchTime.Update(s.config.Clock.Now().Sub(start))
	if err != nil {
		s.logReachability(true, err)
		s.disconnect()
		return
	}
	first := s.source == 0
	s.more = reply.Changes.More
	s.bucket = reply.Changes.Next
	if !first || !s.more { // The session begins with the last page.
		s.source = reply.Source
		s.cursor = reply.Changes.Cursor
	}
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
		s.stale = true // It may be about to get in touch, as after a power loss.
	case reply.Contact >= staleContactAge:
		s.logReachability(true, ErrUnreachable)
		s.disconnect()
	case s.shouldReturnToOwnCentre(reply):
		s.next = 0
		s.disconnect()
	case first:
		s.logReachability(false, nil)
		s.next = 0
		s.retryPause = minRetryPause
		select {
		case <-s.offers: // It came too late.
		default:
		}
	}
}

// shouldReturnToOwnCentre reports whether it is time to look for a control instance of the own
// data centre, as the present one is elsewhere.
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

// logReachability logs when the control instances are lost and found.
func (s *Subscriber) logReachability(unreachable bool, err error) {
	if unreachable == s.unreachable {
		return
	}
	s.unreachable = unreachable
	if unreachable {
		s.lastOwnCentreTry = s.config.Clock.Now() // The next round begins with the near ones.
		s.config.Logger.Entry(zfevent.ControlUnreachable).Str("address", s.client.Address().String()).Err(err).Msg("")
		return
	}
	s.config.Logger.Entry(zfevent.ControlReachable).Str("address", s.client.Address().String()).Msg("")
}
