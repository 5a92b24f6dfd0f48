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
	// keepEnded is how long a job is shown after its end: the platform asks
	// for 120 s, and a late repetition of its submission must still find it.
	keepEnded = 5 * time.Minute
	// maxSweep bounds the rows that one decision removes, so that starts
	// don't wait.
	maxSweep = 40
	// keepGone is how long the row of a target that is gone is kept.
	keepGone = 30 * time.Second
)

// sweep removes the rows of a job that ended long ago, or of a target that is
// gone and runs nothing, one at a time.
func (r *term) sweep(ctx context.Context) error {
	if j := r.book.oldest(); j != nil {
		return r.sweepJob(ctx, j)
	}
	if t := r.book.leftover(); t != nil {
		return r.sweepTarget(ctx, t)
	}
	return nil
}

// oldest returns a job whose rows can go.
func (b *Book) oldest() *job {
	for _, j := range b.jobs {
		if j.shown.Ended() && b.now.Steady-j.ended > keepEnded && !j.isActive() {
			return j
		}
	}
	return nil
}

func (j *job) isActive() bool {
	active := false
	j.each(func(u *unit) {
		active = active || u.isActive()
	})
	return active
}

// leftover returns a target that is gone and that the newest run of no
// unfinished unit names: what ran there is known to be lost by its row.
func (b *Book) leftover() *target {
	for _, t := range b.targets {
		if t.State == sesamework.TargetGone && b.now.Steady-t.heard >= keepGone && !b.isNamed(t) {
			return t
		}
	}
	return nil
}

func (b *Book) isNamed(t *target) bool {
	for _, u := range b.units {
		if u.done || u.job.shown.Ended() {
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

// rowsOf returns the keys of a job's rows. The job's own row comes last, so
// that a sweep that was interrupted goes on later.
func (b *Book) rowsOf(j *job) []sesamerows.Key {
	var keys []sesamerows.Key
	for key := range b.ends {
		if task, _, ok := sesamework.ParseEndKey(key); ok && task.Job == j.ID {
			keys = append(keys, key)
		}
	}
	j.each(func(u *unit) {
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
	keys := r.book.rowsOf(j)
	last := len(keys) <= maxSweep
	if !last {
		keys = keys[:maxSweep]
	}
	return r.commit(ctx, &change{
		Change: sesamerows.Change{
			Removes: keys,
		},
		applied: []func(){func() {
			r.book.forget(j, keys, last)
			r.o.Log.Emit(eventSwept, sesamelog.Fields{
				"job":  j.ID,
				"rows": len(keys),
				"last": last,
			})
		}},
	})
}

// forget drops what the removed rows held.
func (b *Book) forget(j *job, keys []sesamerows.Key, last bool) {
	for _, key := range keys {
		delete(b.ends, key)
		if !sesamework.IsRunTable(key.Table) {
			continue
		}
		if id, err := sesamework.ParseUnit(key.Name); err == nil {
			b.units[id].dropRow(key)
		}
	}
	if !last {
		return
	}
	j.each(func(u *unit) {
		delete(b.units, u.id)
	})
	delete(b.jobs, j.ID)
}

// dropRow forgets the members in the zone whose row was removed.
func (u *unit) dropRow(key sesamerows.Key) {
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
		applied: []func(){func() {
			delete(r.book.targets, t.name)
			r.o.Log.Emit(eventSwept, sesamelog.Fields{
				"target": t.name,
			})
		}},
	})
}
