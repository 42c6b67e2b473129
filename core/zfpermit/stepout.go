package zfpermit

import (
	"time"

	zf "zinniafront"
)

// calmPerUnready is the number of ready instances without strain that are needed for each
// instance that takes no traffic: they use less than zfresource.MaxCalmUse of their
// resources, so that each has room for a quarter more.
const calmPerUnready = 4

// Change is a step-out permit that was granted or has ended.
type Change struct {
	Instance zf.InstanceName
	Granted  bool
	// Total is the number of instances of the data centre that report here, Calm that of
	// the other ones that are ready and without strain; both are 0 if the permit ended
	// since the instance returned or was lost.
	Total, Calm int
}

// AcquireStepOut reports whether an overloaded instance has a permit to leave the
// rotation. It grants one if the others can take on its share: while most are short of
// resources, nobody leaves. It renews one while at least half of the instances are ready
// and without strain. A permit of another control instance is renewed like one of its own.
func (t *Table) AcquireStepOut(name zf.InstanceName, now time.Time) bool {
	r := t.rows[name]
	if r == nil || !r.StepOut || r.granted {
		return false
	}
	total, unready, calm := 1, 1, 0
	for _, other := range t.rows {
		if other == r || other.Centre != r.Centre {
			continue
		}
		total++
		switch {
		case !other.takesTraffic(now):
			unready++
		case other.Strain == zf.StrainNone:
			calm++
		}
	}
	permitted := calm >= calmPerUnready*unready
	if r.steppedOut || !r.Ready {
		permitted = 2*calm >= total
	}
	if permitted != r.steppedOut {
		r.steppedOut = permitted
		t.changes = append(t.changes, Change{
			Instance: name,
			Granted:  permitted,
			Total:    total,
			Calm:     calm,
		})
	}
	return permitted
}

// takesTraffic reports whether an instance is ready and stays so.
func (r *row) takesTraffic(now time.Time) bool {
	return r.Ready && !r.granted && !r.steppedOut && now.Sub(r.lastReport) < reportTimeout
}

// endStepOut ends the permit of an instance to leave the rotation.
func (t *Table) endStepOut(name zf.InstanceName, r *row) {
	r.steppedOut = false
	t.changes = append(t.changes, Change{
		Instance: name,
	})
}

// TakeChanges returns the changes of step-out permits since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
