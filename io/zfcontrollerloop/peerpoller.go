package zfcontrollerloop

import (
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/io/zfcluster"
)

const (
	// peerHold is how long another control instance holds a fetch back. It bounds the
	// time between its replies, each of which stands for the heartbeats that it
	// receives.
	peerHold = 400 * time.Millisecond
	// peerMargin is how much longer a reply may take.
	peerMargin = 500 * time.Millisecond
	// peerRetryPause is the pause after a peer did not answer.
	peerRetryPause = 200 * time.Millisecond
	// peerSessionTimeout is the time without a reply after which a new session begins. Less
	// than that changes no row here.
	peerSessionTimeout = 2 * time.Second
	// peerListInterval is the time between two updates of the list of peers.
	peerListInterval = 200 * time.Millisecond
)

// PeerPoller fetches from each other control instance the changes of its backend
// servers, those of which it is the heartbeat receiver, the loads that its subscribers
// report and the subscribers' addresses. It needs no leader, so that the table of
// backend servers stays current in a minority too.
type PeerPoller struct {
	loop    *Loop
	clock   zf.Clock
	name    zf.InstanceName
	running map[netip.AddrPort]chan struct{}
}

// NewPeerPoller returns a poller that has not started.
func NewPeerPoller(loop *Loop, name zf.InstanceName, clock zf.Clock) *PeerPoller {
	return &PeerPoller{
		loop:    loop,
		clock:   clock,
		name:    name,
		running: make(map[netip.AddrPort]chan struct{}),
	}
}

// Run polls the peers until the loop ends.
func (p *PeerPoller) Run() {
	for {
		var nodes []zfquorum.Node
		err := p.loop.do(func(now time.Time) { nodes = p.loop.config.World.Replica().Nodes(now) })
		if err != nil {
			break
		}
		p.updatePolls(nodes)
		pause, release := p.clock.After(peerListInterval)
		select {
		case <-pause:
		case <-p.loop.done:
			release()
		}
	}
	for _, stop := range p.running {
		close(stop)
	}
}

// updatePolls starts polling new peers and stops polling those that are gone.
func (p *PeerPoller) updatePolls(nodes []zfquorum.Node) {
	self := p.loop.config.World.Replica().Self().Address
	wanted := make(map[netip.AddrPort]bool, len(nodes))
	for _, node := range nodes {
		if node.Address == self {
			continue
		}
		wanted[node.Address] = true
		if p.running[node.Address] == nil {
			stop := make(chan struct{})
			p.running[node.Address] = stop
			go p.poll(node.Address, stop)
		}
	}
	for address, stop := range p.running {
		if !wanted[address] {
			close(stop)
			delete(p.running, address)
		}
	}
}

// poll fetches from one peer until stop is closed.
func (p *PeerPoller) poll(address netip.AddrPort, stop <-chan struct{}) {
	client := zfcluster.NewClient(address, p.clock)
	defer client.Close()
	args := zfcluster.FetchArgs{
		Instance: p.name,
		Centre:   p.loop.config.World.Replica().Self().Centre,
		Control:  true,
		Hold:     peerHold,
	}
	var progress zfcluster.Progress
	lastReply := p.clock.Now()
	for {
		if !progress.Starting() && p.clock.Now().Sub(lastReply) >= peerSessionTimeout {
			progress = zfcluster.Progress{} // Rows may have expired here while the peer has no changes.
		}
		args.Digests = nil
		if progress.Starting() {
			args.Digests = p.loop.Digests()
		}
		progress.Request(&args)
		start := p.clock.Now()
		reply, err := client.Fetch(args, peerHold+peerMargin)
		pause := peerRetryPause
		if err == nil {
			lastReply = p.clock.Now()
			progress.Record(reply)
			p.loop.ApplyPeerReply(address, reply, lastReply.Sub(start)-reply.Held)
			pause = 0
		}
		wait, release := p.clock.After(pause)
		select {
		case <-stop:
			release()
			return
		case <-wait:
		}
	}
}
