package zfforwardloop

import (
	"time"

	zf "zinniafront"
	"zinniafront/io/zfevent"
)

const (
	// measureInterval is the minimum time between two measurements of resources,
	// idleMeasureInterval the same while the use of each was under idleUse.
	measureInterval     = 200 * time.Millisecond
	idleMeasureInterval = 500 * time.Millisecond
	idleUse             = 0.5
	// maxLateness is the lateness of a tick that counts as full use of the queue: callers
	// send an opening packet again after that time, which adds to the load.
	maxLateness = 200 * time.Millisecond
)

// resourceState is what the control goroutine keeps of measurements.
type resourceState struct {
	measured time.Time
	// interval is the time until the next measurement.
	interval time.Duration
	// lateness is the greatest lateness of a tick since the last measurement.
	lateness time.Duration
	// strain and steppedOut are the states last logged.
	strain     zf.Strain
	steppedOut bool
}

// OnStrainChanged sets the handler that receives each change of this instance's strain.
// Call it before Run.
func (l *Loop) OnStrainChanged(handler func(strain zf.Strain)) { l.strainHandler = handler }

// Admit reports whether a packet may be forwarded although this instance is overloaded. It
// is safe for concurrent use.
func (l *Loop) Admit(packet zf.Packet) bool { return l.config.World.Admit(packet) }

// measure measures the use of resources if that is due. late is the lateness of the tick,
// which shows how long the goroutines of this process wait for the processor.
func (l *Loop) measure(late time.Duration, now time.Time) {
	if l.config.Meter == nil {
		return
	}
	state := &l.resources
	state.lateness = max(state.lateness, late)
	if now.Sub(state.measured) < state.interval {
		return
	}
	state.measured = now
	uses := append(l.config.Meter.Measure(now), zf.ResourceUse{
		Resource: zf.ResourceQueue,
		Use:      float64(state.lateness) / float64(maxLateness),
	})
	state.lateness = 0
	state.interval = idleMeasureInterval
	for _, use := range uses {
		if use.Use >= idleUse {
			state.interval = measureInterval
		}
	}
	l.config.World.MeasureResources(uses, now)
	l.recordUses()
}

// recordUses sets the gauges of resources.
func (l *Loop) recordUses() {
	world, counters := l.config.World, l.config.Counters
	for _, use := range world.ResourceUses() {
		counters.ResourceUse[use.Resource].Update(use.Use)
	}
	counters.Strain.Update(int64(world.Strain()))
	counters.Shed.Update(world.ShedShare())
}

// publishStrain publishes and logs changes of the strain, and of the leave from the
// rotation.
func (l *Loop) publishStrain() {
	world, state := l.config.World, &l.resources
	if strain := world.Strain(); strain != state.strain {
		entry := l.config.Logger.Entry(zfevent.StrainChanged).Str("strain", strain.String()).Str("before", state.strain.String())
		for _, use := range world.ResourceUses() {
			entry = entry.Float64(use.Resource.String(), use.Use)
		}
		entry.Msg("")
		state.strain = strain
		if l.strainHandler != nil {
			l.strainHandler(strain)
		}
	}
	if out := world.SteppedOut(); out != state.steppedOut {
		state.steppedOut = out
		l.config.Logger.Entry(zfevent.StepOutChanged).Bool("out", out).Str("strain", world.Strain().String()).Msg("")
	}
}
