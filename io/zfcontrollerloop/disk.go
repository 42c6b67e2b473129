package zfcontrollerloop

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/io/zfevent"
)

// saveRetry is the pause after the disk refused a record.
const saveRetry = 250 * time.Millisecond

// save is one record on its way to the disk.
type save struct {
	record zfquorum.Record
	serial uint64
}

// LoadRecord returns the record on disk; ok is false on a new disk.
func LoadRecord(store zf.Store) (record zfquorum.Record, ok bool, err error) {
	text, err := store.Load()
	if err != nil || text == nil {
		return record, false, errors.Wrap(err, "load record")
	}
	err = gob.NewDecoder(bytes.NewReader(text)).Decode(&record)
	return record, err == nil, errors.Wrap(err, "decode record")
}

// save hands the newest record to the disk's goroutine, one at a time. Records
// that come while the disk is busy are saved as one.
func (l *Loop) save() {
	record, serial, ok := l.config.World.Replica().Unsaved()
	if !ok || l.saving {
		return
	}
	l.saving = true
	l.saves <- save{
		record: record,
		serial: serial,
	}
}

// runDisk saves records until the loop ends.
func (l *Loop) runDisk() {
	for {
		select {
		case <-l.done:
			return
		case s := <-l.saves:
			err := l.write(s.record)
			l.put(func(now time.Time) {
				l.saving = false
				if err == nil {
					l.config.World.MarkSaved(s.serial, now)
				}
			})
		}
	}
}

func (l *Loop) write(record zfquorum.Record) error {
	start := l.config.Clock.Now()
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(record)
	if err == nil {
		err = l.config.RecordStore.Save(buffer.Bytes())
	}
	l.config.Counters.SaveTime.Update(l.config.Clock.Now().Sub(start))
	if err == nil {
		return nil
	}
	l.config.Logger.Entry(zfevent.StateSaveFailed).Err(err).Uint64("term", record.Term).
		Uint64("index", record.Entry.Index).Msg("")
	pause, release := l.config.Clock.After(saveRetry)
	defer release()
	select {
	case <-pause:
	case <-l.done:
	}
	return err
}
