package zfcontrollerloop

import (
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/io/zfcluster"
)

const (
	// neighbourHold is how long another control instance holds a fetch back; it
	// bounds the age of what is known of heartbeats.
	neighbourHold = 400 * time.Millisecond
	// neighbourMargin is how much longer an answer may take.
	neighbourMargin = 500 * time.Millisecond
	// neighbourPause is the pause after a neighbour did not answer.
	neighbourPause = 200 * time.Millisecond
	// lookEvery is the time between two looks at who the neighbours are.
	lookEvery = 200 * time.Millisecond
)

// PeerPoller has every other control instance tell the heartbeats that it got,
// without a leader, so that backend servers stay known in a minority too.
type PeerPoller struct {
	loop    *Loop
	clock   zf.Clock
	name    zf.InstanceName
	running map[netip.AddrPort]chan struct{}
}

// NewPeerPoller returns neighbours that are not asked yet.
func NewPeerPoller(loop *Loop, name zf.InstanceName, clock zf.Clock) *PeerPoller {
	return &PeerPoller{
		loop:    loop,
		clock:   clock,
		name:    name,
		running: make(map[netip.AddrPort]chan struct{}),
	}
}

// Run asks the neighbours until the loop ends.
func (n *PeerPoller) Run() {
	for {
		var nodes []zfquorum.Node
		err := n.loop.do(func(now time.Time) { nodes = n.loop.config.World.Replica().Nodes(now) })
		if err != nil {
			break
		}
		n.adjust(nodes)
		pause, release := n.clock.After(lookEvery)
		select {
		case <-pause:
		case <-n.loop.done:
			release()
		}
	}
	for _, stop := range n.running {
		close(stop)
	}
}

// adjust starts to ask new neighbours and stops asking those that are gone.
func (n *PeerPoller) adjust(nodes []zfquorum.Node) {
	self := n.loop.config.World.Replica().Self().Address
	wanted := make(map[netip.AddrPort]bool, len(nodes))
	for _, node := range nodes {
		if node.Address == self {
			continue
		}
		wanted[node.Address] = true
		if n.running[node.Address] == nil {
			stop := make(chan struct{})
			n.running[node.Address] = stop
			go n.ask(node.Address, stop)
		}
	}
	for address, stop := range n.running {
		if !wanted[address] {
			close(stop)
			delete(n.running, address)
		}
	}
}

// ask has one neighbour tell its heartbeats.
func (n *PeerPoller) ask(address netip.AddrPort, stop <-chan struct{}) {
	client := zfcluster.NewClient(address, n.clock)
	defer client.Close()
	args := zfcluster.FetchArgs{
		Instance: n.name,
		Centre:   n.loop.config.World.Replica().Self().Centre,
		Control:  true,
		Hold:     neighbourHold,
	}
	for {
		args.Digests = nil
		if args.Source == 0 {
			args.Digests = n.loop.Digests()
		}
		reply, err := client.Fetch(args, neighbourHold+neighbourMargin)
		pause := neighbourPause
		if err == nil {
			args.More = reply.Changes.More
			args.Bucket = reply.Changes.Next
			if args.Source != 0 || !args.More { // The session begins with the last page.
				args.Source = reply.Source
				args.Cursor = reply.Changes.Cursor
			}
			n.loop.ApplyPeerReply(address, reply)
			pause = 0
		}
		wait, release := n.clock.After(pause)
		select {
		case <-stop:
			release()
			return
		case <-wait:
		}
	}
}
