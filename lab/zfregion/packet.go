package zfregion

import (
	"fmt"

	zf "zinniafront"
)

// ReadyInstances returns the indexes of the instances that the fabric sprays over.
func (r *Region) ReadyInstances() []int {
	ready := make([]int, 0, len(r.instances))
	for i, instance := range r.instances {
		if instance.Running && instance.World.Ready() {
			ready = append(ready, i)
		}
	}
	return ready
}

// lost decides whether something gets lost between two instances.
func (r *Region) lost(from, to int) bool {
	return r.instances[from].DropOutgoing || r.instances[from].PartitionSide != r.instances[to].PartitionSide ||
		r.config.Links.LossRate > 0 && r.random.Float64() < r.config.Links.LossRate
}

// packet lets one packet travel from the fabric. It returns the verdict that
// ended its way; a lost packet is dropped without a reason.
func (r *Region) packet(packet zf.Packet) zf.Verdict {
	ready := r.ReadyInstances()
	lost := zf.Verdict{
		Action: zf.ActionDrop,
		Server: zf.NoServer,
	}
	if len(ready) == 0 {
		return lost
	}
	i := ready[r.random.IntN(len(ready))]
	verdict := r.route(i, packet)
	for verdict.Action == zf.ActionRelay {
		r.Reasons[verdict.Reason]++
		to := r.find(verdict.To)
		if to < 0 || !r.instances[to].Running || r.lost(i, to) {
			return lost
		}
		packet.Relay = r.instances[i].Member.Relay
		i = to
		verdict = r.route(i, packet)
	}
	if verdict.Action != zf.ActionForward {
		r.Reasons[verdict.Reason]++
		return verdict
	}
	r.Forwarded++
	return verdict
}

// route lets one instance decide a packet.
func (r *Region) route(i int, packet zf.Packet) zf.Verdict {
	verdict := r.instances[i].World.Mapper().Route(packet, r.now)
	if r.config.Trace != nil {
		r.config.Trace(packet, fmt.Sprintf("%s %s kind %d relay %s: action %d to %s reason %s", r.Elapsed(),
			r.instances[i].Member.Name, packet.Kind, packet.Relay, verdict.Action, verdict.To, verdict.Reason))
	}
	return verdict
}
