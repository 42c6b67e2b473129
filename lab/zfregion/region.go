// Package zfregion runs the decisions of many instances in one goroutine under
// a fake clock, with small stand-ins for the links, the backend servers and
// the callers. A run depends on its configuration and its seed alone.
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

// Links describes how messages and packets travel between machines.
type Links struct {
	// Delay and Jitter bound the time on the way: Delay to Delay plus Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the share of messages and packets that get lost.
	Loss float64
	// Late is the share of messages that come LateBy later.
	Late   float64
	LateBy time.Duration
	// Doubled is the share of messages that come twice.
	Doubled float64
}

// Config describes a region.
type Config struct {
	Seed      uint64
	Bundle    *zfbundle.Bundle
	Instances int
	// Servers is the number of backend servers of each service.
	Servers map[zf.ServiceName]int
	Links   Links
	// Spread is the longest time until a control state reaches an instance.
	Spread time.Duration
	// Step is the time between two ticks of an instance.
	Step time.Duration
	// Mapper makes the mapper of one run of an instance.
	Mapper func(self zf.MemberView, start time.Time) zf.Mapper
	// Bytes returns the size of a message on the wire; nil counts none.
	Bytes func(zf.Envelope) int
	// Budget is the byte budget for heartbeats; 0 takes the default.
	Budget int
	// Trace gets a line for each packet on its way; nil traces nothing.
	Trace func(packet zf.Packet, line string)
}

// Instance is one entry instance.
type Instance struct {
	Member zf.MemberView
	World  *zfinstance.World
	// Up tells that the process runs, Sent counts its control bytes.
	Up   bool
	Sent int
	// Group is the side of a partition that the instance is on.
	Group int
	// Mute tells that what the instance sends to others gets lost.
	Mute bool
	next time.Time
	stop bool
}

// Region is the whole deployment.
type Region struct {
	config    Config
	now       time.Time
	start     time.Time
	random    *rand.Rand
	instances []*Instance
	servers   *Servers
	flows     *Flows
	mail      mailbox
	state     zfinstance.State
	runs      uint64
	// killed is when an instance died or was cut off last.
	killed time.Time
	// Reasons counts the verdicts on packets by reason.
	Reasons map[zf.Reason]int
	// Forwarded counts the packets that went to a backend server.
	Forwarded int
}

