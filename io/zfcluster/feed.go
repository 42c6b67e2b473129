package zfcluster

import (
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
)

// FeedSource is what a feed tells of. It belongs to the control goroutine.
type FeedSource interface {
	// ContentRevision changes whenever a backend server does by more than a heartbeat,
	// Revision also when heartbeats begin to come to another instance.
	ContentRevision() uint64
	Revision() uint64
	// Since returns the backend servers that changed after cursor.
	Since(cursor uint64, beats bool, now time.Time) zfregistry.Changes
	// Diff returns the backend servers of which another table has other
	// digests.
	Diff(digests []uint64, first int, beats bool, now time.Time) zfregistry.Changes
	// PublishedState returns the control state.
	PublishedState() PublishedState
	// ContactAge returns how long ago a majority of the control instances was heard
	// of.
	ContactAge(now time.Time) time.Duration
	// Loads returns the loads of backend servers that followers tell here, and those
	// that other control instances tell too if all is set.
	Loads(all bool, now time.Time) []zf.ServerLoad
	// Turn reports whether it is the turn of an entry instance that was asked to stop.
	Turn(instance zf.InstanceName, now time.Time) bool
	// Controls returns the control instances that are there.
	Controls(now time.Time) []zfquorum.Node
}

// PublishedState is the control state as entry instances get it.
type PublishedState struct {
	// Index is that of the entry in the replicated log.
	Index    uint64
	Document []byte
	Out      []zf.CentreName
}

const (
	// newsEvery is the least time between two answers to a follower, but for a new
	// control state: changes of backend servers that come in series travel
	// together. It is a small part of the seconds that a drain may take.
	newsEvery = 100 * time.Millisecond
	// mostHold bounds how long a fetch is held back.
	mostHold = 5 * time.Second
	// followerTimeout is the silence after which a follower is forgotten: it
	// fetches each half second.
	followerTimeout = 3 * time.Second
	// distantTimeout is how long another feed's word counts: its followers may
	// be cut off, and go on sending what they were sending.
	distantTimeout = 10 * time.Second
	// nearPeers and farPeers are the numbers of followers in the asker's data
	// centre and in others that it is told of: enough to find one that is in touch.
	nearPeers = 3
	farPeers  = 2
)

// waiter is a fetch that is held back until there is news.
type waiter struct {
	args FetchArgs
	// from is when it may be answered with changes of backend servers, until when
	// it is answered without news.
	from  time.Time
	until time.Time
	reply chan<- FetchReply
}

// follower is an instance that has fetched lately.
type follower struct {
	centre zf.CentreName
	heard  time.Time
}

// FeedConfig holds what a feed is built from.
type FeedConfig struct {
	// ID tells this run of the process from others.
	ID     uint64
	Source FeedSource
	// SharePeers has followers be told of each other, and of their loads.
	SharePeers bool
	// Centre is the data centre whose loads are told.
	Centre zf.CentreName
}

// Feed answers fetches. It belongs to the control goroutine.
type Feed struct {
	config    FeedConfig
	waiters   []waiter
	followers map[netip.AddrPort]follower
	// distant holds what other feeds told of their followers, by the feed's
	// address.
	distant map[netip.AddrPort]distant
	// pages are what entry instances were told lately of backend servers.
	pages map[pageKey]page
}

// distant is what another feed told of its followers.
type distant struct {
	// some are a few of them, or all where near is set, as the feed is in the same data
	// centre; count is how many there are.
	some  []netip.AddrPort
	near  bool
	count int
	heard time.Time
}

// NewFeed returns a feed without followers.
func NewFeed(config FeedConfig) *Feed {
	return &Feed{
		config:    config,
		followers: make(map[netip.AddrPort]follower),
		distant:   make(map[netip.AddrPort]distant),
		pages:     make(map[pageKey]page),
	}
}

// RecordRemote notes what another feed told of its followers.
func (f *Feed) RecordRemote(feed netip.AddrPort, reply FetchReply, now time.Time) {
	f.distant[feed] = distant{
		some:  reply.Peers,
		near:  reply.Near,
		count: reply.Entries,
		heard: now,
	}
}

// Subscribers returns the addresses of the entry instances that follow this feed, or
// another one in its data centre.
func (f *Feed) Subscribers() []netip.AddrPort {
	followers := f.own()
	for _, d := range f.distant {
		if d.near {
			followers = append(followers, d.some...)
		}
	}
	slices.SortFunc(followers, netip.AddrPort.Compare)
	return slices.Compact(followers)
}

// own returns the addresses of the entry instances that follow this feed.
func (f *Feed) own() []netip.AddrPort {
	followers := make([]netip.AddrPort, 0, len(f.followers))
	for address := range f.followers {
		followers = append(followers, address)
	}
	slices.SortFunc(followers, netip.AddrPort.Compare)
	return followers
}

