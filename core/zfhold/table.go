// Package zfhold keeps the packets that arrive at an instance before it knows the routes
// and backend servers, until it does. After an outage of all instances the fabric sends
// packets to each as soon as it runs, and a caller whose packet is lost then waits for its
// next retransmission, which may be later than its deadline.
package zfhold

import (
	"cmp"
	"slices"
	"sync"
	"time"

	zf "zinniafront"
)

const (
	// maxRows and maxBytes bound the table.
	maxRows  = 1024
	maxBytes = 1 << 20
	// maxAge is the age from which a packet isn't released: its caller retransmits an
	// opening packet after 200 and 600 ms.
	maxAge = 600 * time.Millisecond
	// copyMargin is the time before and after the arrival of a copy in which the opening
	// packet before it isn't released.
	copyMargin = 50 * time.Millisecond
	// sweepInterval is the minimum time between two removals of packets of maxAge.
	sweepInterval = 100 * time.Millisecond
)

// copyDelays are the times from an opening packet to its copies, by the number of copies
// that went before it.
var copyDelays = [][]time.Duration{
	{200 * time.Millisecond, 600 * time.Millisecond},
	{400 * time.Millisecond},
}

// key identifies a packet and its retransmissions.
type key struct {
	flow     zf.Flow
	kind     zf.PacketKind
	sequence uint32
}

type row struct {
	frame     []byte
	arrivedAt time.Time
	// copyDelays are the times from arrivedAt to copies of the packet that may follow.
	copyDelays []time.Duration
}

// Table holds the packets. It is safe for concurrent use by the traffic goroutines and the
// control goroutine.
type Table struct {
	mutex    sync.Mutex
	rows     map[key]row
	bytes    int
	swept    time.Time
	released bool
}

// New returns an empty table.
func New() *Table {
	return &Table{
		rows: make(map[key]row),
	}
}

// Add adds a copy of a packet's frame. A retransmission replaces the packet before it, so
// that only one is forwarded. It returns false if the packets have been released or there
// is no room.
func (t *Table) Add(packet *zf.Packet, frame []byte, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k := key{
		flow:     packet.Flow,
		kind:     packet.Kind,
		sequence: packet.Sequence,
	}
	if t.released || !t.hasRoom(k, len(frame)) && !(t.sweep(now) && t.hasRoom(k, len(frame))) {
		return false
	}
	t.bytes += len(frame) - len(t.rows[k].frame)
	t.rows[k] = row{
		frame:      slices.Clone(frame),
		arrivedAt:  now,
		copyDelays: copyDelaysOf(packet),
	}
	return true
}

// hasRoom reports whether a packet of a size may be added, in place of one with its key.
func (t *Table) hasRoom(k key, size int) bool {
	earlier, known := t.rows[k]
	return (known || len(t.rows) < maxRows) && t.bytes+size-len(earlier.frame) <= maxBytes
}

// sweep removes the packets that would not be released for their age. It returns false if it
// has just done so.
func (t *Table) sweep(now time.Time) bool {
	if now.Sub(t.swept) < sweepInterval {
		return false
	}
	t.swept = now
	for k, r := range t.rows {
		if now.Sub(r.arrivedAt) >= maxAge {
			t.bytes -= len(r.frame)
			delete(t.rows, k)
		}
	}
	return true
}

// copyDelaysOf returns the times until copies of a packet that may follow.
func copyDelaysOf(packet *zf.Packet) []time.Duration {
	if packet.Kind != zf.PacketOpening || packet.Retransmissions >= len(copyDelays) {
		return nil
	}
	return copyDelays[packet.Retransmissions]
}

// mayRelease reports whether the packet may be released. Around the arrival of a copy it may
// not: the two would go to different backend servers, and both would answer.
func (r *row) mayRelease(now time.Time) bool {
	age := now.Sub(r.arrivedAt)
	return age < maxAge && !slices.ContainsFunc(r.copyDelays, func(delay time.Duration) bool { return (age - delay).Abs() < copyMargin })
}

// Release empties the table for good and returns the frames that are not older than maxAge
// and whose copies are not due, in the order of their arrival.
func (t *Table) Release(now time.Time) [][]byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rows := make([]row, 0, len(t.rows))
	for _, r := range t.rows {
		if r.mayRelease(now) {
			rows = append(rows, r)
		}
	}
	t.rows = nil
	t.released = true
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.arrivedAt.UnixNano(), b.arrivedAt.UnixNano()) })
	frames := make([][]byte, 0, len(rows))
	for _, r := range rows {
		frames = append(frames, r.frame)
	}
	return frames
}
