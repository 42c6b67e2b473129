package zfrotation_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfrotation"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

// region simulates the entry instances of data centres that report to control instances,
// which exchange their counts.
type region struct {
	now      time.Time
	tables   []*zfrotation.Table
	sizes    map[zf.CentreName]int
	down     map[zf.InstanceName]bool
	starting map[zf.InstanceName]bool
	// lost holds the control instances that are down. Their instances report to the
	// next one.
	lost map[int]bool
}

func name(centre zf.CentreName, i int) zf.InstanceName {
	return zf.InstanceName(fmt.Sprintf("%s-%d", centre, i))
}

// newRegion returns a region of two control instances, after a while of normal work.
func newRegion(sizes map[zf.CentreName]int) *region {
	r := &region{
		now:      start,
		tables:   []*zfrotation.Table{zfrotation.New(), zfrotation.New()},
		sizes:    sizes,
		down:     make(map[zf.InstanceName]bool),
		starting: make(map[zf.InstanceName]bool),
		lost:     make(map[int]bool),
	}
	r.run(5 * time.Second)
	return r
}

// run has instances and control instances report every half second.
func (r *region) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(500 * time.Millisecond) {
		for centre, size := range r.sizes {
			for i := range size {
				r.report(centre, i)
			}
		}
		for i, table := range r.tables {
			for j, other := range r.tables {
				if i != j && !r.lost[j] {
					table.SetRemote(zfrotation.Source(j+1), other.Counts(r.now), r.now)
				}
			}
			table.Tick(r.now)
		}
	}
}

func (r *region) report(centre zf.CentreName, i int) {
	instance := name(centre, i)
	if r.down[instance] {
		return
	}
	control := i % len(r.tables)
	if r.lost[control] {
		control = (control + 1) % len(r.tables)
	}
	r.tables[control].Record(zfrotation.Report{
		Instance: instance,
		Centre:   centre,
		Able:     !r.starting[instance],
		Ready:    !r.starting[instance],
	}, r.now)
}

// lose takes down the instances of a data centre from one on.
func (r *region) lose(centre zf.CentreName, first int) {
	for i := first; i < r.sizes[centre]; i++ {
		r.down[name(centre, i)] = true
	}
}

func (r *region) assertMayEnter(t testing.TB, centre zf.CentreName, want bool) {
	t.Helper()
	for i, table := range r.tables {
		if !r.lost[i] {
			zfassert.Equal(t, fmt.Sprintf("may enter, says control instance %d", i+1), table.MayEnter("new", centre), want)
		}
	}
}

func twoCentres() map[zf.CentreName]int {
	return map[zf.CentreName]int{
		"one": 20,
		"two": 20,
	}
}

func TestMayEnter(t *testing.T) {
	t.Run("at the first start of all", func(t *testing.T) {
		r := newRegion(nil)
		r.assertMayEnter(t, "one", true)
	})
	t.Run("after single restarts", func(t *testing.T) {
		r := newRegion(twoCentres())
		r.lose("one", 11)
		r.run(3 * time.Second)
		r.assertMayEnter(t, "one", true)
	})
	t.Run("not after the loss of most instances of a data centre", func(t *testing.T) {
		r := newRegion(twoCentres())
		r.lose("one", 1)
		r.run(3 * time.Second)
		r.assertMayEnter(t, "one", false)
		r.assertMayEnter(t, "two", true)
	})
	t.Run("once half of them are able", func(t *testing.T) {
		r := newRegion(twoCentres())
		r.lose("one", 0)
		r.run(3 * time.Second)
		clear(r.down)
		r.lose("one", 8)
		r.run(time.Second)
		r.assertMayEnter(t, "one", false)
		clear(r.down)
		r.lose("one", 9) // The instance that asks is the tenth.
		r.run(time.Second)
		r.assertMayEnter(t, "one", true)
	})
	t.Run("instances that start are not able yet", func(t *testing.T) {
		r := newRegion(twoCentres())
		for i := range 15 {
			r.starting[name("one", i)] = true
		}
		r.run(3 * time.Second)
		r.assertMayEnter(t, "one", false)
	})
	t.Run("if no other data centre serves", func(t *testing.T) {
		r := newRegion(twoCentres())
		r.lose("one", 1)
		r.lose("two", 9)
		r.run(3 * time.Second)
		r.assertMayEnter(t, "one", true)
	})
	t.Run("in the end", func(t *testing.T) {
		r := newRegion(twoCentres())
		r.lose("one", 1)
		r.run(35 * time.Second)
		r.assertMayEnter(t, "one", true)
	})
	t.Run("a control instance that restarts learns what is expected", func(t *testing.T) {
		r := newRegion(twoCentres())
		r.lose("one", 1)
		r.run(3 * time.Second)
		r.tables[1] = zfrotation.New()
		r.run(time.Second)
		r.assertMayEnter(t, "one", false)
	})
	t.Run("instances that change their control instance are not expected twice", func(t *testing.T) {
		r := newRegion(twoCentres())
		r.lost[1] = true
		r.run(5 * time.Second)
		r.lose("one", 11)
		r.run(3 * time.Second)
		r.assertMayEnter(t, "one", true)
	})
	t.Run("nonsense from another control instance", func(t *testing.T) {
		r := newRegion(twoCentres())
		for _, table := range r.tables {
			table.SetRemote(9, []zfrotation.Count{{
				Centre:    "one",
				Known:     -100,
				Able:      -100,
				Expected:  -5,
				Remaining: 1000 * time.Hour,
			}}, r.now)
			table.Tick(r.now)
		}
		r.assertMayEnter(t, "one", true)
	})
}

// assertMayLeave asks each control instance for one of the instances that report to it.
func (r *region) assertMayLeave(t testing.TB, want bool) {
	t.Helper()
	for i, table := range r.tables {
		zfassert.Equal(t, "may leave", table.MayLeave(name("one", i), "one"), want)
	}
}

func TestLeave(t *testing.T) {
	newCentre := func(alive int) *region {
		r := newRegion(map[zf.CentreName]int{
			"one": 12,
		})
		r.lose("one", alive)
		r.run(3 * time.Second)
		return r
	}
	t.Run("half of a data centre stays without the one that leaves", func(t *testing.T) {
		newCentre(7).assertMayLeave(t, true)
		newCentre(6).assertMayLeave(t, false)
	})
	t.Run("those of a lost control instance count again", func(t *testing.T) {
		r := newCentre(12)
		r.lost[1] = true
		r.run(3 * time.Second)
		zfassert.True(t, "may leave", r.tables[0].MayLeave(name("one", 0), "one"))
	})
}
