package zfregion

import (
	"container/heap"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfinstance"
)

// delivery is a message or a control state in transit to an instance. A control
// state is delivered only to the incarnation it was sent to.
type delivery struct {
	arrival     time.Time
	sequence    uint64
	to          int
	incarnation uint64
	envelope    zf.Envelope
	state       *zfinstance.State
}

// deliveryQueue holds deliveries in the order of their arrival.
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

// popArrived removes and returns the next delivery that has arrived.
func (q *deliveryQueue) popArrived(now time.Time) (delivery, bool) {
	if len(q.heap) == 0 || q.heap[0].arrival.After(now) {
		return delivery{}, false
	}
	return heap.Pop(&q.heap).(delivery), true
}

// sendMessage sends a message on a link, which may lose, delay or duplicate it.
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

// deliverArrived passes the deliveries that have arrived to their instances.
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
