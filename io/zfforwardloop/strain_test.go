package zfforwardloop_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/io/zfforwardloop"
	"zinniafront/lab/zfassert"
)

// idleMeter is the meter of a process that uses none of its resources.
type idleMeter struct{}

// Measure implements zinniafront.Meter.
func (idleMeter) Measure(time.Time) []zf.ResourceUse { return nil }

// runStrained runs the loop of an entry instance whose ticks are late by a duration for
// ten seconds, and returns the strain that it reports last.
func runStrained(t testing.TB, meter zf.Meter, late time.Duration) (*zfforwardloop.Loop, zf.Strain) {
	t.Helper()
	clock, strain := newManualClock(), zf.StrainNone
	loop, _ := newLoop(clock, meter)
	loop.OnStrainChanged(func(changed zf.Strain) { strain = changed })
	run(t, loop)
	for range int(10 * time.Second / (tickInterval + late)) {
		clock.advance(tickInterval + late)
		loop.FetchState(false)
		loop.FetchState(false) // A tick that is due goes before the next event.
	}
	reported := loop.FetchState(false).Strain
	zfassert.Equal(t, "strain that was published", strain, reported)
	return loop, reported
}

func TestLateTicks(t *testing.T) {
	for _, c := range []struct {
		name  string
		meter zf.Meter
		late  time.Duration
		want  zf.Strain
	}{
		{
			name:  "a loop that is late all the time is overloaded",
			meter: idleMeter{},
			late:  300 * time.Millisecond,
			want:  zf.StrainOverloaded,
		},
		{
			name:  "one that is in time is not",
			meter: idleMeter{},
		},
		{
			name: "without the setting nothing is measured",
			late: 300 * time.Millisecond,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			loop, strain := runStrained(t, c.meter, c.late)
			zfassert.Equal(t, "strain", strain, c.want)
			zfassert.True(t, "packets of open flows are admitted", loop.Admit(zf.Packet{}))
		})
	}
}
