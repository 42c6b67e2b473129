// Package zfregion simulates a region in one goroutine and with a simulated
// clock: the decisions of many instances, and simple models of the links, the
// backend servers and the callers. A run depends on its configuration and its
// seed alone.
package zfregion

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfinstance"
	"zinniafront/core/zfmember"
	"zinniafront/core/zfpicker"
)

// LinkConfig holds the delays and faults of the links on which messages and
// packets travel.
type LinkConfig struct {
	// Delay is the shortest time on a link. A random time below Jitter is
	// added.
	Delay  time.Duration
	Jitter time.Duration
	// LossRate is the share of messages and packets that are lost.
	LossRate float64
	// LateRate is the share of messages that are delayed by another LateDelay.
	LateRate  float64
	LateDelay time.Duration
	// DuplicateRate is the share of messages that are delivered twice.
	DuplicateRate float64
}

// Config holds the parameters of a region.
type Config struct {
	Seed      uint64
	Bundle    *zfbundle.Bundle
	Instances int
	// Servers is the number of backend servers of each service.
	Servers map[zf.ServiceName]int
	Links   LinkConfig
	// MaxStateDelay bounds the random time until an instance receives a control
	// state.
	MaxStateDelay time.Duration
	// TickInterval is the time between two ticks of an instance.
	TickInterval time.Duration
	// Mapper returns the mapper of a new incarnation of an instance.
	Mapper func(self zf.MemberView, start time.Time) zf.Mapper
	// MessageSize returns the size of a message on the wire. If it is nil, no
	// bytes are counted.
	MessageSize func(zf.Envelope) int
	// HeartbeatBandwidth is the number of bytes a second for heartbeats; 0
	// selects the default of zfmember.
	HeartbeatBandwidth int
	// Trace is called with a line of text for each routing decision. It may be
	// nil.
	Trace func(packet zf.Packet, line string)
}

// Instance is one entry instance.
type Instance struct {
	Member zf.MemberView
	World  *zfinstance.World
	// Running is set while the process runs. SentBytes is the number of control
	// bytes that it sent.
	Running   bool
	SentBytes int
	// PartitionSide is the side of a partition that the instance is on.
	PartitionSide int
	// DropOutgoing is set if everything that the instance sends to other
	// instances is lost.
	DropOutgoing bool
	nextTick     time.Time
	stopping     bool
}

// Region is a simulated deployment.
type Region struct {
	config          Config
	now             time.Time
	start           time.Time
	random          *rand.Rand
	instances       []*Instance
	servers         *Servers
	flows           *Flows
	deliveries      deliveryQueue
	state           zfinstance.State
	lastIncarnation uint64
	// lastInstanceLoss is when an event last killed or partitioned an instance.
	lastInstanceLoss time.Time
	// Reasons counts the verdicts on packets by reason.
	Reasons map[zf.Reason]int
	// Forwarded is the number of packets forwarded to backend servers.
	Forwarded int
}

// startTime is the simulated time at which every run starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a region whose instances have just started.
func New(config Config) *Region {
	r := &Region{
		config:  config,
		now:     startTime,
		start:   startTime,
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		Reasons: make(map[zf.Reason]int),
	}
	r.servers = newServers(config.Bundle)
	r.flows = newFlows(r)
	for i := range config.Instances {
		r.instances = append(r.instances, &Instance{
			Member: r.memberView(i),
		})
	}
	for _, service := range config.Bundle.Services {
		for range config.Servers[service.Name] {
			r.servers.add(service.Name, zf.ServerWarm, r.now)
		}
	}
	r.state = zfinstance.State{
		Sequence: 1,
		Bundle:   config.Bundle,
	}
	for i := range r.instances {
		r.launch(i)
	}
	return r
}

func (r *Region) memberView(i int) zf.MemberView {
	centres := r.config.Bundle.Centres
	ip := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
	return zf.MemberView{
		Name:    zf.InstanceName(fmt.Sprintf("entry-%d", i)),
		Centre:  centres[i%len(centres)].Name,
		Relay:   netip.AddrPortFrom(ip, 1),
		Control: netip.AddrPortFrom(ip, 2),
	}
}

// launch starts a new incarnation of an instance with empty tables.
func (r *Region) launch(i int) {
	r.lastIncarnation++
	instance := r.instances[i]
	instance.Member.Incarnation = r.lastIncarnation
	instance.Running = true
	instance.stopping = false
	instance.nextTick = r.now.Add(time.Duration(r.random.Int64N(int64(r.config.TickInterval))))
	seeds := make([]netip.AddrPort, 0, len(r.instances))
	for j := range r.instances {
		if j != i {
			seeds = append(seeds, r.instances[j].Member.Control)
		}
	}
	member := zfmember.DefaultConfig(instance.Member, seeds)
	if r.config.HeartbeatBandwidth > 0 {
		member.BytesPerSecond = r.config.HeartbeatBandwidth
	}
	instance.World = zfinstance.New(zfinstance.Config{
		Member: member,
		Mapper: r.config.Mapper(instance.Member, r.now),
		Picker: zfpicker.TwoChoices{},
		Random: rand.New(rand.NewPCG(r.config.Seed, r.lastIncarnation)),
	})
	r.sendState(i)
}

