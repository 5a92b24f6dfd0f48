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
	// maxSweepRows bounds the rows of one job that one sweep removes, so that starts
	// don't wait for it.
	maxSweepRows = 40
	// sweepInterval is how often rows are swept at the least: there may always be
	// something to decide.
	sweepInterval = 250 * time.Millisecond
	// goneTargetRetention is how long the row of a target is kept after it is
	// gone.
	goneTargetRetention = 30 * time.Second
)

// sweep removes obsolete rows, or else rows of expired jobs, or the row of one expired
// target. Errors are those of commit.
func (r *term) sweep(ctx context.Context) error {
	r.sweptAt = r.o.Clock.Steady()
	if r.view.shouldRemoveObsolete() {
		_, err := r.removeObsolete(ctx)
		return err
	}
	if jobs := r.view.expiredJobs(); len(jobs) > 0 {
		return r.sweepJobs(ctx, jobs)
	}
	if t := r.view.expiredTarget(); t != nil {
		return r.sweepTarget(ctx, t)
	}
	return nil
}

// expiredJobs returns jobs that ended longer than endedJobRetention ago and have no
// active run, at most as many as one transaction can remove.
func (v *View) expiredJobs() []*job {
	var expired []*job
	for _, j := range v.jobs {
		if len(expired) == maxChangeEntries/finalJobRows {
			break
		}
		if j.published.Ended() && v.now.Steady-j.endedAt > endedJobRetention &&
			!j.rejections.isInForce(v.now.Steady) && !j.isActive() {
			expired = append(expired, j)
		}
	}
	return expired
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

// sweepJobs removes rows of the jobs in one transaction; later sweeps remove those that
// don't fit into it.
func (r *term) sweepJobs(ctx context.Context, jobs []*job) error {
	batch := &changeBatch{}
	for _, j := range jobs {
		batch.add(r.sweepChange(j))
	}
	_, err := r.commitParts(ctx, batch.transactions[0]...)
	return err
}

// sweepChange returns the removal of up to maxSweepRows rows of the job.
func (r *term) sweepChange(j *job) change {
	keys := r.view.rowKeys(j)
	last := len(keys) <= maxSweepRows
	if !last {
		keys = keys[:min(maxSweepRows, len(keys)-finalJobRows)]
	}
	changed := sesamerows.Change{
		Removes: keys,
	}
	return change{
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
	}
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
