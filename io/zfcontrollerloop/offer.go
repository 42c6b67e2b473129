package zfcontrollerloop

import (
	"bytes"
	"encoding/gob"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"zinniafront/io/zfcluster"
	"zinniafront/io/zfevent"
)

const (
	// subscribersSaveInterval is the least time between two saves of the followers' addresses,
	// which are of use after an outage only.
	subscribersSaveInterval = 5 * time.Second
	// offerWindow is how long this instance tries to reach those that followed it before
	// it stopped: machines that lost power together are back within two seconds of each
	// other, and after that entry instances have found somebody.
	offerWindow = 3 * time.Second
	// offerPause is the pause between two tries, offerTimeout bounds one.
	offerPause   = 50 * time.Millisecond
	offerTimeout = 300 * time.Millisecond
)

// LoadSubscribers takes the addresses of those that followed this instance before it
// stopped.
func (l *Loop) LoadSubscribers() error {
	text, err := l.config.SubscriberStore.Load()
	if err != nil || text == nil {
		return errors.Wrap(err, "load followers")
	}
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&l.earlierSubscribers); err != nil {
		return errors.Wrap(err, "decode followers")
	}
	l.config.Logger.Entry(zfevent.SubscribersLoaded).Int("followers", len(l.earlierSubscribers)).Msg("")
	return nil
}

// saveSubscribers hands the addresses of the followers to the disk's goroutine where
// they have changed.
func (l *Loop) saveSubscribers(now time.Time) {
	if now.Sub(l.lastSubscribersSave) < subscribersSaveInterval {
		return
	}
	l.lastSubscribersSave = now
	subscribers := l.feed.Subscribers()
	if len(subscribers) == 0 || slices.Equal(subscribers, l.savedSubscribers) {
		return
	}
	select {
	case l.subscriberSaves <- subscribers:
		l.savedSubscribers = subscribers
	default: // The disk is still busy.
	}
}

// writeSubscribers saves the addresses of the followers.
func (l *Loop) writeSubscribers(subscribers []netip.AddrPort) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(subscribers)
	if err == nil {
		err = l.config.SubscriberStore.Save(buffer.Bytes())
	}
	if err != nil {
		l.config.Logger.Entry(zfevent.SubscribersSaveFailed).Err(err).Msg("")
	}
}

// offer tells an earlier follower that this instance is there. After an outage entry
// instances know the seeds only, and one that is none may be back first.
func (l *Loop) offer(subscriber netip.AddrPort) {
	client := zfcluster.NewClient(subscriber, l.config.Clock)
	defer client.Close()
	self := l.config.World.Replica().Self().Address
	for start := l.config.Clock.Now(); l.config.Clock.Now().Sub(start) < offerWindow; {
		if client.Offer(self, offerTimeout) == nil {
			return
		}
		pause, release := l.config.Clock.After(offerPause)
		select {
		case <-pause:
		case <-l.done:
			release()
			return
		}
	}
}

// Offer implements zfcluster.Handler; control instances find each other by the
// replication.
func (l *Loop) Offer(netip.AddrPort) {}