// origin is when every run begins.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a region whose instances have just started.
func New(config Config) *Region {
	r := &Region{
		config:  config,
		now:     origin,
		start:   origin,
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		Reasons: make(map[zf.Reason]int),
	}
	r.servers = newServers(config.Bundle)
	r.flows = newFlows(r)
	for i := range config.Instances {
		r.instances = append(r.instances, &Instance{
			Member: r.member(i),
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

func (r *Region) member(i int) zf.MemberView {
	centres := r.config.Bundle.Centres
	host := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
	return zf.MemberView{
		Name:    zf.InstanceName(fmt.Sprintf("entry-%d", i)),
		Centre:  centres[i%len(centres)].Name,
		Relay:   netip.AddrPortFrom(host, 1),
		Control: netip.AddrPortFrom(host, 2),
	}
}

// launch starts an instance with empty tables.
func (r *Region) launch(i int) {
	r.runs++
	instance := r.instances[i]
	instance.Member.Incarnation = r.runs
	instance.Up = true
	instance.stop = false
	instance.next = r.now.Add(time.Duration(r.random.Int64N(int64(r.config.Step))))
	seeds := make([]netip.AddrPort, 0, len(r.instances))
	for j := range r.instances {
		if j != i {
			seeds = append(seeds, r.instances[j].Member.Control)
		}
	}
	member := zfmember.DefaultConfig(instance.Member, seeds)
	if r.config.Budget > 0 {
		member.BytesPerSecond = r.config.Budget
	}
	instance.World = zfinstance.New(zfinstance.Config{
		Member: member,
		Mapper: r.config.Mapper(instance.Member, r.now),
		Picker: zfpicker.TwoChoices{},
		Random: rand.New(rand.NewPCG(r.config.Seed, r.runs)),
	})
	r.inform(i)
}

// inform brings the control state to an instance after a while.
func (r *Region) inform(i int) {
	delay := time.Duration(0)
	if r.config.Spread > 0 {
		delay = time.Duration(r.random.Int64N(int64(r.config.Spread)))
	}
	r.mail.put(letter{
		at:    r.now.Add(delay),
		to:    i,
		run:   r.instances[i].Member.Incarnation,
		state: &r.state,
	})
}

// Now returns the region's time.
func (r *Region) Now() time.Time { return r.now }

// Elapsed returns the time since the region's start.
func (r *Region) Elapsed() time.Duration { return r.now.Sub(r.start) }

// Instances returns the instances.
func (r *Region) Instances() []*Instance { return r.instances }

// Servers returns the backend servers.
func (r *Region) Servers() *Servers { return r.servers }

// Flows returns the callers' flows.
func (r *Region) Flows() *Flows { return r.flows }

// Kill ends an instance without notice.
func (r *Region) Kill(i int) {
	r.instances[i].Up = false
	r.instances[i].World = nil
}

// Start starts an instance that does not run.
func (r *Region) Start(i int) {
	if !r.instances[i].Up {
		r.launch(i)
	}
}

// Stop begins a planned stop of an instance.
func (r *Region) Stop(i int) {
	if r.instances[i].Up {
		r.instances[i].stop = true
		r.instances[i].World.Stop(r.now)
	}
}

// Join adds an instance and starts it.
func (r *Region) Join() {
	i := len(r.instances)
	r.instances = append(r.instances, &Instance{
		Member: r.member(i),
	})
	r.launch(i)
}

// Partition puts instances on a side; messages and packets between different
// sides are lost. Side 0 holds all others.
func (r *Region) Partition(side int, instances ...int) {
	for _, i := range instances {
		r.instances[i].Group = side
	}
}

// Heal ends every partition.
func (r *Region) Heal() {
	for _, instance := range r.instances {
		instance.Group = 0
		instance.Mute = false
	}
}

// Out takes a data centre out or brings it back.
func (r *Region) Out(centre zf.CentreName, out bool) {
	list := make([]zf.CentreName, 0, 2)
	for _, other := range r.state.Out {
		if other != centre {
			list = append(list, other)
		}
	}
	if out {
		list = append(list, centre)
		r.flows.release(centre)
	}
	r.state = zfinstance.State{
		Sequence: r.state.Sequence + 1,
		Bundle:   r.state.Bundle,
		Out:      list,
	}
	for i := range r.instances {
		r.inform(i)
	}
}

func (r *Region) isOut(centre zf.CentreName) bool { return slices.Contains(r.state.Out, centre) }

// Roll puts another bundle in force.
func (r *Region) Roll(bundle *zfbundle.Bundle) {
	r.state = zfinstance.State{
		Sequence: r.state.Sequence + 1,
		Bundle:   bundle,
		Out:      r.state.Out,
	}
	for i := range r.instances {
		r.inform(i)
	}
}

// Advance lets time pass.
func (r *Region) Advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.step()
	}
}

// Until lets time pass until done, for at most limit; it reports whether done.
func (r *Region) Until(limit time.Duration, done func() bool) bool {
	for end := r.now.Add(limit); r.now.Before(end); {
		if done() {
			return true
		}
		r.step()
	}
	return done()
}

// slices of a step: instances, servers and flows act ten times a step.
const slicesPerStep = 10

func (r *Region) step() {
	r.now = r.now.Add(r.config.Step / slicesPerStep)
	r.deliver()
	for i, instance := range r.instances {
		if instance.Up && !r.now.Before(instance.next) {
			instance.next = r.now.Add(r.config.Step)
			r.tick(i)
		}
	}
	r.announce()
	r.flows.tick()
}

func (r *Region) tick(i int) {
	instance := r.instances[i]
	for _, envelope := range instance.World.Tick(r.now) {
		r.post(i, envelope)
	}
	if instance.stop && instance.World.Stopped(r.now) {
		for _, envelope := range instance.World.LeaveMessages() {
			r.post(i, envelope)
		}
		r.Kill(i)
	}
}

// announce sends the announcements that are due to a random instance each.
func (r *Region) announce() {
	up := make([]int, 0, len(r.instances))
	for i, instance := range r.instances {
		if instance.Up {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	for _, a := range r.servers.tick(r.now) {
		instance := r.instances[up[r.random.IntN(len(up))]]
		instance.World.Announce(a, r.now)
	}
}

// find returns the index of the instance with a relay or control address.
func (r *Region) find(address netip.AddrPort) int {
	b := address.Addr().As4()
	i := int(b[2])<<8 | int(b[3])
	if i >= len(r.instances) {
		return -1
	}
	return i
}
