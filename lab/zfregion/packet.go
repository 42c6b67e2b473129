package zfregion

import (
	"fmt"

	zf "zinniafront"
)

// ReadyInstances returns the indexes of the instances to which the fabric sends
// packets.
func (r *Region) ReadyInstances() []int {
	ready := make([]int, 0, len(r.instances))
	for i, instance := range r.instances {
		if instance.Running && instance.World.Ready() {
			ready = append(ready, i)
		}
	}
	return ready
}

// isLost decides whether a message or packet from one instance to another is
// lost.
func (r *Region) isLost(from, to int) bool {
	return r.instances[from].DropOutgoing || r.instances[from].PartitionSide != r.instances[to].PartitionSide ||
		r.config.Links.LossRate > 0 && r.random.Float64() < r.config.Links.LossRate
}

// routePacket sends a packet from the fabric to a random ready instance,
// follows its relays and returns the last verdict. The verdict on a lost packet
// is to drop it, without a reason.
func (r *Region) routePacket(packet zf.Packet) zf.Verdict {
	ready := r.ReadyInstances()
	dropped := zf.Verdict{
		Action: zf.ActionDrop,
		Server: zf.NoServer,
	}
	if len(ready) == 0 {
		return dropped
	}
	i := ready[r.random.IntN(len(ready))]
	verdict := r.routeOn(i, packet)
	for verdict.Action == zf.ActionRelay {
		r.Reasons[verdict.Reason]++
		to := r.instanceIndex(verdict.To)
		if to < 0 || !r.instances[to].Running || r.isLost(i, to) {
			return dropped
		}
		packet.Relay = r.instances[i].Member.Relay
		i = to
		verdict = r.routeOn(i, packet)
	}
	if verdict.Action != zf.ActionForward {
		r.Reasons[verdict.Reason]++
		return verdict
	}
	r.Forwarded++
	return verdict
}

// routeOn returns the verdict of one instance on a packet.
func (r *Region) routeOn(i int, packet zf.Packet) zf.Verdict {
	verdict := r.instances[i].World.Mapper().Route(packet, r.now)
	if r.config.Trace != nil {
		r.config.Trace(packet, fmt.Sprintf("%s %s kind %d relay %s: action %d to %s reason %s", r.Elapsed(),
			r.instances[i].Member.Name, packet.Kind, packet.Relay, verdict.Action, verdict.To, verdict.Reason))
	}
	return verdict
}
