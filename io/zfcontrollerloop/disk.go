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

// saveRetryPause is the pause after a record could not be saved.
const saveRetryPause = 250 * time.Millisecond

// recordSave is a record to be saved, with its serial number.
type recordSave struct {
	record zfquorum.Record
	serial uint64
}

// LoadRecord returns the saved record; ok is false if there is none.
func LoadRecord(store zf.Store) (record zfquorum.Record, ok bool, err error) {
	text, err := store.Load()
	if err != nil || text == nil {
		return record, false, errors.Wrap(err, "load replicated record")
	}
	err = gob.NewDecoder(bytes.NewReader(text)).Decode(&record)
	return record, err == nil, errors.Wrap(err, "decode replicated record")
}

// saveRecord passes the newest record to runRecordSaver, one at a time. Of the records
// that come while the disk is busy, only the newest is saved.
func (l *Loop) saveRecord() {
	record, serial, ok := l.config.World.Replica().Unsaved()
	if !ok || l.savingRecord {
		return
	}
	l.savingRecord = true
	l.recordSaves <- recordSave{
		record: record,
		serial: serial,
	}
}

// runRecordSaver saves records until the loop ends. It has a goroutine of its own, so
// that the control goroutine never waits for the disk.
func (l *Loop) runRecordSaver() {
	for {
		select {
		case <-l.done:
			return
		case s := <-l.recordSaves:
			err := l.writeRecord(s.record)
			l.enqueue(func(now time.Time) {
				l.savingRecord = false
				if err == nil {
					l.config.World.MarkSaved(s.serial, now)
				}
			})
		}
	}
}

func (l *Loop) writeRecord(record zfquorum.Record) error {
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
	pause, release := l.config.Clock.After(saveRetryPause)
	defer release()
	select {
	case <-pause:
	case <-l.done:
	}
	return err
}
