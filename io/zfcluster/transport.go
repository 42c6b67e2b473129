package zfcluster

import (
	"net/netip"
	"sync"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
)

const (
	// deliverTimeout bounds a delivery; elections go by about a second.
	deliverTimeout = 700 * time.Millisecond
	// maxQueuedMessages bounds the messages that wait for one instance. They are
	// repeated, so that those over it may get lost.
	maxQueuedMessages = 64
	// idleTimeout is how long the goroutine of an address waits for messages.
	idleTimeout = 30 * time.Second
)

// Transport delivers messages of the replication, with one goroutine an address,
// so that an instance that doesn't answer holds up nobody else.
type Transport struct {
	clock    zf.Clock
	mutex    sync.Mutex
	outboxes map[netip.AddrPort]*outbox
	closed   chan struct{}
}

type outbox struct {
	messages chan zfquorum.Message
}

// NewTransport returns a mailer without connections.
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
		default: // The receiver doesn't answer; what matters is sent again.
		}
	}
}

// Close ends all deliveries.
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
			// A message that gets lost is repeated by the replication.
			_ = client.Deliver(args, deliverTimeout)
		}
	}
}

// drain returns the messages that wait behind the first one.
func (o *outbox) drain() []zfquorum.Message {
	messages := make([]zfquorum.Message, 0, len(o.messages))
	for range len(o.messages) {
		messages = append(messages, <-o.messages)
	}
	return messages
}

// removeIdle removes a box that nobody has sent to for a while.
func (t *Transport) removeIdle(address netip.AddrPort, o *outbox) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(o.messages) > 0 {
		return false
	}
	delete(t.outboxes, address)
	return true
}