// sendState sends the control state to an instance. It arrives after a random
// delay of up to MaxStateDelay.
func (r *Region) sendState(i int) {
	delay := time.Duration(0)
	if r.config.MaxStateDelay > 0 {
		delay = time.Duration(r.random.Int64N(int64(r.config.MaxStateDelay)))
	}
	r.deliveries.push(delivery{
		arrival:     r.now.Add(delay),
		to:          i,
		incarnation: r.instances[i].Member.Incarnation,
		state:       &r.state,
	})
}

// Now returns the simulated time.
func (r *Region) Now() time.Time { return r.now }

// Elapsed returns the time since the region's start.
func (r *Region) Elapsed() time.Duration { return r.now.Sub(r.start) }

// Instances returns the instances.
func (r *Region) Instances() []*Instance { return r.instances }

// Servers returns the backend servers.
func (r *Region) Servers() *Servers { return r.servers }

// Flows returns the callers' flows.
func (r *Region) Flows() *Flows { return r.flows }

// KillInstance ends an instance without notice.
func (r *Region) KillInstance(i int) {
	r.instances[i].Running = false
	r.instances[i].World = nil
}

// StartInstance starts an instance that is not running.
func (r *Region) StartInstance(i int) {
	if !r.instances[i].Running {
		r.launch(i)
	}
}

// StopInstance begins a planned stop of an instance.
func (r *Region) StopInstance(i int) {
	if r.instances[i].Running {
		r.instances[i].stopping = true
		r.instances[i].World.Stop(r.now)
	}
}

// AddInstance adds an instance and starts it.
func (r *Region) AddInstance() {
	i := len(r.instances)
	r.instances = append(r.instances, &Instance{
		Member: r.memberView(i),
	})
	r.launch(i)
}

// Partition moves instances to one side of a partition. Messages and packets
// between different sides are lost. All other instances are on side 0.
func (r *Region) Partition(side int, instances ...int) {
	for _, i := range instances {
		r.instances[i].PartitionSide = side
	}
}

// Heal ends every partition, and the loss of outgoing messages of every
// instance.
func (r *Region) Heal() {
	for _, instance := range r.instances {
		instance.PartitionSide = 0
		instance.DropOutgoing = false
	}
}

// SetCentreOut takes a data centre out or brings it back.
func (r *Region) SetCentreOut(centre zf.CentreName, out bool) {
	outCentres := make([]zf.CentreName, 0, 2)
	for _, other := range r.state.Out {
		if other != centre {
			outCentres = append(outCentres, other)
		}
	}
	if out {
		outCentres = append(outCentres, centre)
		r.flows.markCentreOut(centre)
	}
	r.state = zfinstance.State{
		Sequence: r.state.Sequence + 1,
		Bundle:   r.state.Bundle,
		Out:      outCentres,
	}
	for i := range r.instances {
		r.sendState(i)
	}
}

func (r *Region) isOut(centre zf.CentreName) bool { return slices.Contains(r.state.Out, centre) }

// RollBundle puts another bundle in force.
func (r *Region) RollBundle(bundle *zfbundle.Bundle) {
	r.state = zfinstance.State{
		Sequence: r.state.Sequence + 1,
		Bundle:   bundle,
		Out:      r.state.Out,
	}
	for i := range r.instances {
		r.sendState(i)
	}
}

// Advance runs the simulation for a duration.
func (r *Region) Advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.step()
	}
}

// RunUntil runs the simulation until done returns true, for at most limit. It
// reports the last result of done.
func (r *Region) RunUntil(limit time.Duration, done func() bool) bool {
	for end := r.now.Add(limit); r.now.Before(end); {
		if done() {
			return true
		}
		r.step()
	}
	return done()
}

// stepsPerTick is the number of steps of the simulation in a TickInterval.
// Backend servers and flows advance at every step, an instance ticks once in a
// TickInterval.
const stepsPerTick = 10

func (r *Region) step() {
	r.now = r.now.Add(r.config.TickInterval / stepsPerTick)
	r.deliverArrived()
	for i, instance := range r.instances {
		if instance.Running && !r.now.Before(instance.nextTick) {
			instance.nextTick = r.now.Add(r.config.TickInterval)
			r.tickInstance(i)
		}
	}
	r.announce()
	r.flows.tick()
}

func (r *Region) tickInstance(i int) {
	instance := r.instances[i]
	for _, envelope := range instance.World.Tick(r.now) {
		r.sendMessage(i, envelope)
	}
	if instance.stopping && instance.World.Stopped(r.now) {
		for _, envelope := range instance.World.LeaveMessages() {
			r.sendMessage(i, envelope)
		}
		r.KillInstance(i)
	}
}

// announce sends each announcement that is due to a random running instance.
func (r *Region) announce() {
	running := make([]int, 0, len(r.instances))
	for i, instance := range r.instances {
		if instance.Running {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return
	}
	for _, a := range r.servers.tick(r.now) {
		instance := r.instances[running[r.random.IntN(len(running))]]
		instance.World.Announce(a, r.now)
	}
}

// instanceIndex returns the index of the instance with a relay or control
// address, or -1.
func (r *Region) instanceIndex(address netip.AddrPort) int {
	b := address.Addr().As4()
	i := int(b[2])<<8 | int(b[3])
	if i >= len(r.instances) {
		return -1
	}
	return i
}
