// Package zfreview holds the stand-ins of the review's cases: a small deployment of the
// real programs on loopback, backend servers, callers and an operator that use the
// platform's published protocol.
package zfreview

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Record writes what was sent, answered and run to a file, one line per event, with the
// seconds since the start.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	return &Record{
		file:  file,
		start: time.Now(),
	}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// A lost line shows in the record; the result doesn't depend on it.
	_, _ = fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() error { return errors.Wrap(r.file.Close(), "close record") }
