package zfcluster

import (
	"net/netip"
	"sync"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
)

const (
	// mailTimeout bounds a delivery; elections go by about a second.
	mailTimeout = 700 * time.Millisecond
	// mailQueue bounds the messages that wait for one instance. They are
	// repeated, so that those over it may get lost.
	mailQueue = 64
	// mailIdle is how long the goroutine of an address waits for messages.
	mailIdle = 30 * time.Second
)

// Transport delivers messages of the replication, with one goroutine an address,
// so that an instance that doesn't answer holds up nobody else.
type Transport struct {
	clock  zf.Clock
	mutex  sync.Mutex
	boxes  map[netip.AddrPort]*box
	closed chan struct{}
}

type box struct {
	messages chan zfquorum.Message
}

// NewTransport returns a mailer without connections.
func NewTransport(clock zf.Clock) *Transport {
	return &Transport{
		clock:  clock,
		boxes:  make(map[netip.AddrPort]*box),
		closed: make(chan struct{}),
	}
}

// Send queues messages. It never blocks.
func (m *Transport) Send(messages []zfquorum.Message) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, message := range messages {
		b := m.boxes[message.Address]
		if b == nil {
			b = &box{
				messages: make(chan zfquorum.Message, mailQueue),
			}
			m.boxes[message.Address] = b
			go m.run(message.Address, b)
		}
		select {
		case b.messages <- message:
		default: // The receiver doesn't answer; what matters is sent again.
		}
	}
}

// Close ends all deliveries.
func (m *Transport) Close() { close(m.closed) }

func (m *Transport) run(address netip.AddrPort, b *box) {
	client := NewClient(address, m.clock)
	defer client.Close()
	for {
		idle, release := m.clock.After(mailIdle)
		select {
		case <-m.closed:
			release()
			return
		case <-idle:
			if m.retire(address, b) {
				return
			}
		case message := <-b.messages:
			release()
			args := DeliverArgs{
				Messages: append([]zfquorum.Message{message}, b.waiting()...),
			}
			// A message that gets lost is repeated by the replication.
			_ = client.Deliver(args, mailTimeout)
		}
	}
}

// waiting returns the messages that wait behind the first one.
func (b *box) waiting() []zfquorum.Message {
	messages := make([]zfquorum.Message, 0, len(b.messages))
	for range len(b.messages) {
		messages = append(messages, <-b.messages)
	}
	return messages
}

// retire removes a box that nobody has sent to for a while.
func (m *Transport) retire(address netip.AddrPort, b *box) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(b.messages) > 0 {
		return false
	}
	delete(m.boxes, address)
	return true
}
