package zfcluster

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/core/zfregistry"
	"zinniafront/core/zfrestoration"
	"zinniafront/core/zfrotation"
)

// FeedData provides the data of a feed. It belongs to the control goroutine.
type FeedData interface {
	// ContentRevision grows whenever a backend server changes by more than a heartbeat.
	// Revision also grows when this instance becomes the heartbeat receiver of one.
	ContentRevision() uint64
	Revision() uint64
	// Since returns the backend servers that changed after cursor and, if heartbeats is
	// set, those of which this instance has become the heartbeat receiver.
	Since(cursor uint64, heartbeats bool, now time.Time) zfregistry.Changes
	// Diff returns the backend servers in the buckets, from first on, whose digests
	// differ from those of another table.
	Diff(digests []uint64, first int, heartbeats bool, now time.Time) zfregistry.Changes
	// PublishedState returns the control state.
	PublishedState() PublishedState
	// ContactAge returns the time since the last contact with a majority of the control
	// instances.
	ContactAge(now time.Time) time.Duration
	// Loads returns the loads of backend servers that the subscribers of this instance
	// report, or the total loads, with those that other control instances report, if
	// total is set.
	Loads(total bool, now time.Time) []zf.ServerLoad
	// Figures returns the rooms of the services in the data centre of this instance, and
	// the demand that its callers send to others.
	Figures(now time.Time) []zf.ServiceRoom
	// Departures returns the departures in force, and whether this instance made them.
	Departures(now time.Time) (departures []zf.Departure, decides bool)
	// Limits returns the limits for the new flows of this data centre's callers.
	Limits() []zf.AdmissionLimit
	// StopPermitted reports whether an entry instance that was asked to stop has a stop
	// permit, and grants one if that is possible now.
	StopPermitted(instance zf.InstanceName, now time.Time) bool
	// StepOutPermitted reports whether an overloaded entry instance has a permit to leave
	// the rotation, and grants or renews one if that is possible now.
	StepOutPermitted(instance zf.InstanceName, centre zf.CentreName, now time.Time) bool
	// MayEnter reports whether an entry instance that is able to take traffic may enter
	// the rotation.
	MayEnter(instance zf.InstanceName, centre zf.CentreName) bool
	// EntryCounts returns the numbers of entry instances that report to this one.
	EntryCounts(now time.Time) []zfrotation.Count
	// Restorations returns the data centres that were brought back into service recently.
	Restorations(now time.Time) []zfrestoration.Restoration
	// Controls returns the known control instances; one that is lost stays among them
	// for a while.
	Controls(now time.Time) []zfquorum.Node
}

// PublishedState is the control state as it is sent to entry instances.
type PublishedState struct {
	// Index is that of the entry in the replicated log.
	Index    uint64
	Document []byte
	Out      []zf.CentreName
}

const (
	// minReplyInterval is the minimum time for which a fetch is held back before a reply
	// that has only new changes of backend servers, so that changes in quick succession
	// are sent together. A new control state is sent at once. The interval is a small
	// part of the seconds that a drain may take.
	minReplyInterval = 100 * time.Millisecond
	// maxHold bounds how long a fetch is held back.
	maxHold = 5 * time.Second
	// subscriberTimeout is the silence after which a subscriber is removed; a
	// subscriber fetches every half second.
	subscriberTimeout = 3 * time.Second
	// remoteTimeout is how long the last reply of another feed remains valid: its
	// subscribers may be cut off and still send traffic with the state they have.
	remoteTimeout = 10 * time.Second
	// figureInterval is the minimum time between two reports of figures to one control
	// instance. They are sums over seconds.
	figureInterval = 900 * time.Millisecond
	// maxCentrePeers and maxOtherPeers bound the subscribers of the sender's data
	// centre and of others in a reply: enough to find one that reaches a control
	// instance.
	maxCentrePeers = 3
	maxOtherPeers  = 2
)

// pendingFetch is a fetch that is held back until there are changes.
type pendingFetch struct {
	args FetchArgs
	// notBefore is the earliest time of a reply for changes of backend servers, deadline
	// the time at which a reply is sent without changes.
	notBefore  time.Time
	deadline   time.Time
	receivedAt time.Time
	reply      chan<- FetchReply
}

// FeedConfig holds what a feed is built from.
type FeedConfig struct {
	// Source identifies this run of the process; a cursor is valid only with it.
	Source uint64
	Data   FeedData
	// SharePeers is set for the feed of a control instance. Its replies also have the
	// addresses and the number of entry instances, and the loads of backend servers.
	SharePeers bool
	// Centre is the data centre of this instance; loads are sent to its instances only.
	Centre zf.CentreName
}

// Feed answers fetches. It belongs to the control goroutine.
type Feed struct {
	config      FeedConfig
	pending     []pendingFetch
	subscribers map[netip.AddrPort]subscriberRow
	// remoteFeeds holds what other feeds reported of their subscribers, by the feed's
	// address.
	remoteFeeds map[netip.AddrPort]remoteFeed
	// firstFetch is when the first fetch came in.
	firstFetch time.Time
	// pages caches the latest pages of backend servers that were sent to entry instances.
	pages map[pageKey]page
	// figuresSent is when each control instance was last sent the figures of this data
	// centre.
	figuresSent map[zf.InstanceName]time.Time
}

// NewFeed returns a feed without subscribers.
func NewFeed(config FeedConfig) *Feed {
	return &Feed{
		config:      config,
		subscribers: make(map[netip.AddrPort]subscriberRow),
		remoteFeeds: make(map[netip.AddrPort]remoteFeed),
		pages:       make(map[pageKey]page),
		figuresSent: make(map[zf.InstanceName]time.Time),
	}
}

