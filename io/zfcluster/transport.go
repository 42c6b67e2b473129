package zfcluster

import (
	"net/netip"
	"sync"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
)

const (
	// deliverTimeout bounds a delivery; it is below the election timeout of about a
	// second.
	deliverTimeout = 700 * time.Millisecond
	// maxQueuedMessages bounds the messages queued for one instance. The replication
	// repeats messages, so those in excess may be dropped.
	maxQueuedMessages = 64
	// idleTimeout is how long the goroutine of an address waits for messages before it
	// ends.
	idleTimeout = 30 * time.Second
)

// Transport delivers replication messages, with one goroutine per address, so that an
// instance that doesn't answer doesn't delay the others.
type Transport struct {
	clock    zf.Clock
	mutex    sync.Mutex
	outboxes map[netip.AddrPort]*outbox
	closed   chan struct{}
}

type outbox struct {
	messages chan zfquorum.Message
}

// NewTransport returns a transport without connections.
func NewTransport(clock zf.Clock) *Transport {
	return &Transport{
		clock:    clock,
		outboxes: make(map[netip.AddrPort]*outbox),
		closed:   make(chan struct{}),
	}
}

// Send queues messages. It never blocks.
func (t *Transport) Send(messages []zfquorum.Message) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, message := range messages {
		o := t.outboxes[message.Address]
		if o == nil {
			o = &outbox{
				messages: make(chan zfquorum.Message, maxQueuedMessages),
			}
			t.outboxes[message.Address] = o
			go t.run(message.Address, o)
		}
		select {
		case o.messages <- message:
		default: // The receiver doesn't answer; the replication repeats the message.
		}
	}
}

// Close stops all deliveries.
func (t *Transport) Close() { close(t.closed) }

func (t *Transport) run(address netip.AddrPort, o *outbox) {
	client := NewClient(address, t.clock)
	defer client.Close()
	for {
		idle, release := t.clock.After(idleTimeout)
		select {
		case <-t.closed:
			release()
			return
		case <-idle:
			if t.removeIdle(address, o) {
				return
			}
		case message := <-o.messages:
			release()
			args := DeliverArgs{
				Messages: append([]zfquorum.Message{message}, o.drain()...),
			}
			// The replication repeats a lost message.
			_ = client.Deliver(args, deliverTimeout)
		}
	}
}

// drain removes and returns the queued messages.
func (o *outbox) drain() []zfquorum.Message {
	messages := make([]zfquorum.Message, 0, len(o.messages))
	for range len(o.messages) {
		messages = append(messages, <-o.messages)
	}
	return messages
}

// removeIdle removes an outbox unless messages are queued.
func (t *Transport) removeIdle(address netip.AddrPort, o *outbox) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(o.messages) > 0 {
		return false
	}
	delete(t.outboxes, address)
	return true
}
