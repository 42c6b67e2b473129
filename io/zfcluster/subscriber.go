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
	// pageMargin is how long a page of backend servers may take at the start of a
	// session: its way takes a seventh of a second on the slowest links, and after an
	// outage all others ask too.
	pageMargin = time.Second
	// staleContact is how old the last contact of a control instance with a
	// majority may be before another one is looked for.
	staleContact = 1200 * time.Millisecond
	// staleHold is how long one that is out of touch is given.
	staleHold = 250 * time.Millisecond
	// retryLeast and retryMost bound the pause after all known instances were
	// tried. It begins short, as a process starts within some 50 ms, and doubles.
	retryLeast = 25 * time.Millisecond
	retryMost  = 200 * time.Millisecond
	// nearEvery is the time between two attempts to get back to a control
	// instance of the own data centre, as bytes between data centres are dear.
	nearEvery = 5 * time.Second
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
	// pause is the pause after the next round without success.
	pause time.Duration
	lost  bool
	// owed are the backend servers that the other instance lacks.
	owed []zfregistry.Update
	// more tells that there are more changes than those of the last answer, bucket
	// where they begin at the start of a session.
	more   bool
	bucket int
	// told is the index of the control state that was told last. One that can't
	// be read here is not asked for again.
	told uint64
	// stale tells that the control instance was out of touch at its last answer,
	// peer that client is of an entry instance, which is not waited for.
	stale bool
	peer  bool
	// looked is when a control instance of the own data centre was last looked
	// for.
	looked time.Time
}

// NewSubscriber returns a follower that has not started.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	return &Subscriber{
		config: config,
		seeds:  make(chan []netip.AddrPort, 1),
		offers: make(chan netip.AddrPort, 1),
		pause:  retryLeast,
	}
}

// SetSeeds replaces the addresses at which control instances may be.
func (f *Subscriber) SetSeeds(seeds []netip.AddrPort) {
	select {
	case <-f.seeds:
	default:
	}
	f.seeds <- seeds
}

// Offer tells of a control instance that has started.
func (f *Subscriber) Offer(address netip.AddrPort) {
	select {
	case f.offers <- address:
	default: // Another one was offered, and not tried yet.
	}
}

// Run follows until ctx ends.
func (f *Subscriber) Run(ctx context.Context) {
	defer f.leave()
	for ctx.Err() == nil {
		select {
		case f.config.Seeds = <-f.seeds:
		default:
		}
		if f.client == nil && !f.turn(ctx) {
			continue
		}
		f.fetch()
	}
}

func (f *Subscriber) leave() {
	if f.client != nil {
		f.client.Close()
		f.client = nil
	}
}

// turn chooses the next control instance, and after them other entry instances,
// which may reach one that this one doesn't. After a round it pauses.
func (f *Subscriber) turn(ctx context.Context) bool {
	select {
	case offered := <-f.offers:
		f.begin(offered, false)
		return true
	default:
	}
	controls := f.candidates()
	candidates := slices.Concat(controls, f.peers)
	if f.next >= len(candidates) {
		f.next = 0
		pause, release := f.config.Clock.After(f.pause)
		f.pause = min(2*f.pause, retryMost)
		defer release()
		select {
		case <-ctx.Done():
		case <-pause:
		case offered := <-f.offers:
			f.begin(offered, false)
			return true
		}
		return false
	}
	f.begin(candidates[f.next], f.next >= len(controls))
	f.next++
	return true
}

// begin prepares a session with another instance.
func (f *Subscriber) begin(address netip.AddrPort, peer bool) {
	f.client = NewClient(address, f.config.Clock)
	f.source = 0
	f.cursor = 0
	f.owed = nil
	f.more = false
	f.bucket = 0
	f.told = 0
	f.stale = false
	f.peer = peer
}