// Recognizes reports whether the cursor of a fetch was issued by this feed.
func (f *Feed) Recognizes(args FetchArgs) bool { return args.Source == f.config.Source }

// AddFetch queues a fetch; its reply is sent on the channel.
func (f *Feed) AddFetch(args FetchArgs, reply chan<- FetchReply, now time.Time) {
	if !f.Recognizes(args) {
		args.Cursor = 0
	}
	if f.firstFetch.IsZero() {
		f.firstFetch = now
	}
	if args.Address.IsValid() && !args.Control {
		row := subscriberRow{
			centre:    args.Centre,
			lastFetch: now,
		}
		if args.Strain != zf.StrainOverloaded {
			row.size = args.Size
		}
		f.subscribers[args.Address] = row
	}
	args.Rows = nil
	args.Outcomes = nil
	f.pending = append(f.pending, pendingFetch{
		args:       args,
		notBefore:  now.Add(minReplyInterval),
		deadline:   now.Add(min(max(args.Hold, 0), maxHold)),
		receivedAt: now,
		reply:      reply,
	})
}

// AnswerFetches answers the fetches for which there are changes, or whose deadline
// has passed.
func (f *Feed) AnswerFetches(now time.Time) {
	if len(f.pending) == 0 {
		return
	}
	index := f.config.Data.PublishedState().Index
	contentRevision, revision := f.config.Data.ContentRevision(), f.config.Data.Revision()
	f.expirePages(now)
	f.pending = slices.DeleteFunc(f.pending, func(p pendingFetch) bool {
		latest := contentRevision
		if p.args.Control {
			latest = revision
		}
		changed := latest > p.args.Cursor && !now.Before(p.notBefore)
		due := !f.Recognizes(p.args) || p.args.More || changed || !p.args.Control && index > p.args.Index ||
			f.stopPermitted(p.args, now) || p.args.Ready && f.stepOutPermitted(p.args, now) || p.args.Able && !p.args.Ready && !f.mustWait(p.args)
		if !due && now.Before(p.deadline) {
			return false
		}
		reply := f.reply(p.args, now)
		reply.Held = now.Sub(p.receivedAt)
		p.reply <- reply // Each reply channel has room for its one reply.
		return true
	})
}

// reply returns the reply to one fetch.
func (f *Feed) reply(args FetchArgs, now time.Time) FetchReply {
	published := f.config.Data.PublishedState()
	p := f.cachedPage(args, now)
	reply := FetchReply{
		Source:   f.config.Source,
		Changes:  p.changes,
		Rows:     p.rows,
		Index:    published.Index,
		Contact:  f.config.Data.ContactAge(now),
		Controls: f.config.Data.Controls(now),
		Peers:    f.peers(args, now),
		Near:     f.isLocalControl(args),
		Entries:  f.entryCount(!args.Control, now),
		Position: f.entryPosition(args, now),
		Turn:     f.stopPermitted(args, now),
		StepOut:  f.stepOutPermitted(args, now),
		Wait:     f.mustWait(args),

		Restorations: f.config.Data.Restorations(now),
	}
	if args.Control {
		reply.Counts = f.config.Data.EntryCounts(now)
		reply.Centre = f.config.Centre
		reply.Rooms = f.figuresFor(args, now)
	}
	if f.isLocalControl(args) || f.config.SharePeers && args.Centre == f.config.Centre && args.Loads != nil {
		reply.Loads = f.config.Data.Loads(!args.Control, now)
		reply.Departures, reply.Decides = f.config.Data.Departures(now)
	}
	if reply.Loads != nil && !args.Control {
		reply.Limits = f.config.Data.Limits()
	}
	if !args.Control && published.Index > args.Index {
		reply.Document = published.Document
		reply.Out = published.Out
	}
	return reply
}

// figuresFor returns the figures of this data centre for a control instance of another
// one, or nil if it was sent them recently.
func (f *Feed) figuresFor(args FetchArgs, now time.Time) []zf.ServiceRoom {
	if args.Centre == f.config.Centre || now.Sub(f.figuresSent[args.Instance]) < figureInterval {
		return nil
	}
	maps.DeleteFunc(f.figuresSent, func(_ zf.InstanceName, at time.Time) bool { return now.Sub(at) >= remoteTimeout })
	f.figuresSent[args.Instance] = now
	return f.config.Data.Figures(now)
}

// isLocalControl reports whether a fetch is from a control instance of the same data
// centre.
func (f *Feed) isLocalControl(args FetchArgs) bool {
	return f.config.SharePeers && args.Control && args.Centre == f.config.Centre
}

// mustWait reports whether a fetch is from an entry instance that must not enter the
// rotation yet.
func (f *Feed) mustWait(args FetchArgs) bool {
	return !args.Control && !args.Ready && !f.config.Data.MayEnter(args.Instance, args.Centre)
}

// stopPermitted reports whether a fetch is from an instance that waits for a stop
// permit and holds it.
func (f *Feed) stopPermitted(args FetchArgs, now time.Time) bool {
	return args.Stopping && f.config.Data.StopPermitted(args.Instance, now)
}

// stepOutPermitted reports whether a fetch is from an instance that requests a permit to
// leave the rotation and holds it.
func (f *Feed) stepOutPermitted(args FetchArgs, now time.Time) bool {
	return args.StepOut && f.config.Data.StepOutPermitted(args.Instance, args.Centre, now)
}
