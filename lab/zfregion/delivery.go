package zfregion

import (
	"container/heap"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfinstance"
)

// delivery is a message or a control state on its way to one run of an instance.
type delivery struct {
	arrival     time.Time
	sequence    uint64
	to          int
	incarnation uint64
	envelope    zf.Envelope
	state       *zfinstance.State
}

// deliveryQueue holds letters by the time at which they arrive.
type deliveryQueue struct {
	heap         deliveryHeap
	lastSequence uint64
}

type deliveryHeap []delivery

func (h deliveryHeap) Len() int { return len(h) }

func (h deliveryHeap) Less(i, j int) bool {
	if h[i].arrival.Equal(h[j].arrival) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].arrival.Before(h[j].arrival)
}

func (h deliveryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deliveryHeap) Push(x any) { *h = append(*h, x.(delivery)) }

// Pop implements heap.Interface.
func (h *deliveryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (q *deliveryQueue) push(d delivery) {
	q.lastSequence++
	d.sequence = q.lastSequence
	heap.Push(&q.heap, d)
}

// popArrived returns the next letter that has arrived.
func (q *deliveryQueue) popArrived(now time.Time) (delivery, bool) {
	if len(q.heap) == 0 || q.heap[0].arrival.After(now) {
		return delivery{}, false
	}
	return heap.Pop(&q.heap).(delivery), true
}

// sendMessage puts an envelope on its way.
func (r *Region) sendMessage(from int, envelope zf.Envelope) {
	if r.config.MessageSize != nil {
		r.instances[from].SentBytes += r.config.MessageSize(envelope)
	}
	to := r.instanceIndex(envelope.Address)
	if to < 0 || r.isLost(from, to) {
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
		r.deliveries.push(delivery{
			arrival:  r.now.Add(delay),
			to:       to,
			envelope: envelope,
		})
	}
}

// deliverArrived hands over the letters that have arrived.
func (r *Region) deliverArrived() {
	for {
		next, ok := r.deliveries.popArrived(r.now)
		if !ok {
			return
		}
		instance := r.instances[next.to]
		switch {
		case !instance.Running:
		case next.state == nil:
			instance.World.Receive(next.envelope, r.now)
		case next.incarnation == instance.Member.Incarnation:
			instance.World.ApplyState(*next.state)
		}
	}
}
