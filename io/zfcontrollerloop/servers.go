package zfcontrollerloop

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"

	"zinniafront/core/zfregistry"
	"zinniafront/io/zfevent"
)

// The time between two saves of the backend servers is at least serversSaveInterval, and
// at least serversSaveIntervalPerRow for each row, so that saves write some 50 KB per
// second at most. Rows that are out of date after a restart are updated by the next
// heartbeats.
const (
	serversSaveInterval       = time.Second
	serversSaveIntervalPerRow = 2 * time.Millisecond
)

// LoadServers loads the backend servers as they were saved before a power loss. Those
// that have gone since are detected by their silence.
func (l *Loop) LoadServers(now time.Time) error {
	text, err := l.config.ServerStore.Load()
	if err != nil || text == nil {
		return errors.Wrap(err, "load backend servers")
	}
	var updates []zfregistry.Update
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&updates); err != nil {
		return errors.Wrap(err, "decode backend servers")
	}
	for i := range updates {
		updates[i].Age = 0 // Each backend server gets the full time to send a heartbeat.
	}
	l.config.World.Registry().Merge(zfregistry.Changes{
		Updates: updates,
	}, now)
	l.config.Logger.Entry(zfevent.ServersLoaded).Int("rows", len(updates)).Msg("")
	return nil
}

// saveServers passes the table of backend servers to runTableSaver if it has changed.
func (l *Loop) saveServers(now time.Time) {
	registry := l.config.World.Registry()
	revision := registry.ContentRevision()
	interval := max(serversSaveInterval, time.Duration(registry.Size())*serversSaveIntervalPerRow)
	if revision == l.savedServersRevision || now.Sub(l.lastServersSave) < interval {
		return
	}
	select {
	case l.serverSaves <- registry.All(now):
		l.savedServersRevision = revision
		l.lastServersSave = now
	default: // The saver is still busy with an earlier table.
	}
}

// runTableSaver saves backend servers and the addresses of subscribers until the loop
// ends.
func (l *Loop) runTableSaver() {
	for {
		select {
		case <-l.done:
			return
		case subscribers := <-l.subscriberSaves:
			l.writeSubscribers(subscribers)
		case updates := <-l.serverSaves:
			var buffer bytes.Buffer
			err := gob.NewEncoder(&buffer).Encode(updates)
			if err == nil {
				err = l.config.ServerStore.Save(buffer.Bytes())
			}
			if err != nil {
				l.config.Logger.Entry(zfevent.ServersSaveFailed).Err(err).Msg("")
			}
		}
	}
}
