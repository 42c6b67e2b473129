package zfregion

import (
	"container/heap"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfinstance"
)

// letter is a message or a control state on its way to one run of an instance.
type letter struct {
	at       time.Time
	number   uint64
	to       int
	run      uint64
	envelope zf.Envelope
	state    *zfinstance.State
}

// mailbox holds letters by the time at which they arrive.
type mailbox struct {
	letters letters
	number  uint64
}

type letters []letter

func (l letters) Len() int { return len(l) }

func (l letters) Less(i, j int) bool {
	if l[i].at.Equal(l[j].at) {
		return l[i].number < l[j].number
	}
	return l[i].at.Before(l[j].at)
}

func (l letters) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *letters) Push(x any) { *l = append(*l, x.(letter)) }

// Pop implements heap.Interface.
func (l *letters) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func (m *mailbox) put(next letter) {
	m.number++
	next.number = m.number
	heap.Push(&m.letters, next)
}

// due returns the next letter that has arrived.
func (m *mailbox) due(now time.Time) (letter, bool) {
	if len(m.letters) == 0 || m.letters[0].at.After(now) {
		return letter{}, false
	}
	return heap.Pop(&m.letters).(letter), true
}

// post puts an envelope on its way.
func (r *Region) post(from int, envelope zf.Envelope) {
	if r.config.MessageSize != nil {
		r.instances[from].SentBytes += r.config.MessageSize(envelope)
	}
	to := r.find(envelope.Address)
	if to < 0 || r.lost(from, to) {
		return
	}
	links := r.config.Links
	copies := 1
	if links.DuplicateRate > 0 && r.random.Float64() < links.DuplicateRate {
		copies = 2
	}
	for range copies {
		delay := links.Delay
		if links.Jitter > 0 {
			delay += time.Duration(r.random.Int64N(int64(links.Jitter)))
		}
		if links.LateRate > 0 && r.random.Float64() < links.LateRate {
			delay += links.LateDelay
		}
		r.mail.put(letter{
			at:       r.now.Add(delay),
			to:       to,
			envelope: envelope,
		})
	}
}

// deliver hands over the letters that have arrived.
func (r *Region) deliver() {
	for {
		next, ok := r.mail.due(r.now)
		if !ok {
			return
		}
		instance := r.instances[next.to]
		switch {
		case !instance.Running:
		case next.state == nil:
			instance.World.Receive(next.envelope, r.now)
		case next.run == instance.Member.Incarnation:
			instance.World.ApplyState(*next.state)
		}
	}
}
