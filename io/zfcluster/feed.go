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
	Since(cursor uint64, heartbeats bool, now time.Time) zfregistry.Changes
	// Diff returns the backend servers of which another table has other
	// digests.
	Diff(digests []uint64, first int, heartbeats bool, now time.Time) zfregistry.Changes
	// PublishedState returns the control state.
	PublishedState() PublishedState
	// ContactAge returns how long ago a majority of the control instances was heard
	// of.
	ContactAge(now time.Time) time.Duration
	// Loads returns the loads of backend servers that followers tell here, and those
	// that other control instances tell too if all is set.
	Loads(total bool, now time.Time) []zf.ServerLoad
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
	// minReplyInterval is the least time between two answers to a follower, but for a new
	// control state: changes of backend servers that come in series travel
	// together. It is a small part of the seconds that a drain may take.
	minReplyInterval = 100 * time.Millisecond
	// maxHold bounds how long a fetch is held back.
	maxHold = 5 * time.Second
	// subscriberTimeout is the silence after which a follower is forgotten: it
	// fetches each half second.
	subscriberTimeout = 3 * time.Second
	// remoteTimeout is how long another feed's word counts: its followers may
	// be cut off, and go on sending what they were sending.
	remoteTimeout = 10 * time.Second
	// maxCentrePeers and farPeers are the numbers of followers in the asker's data
	// centre and in others that it is told of: enough to find one that is in touch.
	maxCentrePeers = 3
	maxOtherPeers  = 2
)

// pendingFetch is a fetch that is held back until there is news.
type pendingFetch struct {
	args FetchArgs
	// notBefore is when it may be answered with changes of backend servers, until when
	// it is answered without news.
	notBefore time.Time
	deadline  time.Time
	reply     chan<- FetchReply
}

// subscriberRow is an instance that has fetched lately.
type subscriberRow struct {
	centre    zf.CentreName
	lastFetch time.Time
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
	config      FeedConfig
	pending     []pendingFetch
	subscribers map[netip.AddrPort]subscriberRow
	// remoteFeeds holds what other feeds told of their followers, by the feed's
	// address.
	remoteFeeds map[netip.AddrPort]remoteFeed
	// pages are what entry instances were told lately of backend servers.
	pages map[pageKey]page
}

// remoteFeed is what another feed told of its followers.
type remoteFeed struct {
	// subscribers are a few of them, or all where near is set, as the feed is in the same data
	// centre; count is how many there are.
	subscribers []netip.AddrPort
	sameCentre  bool
	count       int
	lastReply   time.Time
}

// NewFeed returns a feed without followers.
func NewFeed(config FeedConfig) *Feed {
	return &Feed{
		config:      config,
		subscribers: make(map[netip.AddrPort]subscriberRow),
		remoteFeeds: make(map[netip.AddrPort]remoteFeed),
		pages:       make(map[pageKey]page),
	}
}

// RecordRemote notes what another feed told of its followers.
func (f *Feed) RecordRemote(address netip.AddrPort, reply FetchReply, now time.Time) {
	f.remoteFeeds[address] = remoteFeed{
		subscribers: reply.Peers,
		sameCentre:  reply.Near,
		count:       reply.Entries,
		lastReply:   now,
	}
}

// Subscribers returns the addresses of the entry instances that follow this feed, or
// another one in its data centre.
func (f *Feed) Subscribers() []netip.AddrPort {
	addresses := f.localSubscribers()
	for _, d := range f.remoteFeeds {
		if d.sameCentre {
			addresses = append(addresses, d.subscribers...)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// localSubscribers returns the addresses of the entry instances that follow this feed.
func (f *Feed) localSubscribers() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(f.subscribers))
	for address := range f.subscribers {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// entryCount returns the number of entry instances that follow this feed, and those
// that follow others if all is set.
func (f *Feed) entryCount(total bool, now time.Time) int {
	if !f.config.SharePeers {
		return 0
	}
	count := len(f.subscribers)
	for feed, d := range f.remoteFeeds {
		switch {
		case now.Sub(d.lastReply) >= remoteTimeout:
			delete(f.remoteFeeds, feed)
		case total:
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
		f.subscribers[args.Address] = subscriberRow{
			centre:    args.Centre,
			lastFetch: now,
		}
	}
	args.Rows = nil
	args.Outcomes = nil
	f.pending = append(f.pending, pendingFetch{
		args:      args,
		notBefore: now.Add(minReplyInterval),
		deadline:  now.Add(min(max(args.Hold, 0), maxHold)),
		reply:     reply,
	})
}

// AnswerFetches answers the fetches that have news, or have been held back for long.
func (f *Feed) AnswerFetches(now time.Time) {
	if len(f.pending) == 0 {
		return
	}
	index := f.config.Source.PublishedState().Index
	contentRevision, revision := f.config.Source.ContentRevision(), f.config.Source.Revision()
	f.expirePages(now)
	f.pending = slices.DeleteFunc(f.pending, func(w pendingFetch) bool {
		latest := contentRevision
		if w.args.Control {
			latest = revision
		}
		changed := latest > w.args.Cursor && !now.Before(w.notBefore)
		due := !f.Recognizes(w.args) || w.args.More || changed || !w.args.Control && index > w.args.Index ||
			f.stopPermitted(w.args, now)
		if !due && now.Before(w.deadline) {
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
		Near:     f.isCentrePeer(args),
		Entries:  f.entryCount(!args.Control, now),
		Turn:     f.stopPermitted(args, now),
	}
	if f.isCentrePeer(args) || f.config.SharePeers && args.Centre == f.config.Centre && args.Loads != nil {
		reply.Loads = f.config.Source.Loads(!args.Control, now)
	}
	if !args.Control && published.Index > args.Index {
		reply.Document = published.Document
		reply.Out = published.Out
	}
	return reply
}

// isCentrePeer reports whether the asker is a control instance of the same data centre.
func (f *Feed) isCentrePeer(args FetchArgs) bool {
	return f.config.SharePeers && args.Control && args.Centre == f.config.Centre
}

// stopPermitted reports whether the asker waits for its stopPermitted to stop, and has it.
func (f *Feed) stopPermitted(args FetchArgs, now time.Time) bool {
	return args.Stopping && f.config.Source.Turn(args.Instance, now)
}

// peers returns other followers, those in the asker's data centre first.
func (f *Feed) peers(args FetchArgs, now time.Time) []netip.AddrPort {
	if !f.config.SharePeers {
		return nil
	}
	var sameCentre, others []netip.AddrPort
	for address, row := range f.subscribers {
		switch {
		case now.Sub(row.lastFetch) >= subscriberTimeout:
			delete(f.subscribers, address)
		case address == args.Address:
		case row.centre == args.Centre:
			sameCentre = append(sameCentre, address)
		default:
			others = append(others, address)
		}
	}
	if f.isCentrePeer(args) {
		return f.localSubscribers()
	}
	if !args.Control {
		for _, d := range f.remoteFeeds {
			others = append(others, d.subscribers...)
		}
	}
	return append(ringAfter(sameCentre, args.Address, maxCentrePeers), ringAfter(others, args.Address, maxOtherPeers)...)
}

// ringAfter returns the addresses that follow one in a ring, so that each asker is
// told of others.
func ringAfter(addresses []netip.AddrPort, address netip.AddrPort, limit int) []netip.AddrPort {
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	first, _ := slices.BinarySearchFunc(addresses, address, netip.AddrPort.Compare)
	ring := append(slices.Clone(addresses[first:]), addresses[:first]...)
	return ring[:min(len(ring), limit)]
}