// entries returns the number of entry instances that follow this feed, and those
// that follow others if all is set.
func (f *Feed) entries(all bool, now time.Time) int {
	if !f.config.SharePeers {
		return 0
	}
	count := len(f.followers)
	for feed, d := range f.distant {
		switch {
		case now.Sub(d.heard) >= distantTimeout:
			delete(f.distant, feed)
		case all:
			count += d.count
		}
	}
	return count
}

// Recognizes reports whether the asker's cursor is one of this feed.
func (f *Feed) Recognizes(args FetchArgs) bool { return args.Source == f.config.ID }

// AddFetch takes a fetch; its reply comes through the channel.
func (f *Feed) AddFetch(args FetchArgs, reply chan<- FetchReply, now time.Time) {
	if !f.Recognizes(args) {
		args.Cursor = 0
	}
	if args.Address.IsValid() && !args.Control {
		f.followers[args.Address] = follower{
			centre: args.Centre,
			heard:  now,
		}
	}
	args.Rows = nil
	args.Outcomes = nil
	f.waiters = append(f.waiters, waiter{
		args:  args,
		from:  now.Add(newsEvery),
		until: now.Add(min(max(args.Hold, 0), mostHold)),
		reply: reply,
	})
}

// AnswerFetches answers the fetches that have news, or have been held back for long.
func (f *Feed) AnswerFetches(now time.Time) {
	if len(f.waiters) == 0 {
		return
	}
	index := f.config.Source.PublishedState().Index
	news, revision := f.config.Source.ContentRevision(), f.config.Source.Revision()
	f.forgetPages(now)
	f.waiters = slices.DeleteFunc(f.waiters, func(w waiter) bool {
		latest := news
		if w.args.Control {
			latest = revision
		}
		changed := latest > w.args.Cursor && !now.Before(w.from)
		fresh := !f.Recognizes(w.args) || w.args.More || changed || !w.args.Control && index > w.args.Index ||
			f.turn(w.args, now)
		if !fresh && now.Before(w.until) {
			return false
		}
		w.reply <- f.reply(w.args, now) // Each reply channel has room for its one reply.
		return true
	})
}

// reply returns the news for one fetch.
func (f *Feed) reply(args FetchArgs, now time.Time) FetchReply {
	published := f.config.Source.PublishedState()
	page := f.page(args, now)
	reply := FetchReply{
		Source:   f.config.ID,
		Changes:  page.changes,
		Rows:     page.rows,
		Index:    published.Index,
		Contact:  f.config.Source.ContactAge(now),
		Controls: f.config.Source.Controls(now),
		Peers:    f.peers(args, now),
		Near:     f.near(args),
		Entries:  f.entries(!args.Control, now),
		Turn:     f.turn(args, now),
	}
	if f.near(args) || f.config.SharePeers && args.Centre == f.config.Centre && args.Loads != nil {
		reply.Loads = f.config.Source.Loads(!args.Control, now)
	}
	if !args.Control && published.Index > args.Index {
		reply.Document = published.Document
		reply.Out = published.Out
	}
	return reply
}

// near reports whether the asker is a control instance of the same data centre.
func (f *Feed) near(args FetchArgs) bool {
	return f.config.SharePeers && args.Control && args.Centre == f.config.Centre
}

// turn reports whether the asker waits for its turn to stop, and has it.
func (f *Feed) turn(args FetchArgs, now time.Time) bool {
	return args.Stopping && f.config.Source.Turn(args.Instance, now)
}

// peers returns other followers, those in the asker's data centre first.
func (f *Feed) peers(args FetchArgs, now time.Time) []netip.AddrPort {
	if !f.config.SharePeers {
		return nil
	}
	var near, far []netip.AddrPort
	for address, row := range f.followers {
		switch {
		case now.Sub(row.heard) >= followerTimeout:
			delete(f.followers, address)
		case address == args.Address:
		case row.centre == args.Centre:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	if f.near(args) {
		return f.own()
	}
	if !args.Control {
		for _, d := range f.distant {
			far = append(far, d.some...)
		}
	}
	return append(after(near, args.Address, nearPeers), after(far, args.Address, farPeers)...)
}

// after returns the addresses that follow one in a ring, so that each asker is
// told of others.
func after(addresses []netip.AddrPort, address netip.AddrPort, most int) []netip.AddrPort {
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	first, _ := slices.BinarySearchFunc(addresses, address, netip.AddrPort.Compare)
	ring := append(slices.Clone(addresses[first:]), addresses[:first]...)
	return ring[:min(len(ring), most)]
}
