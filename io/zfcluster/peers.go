package zfcluster

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
)

// subscriberRow is an entry instance that fetches from this feed.
type subscriberRow struct {
	centre    zf.CentreName
	lastFetch time.Time
	// size is the instance's share of a core, or 0 if it is not known or overloaded.
	size float64
}

// remoteFeed is the last report of another feed about its subscribers.
type remoteFeed struct {
	// subscribers are a few of them, or all if sameCentre is set, which means that the
	// feed is in the same data centre; count is the number of all.
	subscribers []netip.AddrPort
	sameCentre  bool
	count       int
	// source identifies the run of the feed's process.
	source    uint64
	lastReply time.Time
}

// RecordRemote records the subscribers that another feed reported in a reply.
func (f *Feed) RecordRemote(address netip.AddrPort, reply FetchReply, now time.Time) {
	f.remoteFeeds[address] = remoteFeed{
		subscribers: reply.Peers,
		sameCentre:  reply.Near,
		count:       reply.Entries,
		source:      reply.Source,
		lastReply:   now,
	}
}

// Subscribers returns the addresses of the entry instances that subscribe to this
// feed or to another one in its data centre.
func (f *Feed) Subscribers() []netip.AddrPort {
	addresses := f.localSubscribers()
	for _, remote := range f.remoteFeeds {
		if remote.sameCentre {
			addresses = append(addresses, remote.subscribers...)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return slices.Compact(addresses)
}

// localSubscribers returns the addresses of the entry instances that subscribe to
// this feed.
func (f *Feed) localSubscribers() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(f.subscribers))
	for address := range f.subscribers {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// entryCount returns the number of entry instances that subscribe to this feed, or
// to any feed if total is set. Feeds that have not been heard since the start count as much
// as the others do on average. It removes remote feeds whose last reply is too old;
// expired subscribers must have been removed by peers before.
func (f *Feed) entryCount(total bool, now time.Time) int {
	if !f.config.SharePeers {
		return 0
	}
	count := len(f.subscribers)
	for feed, remote := range f.remoteFeeds {
		switch {
		case now.Sub(remote.lastReply) >= remoteTimeout:
			delete(f.remoteFeeds, feed)
		case total:
			count += remote.count
		}
	}
	if total {
		count += count * f.unheardFeeds(now) / (1 + len(f.remoteFeeds))
	}
	return count
}

// unheardFeeds returns the number of control instances that have not replied since this
// one started. Those that don't within remoteTimeout are taken for lost.
func (f *Feed) unheardFeeds(now time.Time) int {
	if now.Sub(f.firstFetch) >= remoteTimeout {
		return 0
	}
	return max(len(f.config.Data.Controls(now))-1-len(f.remoteFeeds), 0)
}

// entryPosition returns the place of the sender of a fetch among all entry instances, from
// 1 on, or 0 if it is not one of this feed's subscribers or not all feeds are known. The
// subscribers of each feed follow one another, the feeds are ordered by their sources.
func (f *Feed) entryPosition(args FetchArgs, now time.Time) int {
	_, subscribes := f.subscribers[args.Address]
	if !subscribes || !f.config.SharePeers || args.Control || f.unheardFeeds(now) > 0 {
		return 0
	}
	position := 1
	for address := range f.subscribers {
		if address.Compare(args.Address) < 0 {
			position++
		}
	}
	for _, remote := range f.remoteFeeds {
		if remote.source < f.config.Source {
			position += remote.count
		}
	}
	return position
}

// peers removes expired subscribers and returns a few others than the sender, those in
// its data centre first, the largest ones of these before smaller ones. A control
// instance of the same data centre gets all subscribers of this feed.
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
	if f.isLocalControl(args) {
		return f.localSubscribers()
	}
	if !args.Control {
		for _, remote := range f.remoteFeeds {
			others = append(others, remote.subscribers...)
		}
		isSender := func(address netip.AddrPort) bool { return address == args.Address }
		others = slices.DeleteFunc(others, isSender)
	}
	return append(f.largestAfter(sameCentre, args.Address), ringAfter(others, args.Address, maxOtherPeers)...)
}

// largestAfter returns up to maxCentrePeers subscribers, larger ones first and those of the
// same size as ringAfter does. Where sizes differ, small instances are not asked while
// larger ones answer.
func (f *Feed) largestAfter(addresses []netip.AddrPort, address netip.AddrPort) []netip.AddrPort {
	bySize := make(map[float64][]netip.AddrPort)
	for _, a := range addresses {
		size := f.subscribers[a].size
		bySize[size] = append(bySize[size], a)
	}
	sizes := slices.Sorted(maps.Keys(bySize))
	slices.Reverse(sizes)
	var largest []netip.AddrPort
	for _, size := range sizes {
		largest = append(largest, ringAfter(bySize[size], address, maxCentrePeers-len(largest))...)
	}
	return largest
}

// ringAfter returns up to limit addresses that follow one in sorted order, with
// wrap-around, so that each sender gets different ones.
func ringAfter(addresses []netip.AddrPort, address netip.AddrPort, limit int) []netip.AddrPort {
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	first, _ := slices.BinarySearchFunc(addresses, address, netip.AddrPort.Compare)
	ring := append(slices.Clone(addresses[first:]), addresses[:first]...)
	return ring[:min(len(ring), limit)]
}

// SubscribersOf returns the addresses of the entry instances of a data centre that
// subscribe to this feed, and for the own data centre those of its other feeds.
func (f *Feed) SubscribersOf(centre zf.CentreName) []netip.AddrPort {
	if centre == f.config.Centre {
		return f.Subscribers()
	}
	var addresses []netip.AddrPort
	for address, row := range f.subscribers {
		if row.centre == centre {
			addresses = append(addresses, address)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}
