package sesamedispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// endedJobRetention is how long a job is shown after its end: the platform asks
	// for 120 s, and a late repetition of its submission must still find it.
	endedJobRetention = 5 * time.Minute
	// maxSweepRows bounds the rows that one decision removes, so that starts
	// don't wait.
	maxSweepRows = 40
	// goneTargetRetention is how long the row of a target that is gone is kept.
	goneTargetRetention = 30 * time.Second
)

// sweep removes the rows of a job that ended long ago, or of a target that is
// gone and runs nothing, one at a time.
func (r *term) sweep(ctx context.Context) error {
	if j := r.view.expiredJob(); j != nil {
		return r.sweepJob(ctx, j)
	}
	if t := r.view.expiredTarget(); t != nil {
		return r.sweepTarget(ctx, t)
	}
	return nil
}

// expiredJob returns a job whose rows can go.
func (v *View) expiredJob() *job {
	for _, j := range v.jobs {
		if j.published.Ended() && v.now.Steady-j.endedAt > endedJobRetention && !j.isActive() {
			return j
		}
	}
	return nil
}

func (j *job) isActive() bool {
	active := false
	j.eachUnit(func(u *unit) {
		active = active || u.isActive()
	})
	return active
}

// expiredTarget returns a target that is gone and that the newest run of no
// unfinished unit names: what ran there is known to be lost by its row.
func (v *View) expiredTarget() *target {
	for _, t := range v.targets {
		if t.State == sesamework.TargetGone && v.now.Steady-t.reportedAt >= goneTargetRetention && !v.isReferenced(t) {
			return t
		}
	}
	return nil
}

func (v *View) isReferenced(t *target) bool {
	for _, u := range v.units {
		if u.done || u.job.published.Ended() {
			continue
		}
		for _, m := range u.members {
			if m.Target == t.name {
				return true
			}
		}
	}
	return false
}

// rowKeys returns the keys of a job's rows. The job's own row comes last, so
// that a sweep that was interrupted goes on later.
func (v *View) rowKeys(j *job) []sesamerows.Key {
	var keys []sesamerows.Key
	for key := range v.ends {
		if task, _, ok := sesamework.ParseEndKey(key); ok && task.Job == j.ID {
			keys = append(keys, key)
		}
	}
	j.eachUnit(func(u *unit) {
		for _, zone := range u.run.Zones() {
			keys = append(keys, sesamework.RunKey(u.id, zone))
		}
	})
	return append(keys,
		sesamework.CancelKey(j.ID),
		sesamework.SpecKey(j.ID),
		sesamework.StateKey(sesamework.EntryPart, j.ID),
		sesamework.StateKey(sesamework.PlanPart, j.ID),
		sesamework.JobKey(j.ID),
	)
}

func (r *term) sweepJob(ctx context.Context, j *job) error {
	keys := r.view.rowKeys(j)
	last := len(keys) <= maxSweepRows
	if !last {
		keys = keys[:maxSweepRows]
	}
	return r.commit(ctx, &change{
		Change: sesamerows.Change{
			Removes: keys,
		},
		onCommit: []func(){func() {
			r.view.dropRows(j, keys, last)
			r.o.Log.Emit(eventSwept, sesamelog.Fields{
				"job":  j.ID,
				"rows": len(keys),
				"last": last,
			})
		}},
	})
}

// dropRows drops what the removed rows held.
func (v *View) dropRows(j *job, keys []sesamerows.Key, last bool) {
	for _, key := range keys {
		delete(v.ends, key)
		if !sesamework.IsRunTable(key.Table) {
			continue
		}
		if id, err := sesamework.ParseUnit(key.Name); err == nil {
			v.units[id].dropMembers(key)
		}
	}
	if !last {
		return
	}
	j.eachUnit(func(u *unit) {
		delete(v.units, u.id)
	})
	delete(v.jobs, j.ID)
}

// dropMembers forgets the members in the zone whose row was removed.
func (u *unit) dropMembers(key sesamerows.Key) {
	u.run.Members = slices.DeleteFunc(slices.Clone(u.run.Members), func(m sesamework.Member) bool {
		return sesamework.RunTable(m.Zone) == key.Table
	})
}

func (r *term) sweepTarget(ctx context.Context, t *target) error {
	key := sesamerows.Key{
		Table: sesamework.WorkTable,
		Part:  t.part,
		Name:  t.name,
	}
	return r.commit(ctx, &change{
		Change: sesamerows.Change{
			Expects: []sesamerows.Expect{{
				Key:     key,
				Version: t.version,
			}},
			Removes: []sesamerows.Key{key},
		},
		onCommit: []func(){func() {
			delete(r.view.targets, t.name)
			r.o.Log.Emit(eventSwept, sesamelog.Fields{
				"target": t.name,
			})
		}},
	})
}
