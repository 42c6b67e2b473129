package zfcontrollerloop

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"

	"zinniafront/core/zfregistry"
	"zinniafront/io/zfevent"
)

// The pause between two saves of the backend servers: a table that is older than
// a heartbeat is brought up to date by the next one. It grows with the table, so
// that saves take some 50 KB a second at most.
const (
	serversSaveInterval = time.Second
	serversSavePause    = 2 * time.Millisecond // For each backend server.
)

// LoadServers takes the backend servers from disk, as they were before a power
// loss. Those that are gone since will be found silent.
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
		updates[i].Age = 0
	}
	l.config.World.Registry().Merge(zfregistry.Changes{
		Updates: updates,
	}, now)
	l.config.Logger.Entry(zfevent.ServersLoaded).Int("rows", len(updates)).Msg("")
	return nil
}

// saveServers hands the backend servers to the disk's goroutine where they have
// changed.
func (l *Loop) saveServers(now time.Time) {
	registry := l.config.World.Registry()
	revision := registry.ContentRevision()
	pause := max(serversSaveInterval, time.Duration(registry.Size())*serversSavePause)
	if revision == l.savedServersRevision || now.Sub(l.lastServersSave) < pause {
		return
	}
	select {
	case l.serverSaves <- registry.All(now):
		l.savedServersRevision = revision
		l.lastServersSave = now
	default: // The disk is still busy with an earlier table.
	}
}

// runTableSaver saves the backend servers until the loop ends.
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
