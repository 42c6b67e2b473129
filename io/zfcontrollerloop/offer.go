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
	// subscribersSaveInterval is the minimum time between two saves of the subscribers'
	// addresses, which are used after an outage only.
	subscribersSaveInterval = 5 * time.Second
	// offerWindow is how long this instance tries to reach its earlier subscribers after
	// a start. Instances that lost power together are back within two seconds of each
	// other; later, entry instances have found a control instance by themselves.
	offerWindow = 3 * time.Second
	// offerPause is the pause between two attempts, offerTimeout bounds one.
	offerPause   = 50 * time.Millisecond
	offerTimeout = 300 * time.Millisecond
)

// LoadSubscribers loads the addresses of the entry instances that subscribed to this
// instance before it stopped.
func (l *Loop) LoadSubscribers() error {
	text, err := l.config.SubscriberStore.Load()
	if err != nil || text == nil {
		return errors.Wrap(err, "load subscribers")
	}
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&l.earlierSubscribers); err != nil {
		return errors.Wrap(err, "decode subscribers")
	}
	l.config.Logger.Entry(zfevent.SubscribersLoaded).Int("followers", len(l.earlierSubscribers)).Msg("")
	return nil
}

// saveSubscribers passes the addresses of the subscribers to runTableSaver if they
// have changed. An empty list, as after a start, doesn't replace the saved one.
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
	default: // The saver is still busy.
	}
}

// writeSubscribers writes the addresses of the subscribers to disk.
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

// offer sends the address of this instance to an earlier subscriber until it is received
// or offerWindow has passed. After an outage entry instances know the seeds only, and a
// control instance that is no seed may be back first.
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

// Offer implements zfcluster.Handler. It does nothing: control instances discover each
// other by the hello messages of zfquorum.
func (l *Loop) Offer(netip.AddrPort) {}