// candidates returns the control instances to try: those of the own data centre
// first, each follower beginning with another one.
func (f *Subscriber) candidates() []netip.AddrPort {
	order := xxh3.HashString(string(f.config.Instance))
	local := make([]netip.AddrPort, 0, len(f.controls))
	remote := make([]netip.AddrPort, 0, len(f.controls)+len(f.config.Seeds))
	for _, node := range f.controls {
		if node.Centre == f.config.Centre {
			local = append(local, node.Address)
		} else {
			remote = append(remote, node.Address)
		}
	}
	for _, seed := range f.config.Seeds {
		if !slices.Contains(local, seed) && !slices.Contains(remote, seed) {
			remote = append(remote, seed)
		}
	}
	return append(rotate(local, order), rotate(remote, order)...)
}

func rotate(addresses []netip.AddrPort, order uint64) []netip.AddrPort {
	if len(addresses) == 0 {
		return nil
	}
	first := int(order % uint64(len(addresses)))
	return append(slices.Clone(addresses[first:]), addresses[:first]...)
}

// fetch asks for news once and hands it on.
func (f *Subscriber) fetch() {
	known := f.config.FetchState(f.source == 0)
	hold, margin := fetchHold, fetchMargin
	switch {
	case f.source == 0:
		hold, margin = 0, pageMargin
	case f.stale:
		hold = staleHold
	}
	start := f.config.Clock.Now()
	reply, err := f.client.Fetch(FetchArgs{
		Instance: f.config.Instance,
		Centre:   f.config.Centre,
		Address:  f.config.Address,
		Source:   f.source,
		Cursor:   f.cursor,
		Index:    max(known.Index, f.told),
		More:     f.more,
		Digests:  known.Digests,
		Bucket:   f.bucket,
		Outcomes: known.Outcomes,
		Loads:    known.Loads,
		Rows:     f.owed,
		Ready:    known.Ready,
		Stopping: known.Stopping,
		Hold:     hold,
	}, hold+margin)
	f.config.FetchTime.Update(f.config.Clock.Now().Sub(start))
	if err != nil {
		f.note(true, err)
		f.leave()
		return
	}
	first := f.source == 0
	f.more = reply.Changes.More
	f.bucket = reply.Changes.Next
	if !first || !f.more { // The session begins with the last page.
		f.source = reply.Source
		f.cursor = reply.Changes.Cursor
	}
	f.told = reply.Index
	f.controls = reply.Controls
	if len(reply.Peers) > 0 {
		f.peers = reply.Peers
	}
	f.owed = f.config.ApplyReply(reply)
	if reply.Contact < staleContact {
		f.stale = false
	}
	switch {
	case reply.Contact >= staleContact && !f.stale && !f.peer:
		f.stale = true // It may be about to get in touch, as after a power loss.
	case reply.Contact >= staleContact:
		f.note(true, ErrUnreachable)
		f.leave()
	case f.nearby(reply):
		f.next = 0
		f.leave()
	case first:
		f.note(false, nil)
		f.next = 0
		f.pause = retryLeast
		select {
		case <-f.offers: // It came too late.
		default:
		}
	}
}

// nearby reports whether it is time to look for a control instance of the own
// data centre, as the present one is elsewhere.
func (f *Subscriber) nearby(reply FetchReply) bool {
	near := false
	for _, node := range reply.Controls {
		if node.Centre != f.config.Centre {
			continue
		}
		if node.Address == f.client.Address() {
			return false
		}
		near = true
	}
	now := f.config.Clock.Now()
	if !near || now.Sub(f.looked) < nearEvery {
		return false
	}
	f.looked = now
	return true
}

// note logs when the control instances are lost and found.
func (f *Subscriber) note(lost bool, err error) {
	if lost == f.lost {
		return
	}
	f.lost = lost
	if lost {
		f.looked = f.config.Clock.Now() // The next round begins with the near ones.
		f.config.Logger.Entry(zfevent.ControlUnreachable).Str("address", f.client.Address().String()).Err(err).Msg("")
		return
	}
	f.config.Logger.Entry(zfevent.ControlReachable).Str("address", f.client.Address().String()).Msg("")
}
