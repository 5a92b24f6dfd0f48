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
	// endedJobRetention is how long the rows of an ended job are kept: the
	// platform asks for 120 s, and a late retry of its submission must still
	// find it.
	endedJobRetention = 5 * time.Minute
	// maxSweepRows bounds the rows that one sweep removes, so that starts don't
	// wait for it.
	maxSweepRows = 40
	// goneTargetRetention is how long the row of a target is kept after it is
	// gone.
	goneTargetRetention = 30 * time.Second
)

// sweep removes obsolete rows, or else rows of one expired job, or the row of one
// expired target. Errors are those of commit.
func (r *term) sweep(ctx context.Context) error {
	if r.view.hasObsolete() {
		_, err := r.removeObsolete(ctx)
		return err
	}
	if j := r.view.expiredJob(); j != nil {
		return r.sweepJob(ctx, j)
	}
	if t := r.view.expiredTarget(); t != nil {
		return r.sweepTarget(ctx, t)
	}
	return nil
}

// expiredJob returns a job that ended longer than endedJobRetention ago and has
// no active run, or nil.
func (v *View) expiredJob() *job {
	for _, j := range v.jobs {
		if j.published.Ended() && v.now.Steady-j.endedAt > endedJobRetention &&
			!j.rejections.isInForce(v.now.Steady) && !j.isActive() {
			return j
		}
	}
	return nil
}

// isActive reports whether a task of the job may still use its target: its
// unit's newest run has a member whose end is not known.
func (j *job) isActive() bool {
	active := false
	j.eachUnit(func(u *unit) {
		active = active || u.isActive()
	})
	return active
}

// expiredTarget returns a target that has been gone for goneTargetRetention and
// is not referenced, or nil. The row of a referenced target must stay: it shows
// that what ran there is lost.
func (v *View) expiredTarget() *target {
	for _, t := range v.targets {
		if t.State == sesamework.TargetGone && v.now.Steady-t.reportedAt >= goneTargetRetention &&
			!t.rejections.isInForce(v.now.Steady) && !v.isReferenced(t) {
			return t
		}
	}
	return nil
}

// isReferenced reports whether the newest run of a unit that is not done, in a
// job that has not ended, has a member on the target.
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

// finalJobRows is the number of a job's rows that are removed together, in the
// last sweep of the job: its states and its own row. A job without a state counts
// as queued.
const finalJobRows = 3

// rowKeys returns the keys of all rows of a job. Runs come before their ends,
// since a run without an end is to be started. The last finalJobRows are the
// job's states and its own row, so that a sweep that was interrupted is continued
// later.
func (v *View) rowKeys(j *job) []sesamerows.Key {
	var keys []sesamerows.Key
	j.eachUnit(func(u *unit) {
		for _, row := range u.rows {
			keys = append(keys, row.Key(u.id))
		}
	})
	j.eachUnit(func(u *unit) {
		for _, key := range u.endKeys {
			if _, ok := v.ends[key]; ok {
				keys = append(keys, key)
			}
		}
	})
	keys = append(keys, j.doneKeys()...)
	return append(keys,
		sesamework.CancelKey(j.ID),
		sesamework.SpecKey(j.ID),
		sesamework.StateKey(sesamework.EntryPart(j.ID), j.ID),
		sesamework.StateKey(sesamework.PlanPart, j.ID),
		sesamework.JobKey(j.ID),
	)
}

// sweepJob removes up to maxSweepRows rows of the job; later sweeps remove the
// others.
func (r *term) sweepJob(ctx context.Context, j *job) error {
	keys := r.view.rowKeys(j)
	last := len(keys) <= maxSweepRows
	if !last {
		keys = keys[:min(maxSweepRows, len(keys)-finalJobRows)]
	}
	changed := sesamerows.Change{
		Removes: keys,
	}
	_, err := r.commitParts(ctx, change{
		Change: changed,
		onCommit: []func(){func() {
			r.view.dropRows(j, keys, last)
			r.o.Log.Emit(eventSwept, sesamelog.Fields{
				"job":  j.ID,
				"rows": len(keys),
				"last": last,
			})
		}},
		onReject: []func(error){func(err error) {
			j.rejections.add(r.o.Clock.Steady())
			r.logRejected("sweep", j.ID, changed, err)
		}},
	})
	return err
}

// dropRows removes from the view what the removed rows with these keys held. If
// they were the last rows of the job, it also removes the job and its units.
func (v *View) dropRows(j *job, keys []sesamerows.Key, last bool) {
	for _, key := range keys {
		delete(v.ends, key)
		if key.Table == sesamework.DoneTable {
			j.dropDoneRow(key)
		}
		if !sesamework.IsRunTable(key.Table) {
			continue
		}
		if id, row, err := sesamework.ParseRunKey(key); err == nil {
			u := v.units[id]
			u.rows = slices.DeleteFunc(slices.Clone(u.rows), func(other sesamework.RunRow) bool {
				return other == row
			})
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

// sweepTarget removes the row of an expired target, unless the row has changed
// since the view read it.
func (r *term) sweepTarget(ctx context.Context, t *target) error {
	changed := sesamerows.Change{
		Expects: []sesamerows.Expect{{
			Key:     t.key(),
			Version: t.version,
		}},
		Removes: []sesamerows.Key{t.key()},
	}
	_, err := r.commitParts(ctx, change{
		Change: changed,
		onCommit: []func(){func() {
			delete(r.view.targets, t.name)
			r.o.Log.Emit(eventSwept, sesamelog.Fields{
				"target": t.name,
			})
		}},
		onReject: []func(error){func(err error) {
			t.rejections.add(r.o.Clock.Steady())
			r.logRejected("sweep", t.name, changed, err)
		}},
	})
	return err
}
