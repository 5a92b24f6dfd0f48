package sesamedispatch

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

const (
	// DefaultHeldEnds is how many ends of runs a planner holds before it compacts: its
	// memory, the rows that a new planner reads and the time of a decision follow
	// what runs, not what has ended.
	DefaultHeldEnds = 2048
	// minCompactions is how many transactions a compaction may take after a decision
	// that is written in none, and compactionsPerWrite how many more for each of that:
	// what is started must not end faster than it is released.
	minCompactions      = 4
	compactionsPerWrite = 2
)

// finished holds units whose rows are not needed any more: all of one step, or, if whole is
// set, all that are left of occurrences of a job that recurs.
type finished struct {
	job   *job
	steps []*stepUnits
	units []*unit
	whole bool
}

// isFinished reports whether the unit needs no rows of its own any more: no run of it
// is active, and it is done or its job has ended for callers.
func (u *unit) isFinished() bool {
	return !u.isActive() && (u.done || u.job.published.Ended())
}

// areFinished reports whether the steps of an occurrence are done and have no active
// run.
func areFinished(steps []*stepUnits) bool {
	return areAllDone(steps) && !slices.ContainsFunc(steps, func(s *stepUnits) bool {
		return slices.ContainsFunc(s.created, (*unit).isActive)
	})
}

// compact replaces what is held of units that are done by sets of their indexes, and
// removes their rows, while the view holds more than Options.HeldEnds ends: those that
// it holds teach a planner that takes over how long tasks take. written is how many
// transactions the present decision took. Errors are those of commit.
func (r *term) compact(ctx context.Context, written int) error {
	v := r.view
	if len(v.ends) > r.o.HeldEnds {
		v.trimEnds()
	}
	for range minCompactions + compactionsPerWrite*written {
		if v.obsolete.rejections.isInForce(r.o.Clock.Steady()) {
			return nil
		}
		released, removed := false, false
		var err error
		if len(v.ends) > r.o.HeldEnds {
			released, err = r.release(ctx)
		}
		if err == nil && len(v.obsolete.rows) >= maxChangeEntries {
			removed, err = r.removeObsolete(ctx)
		}
		if err != nil || !released && !removed {
			return err
		}
	}
	return nil
}

// trimEnds makes the ends of earlier runs obsolete, but those of units that are done.
// The row of the newest run tells what they have led to. An end that turns out to be
// another one is needed after all, so only the known version may be removed.
func (v *View) trimEnds() {
	for _, u := range v.units {
		if u.done || u.run.Number <= 1 {
			continue
		}
		u.endKeys = slices.DeleteFunc(u.endKeys, func(key sesamerows.Key) bool {
			_, number, ok := sesamework.ParseEndKey(key)
			if !ok || number >= u.run.Number {
				return false
			}
			if version, known := v.ends[key]; known {
				v.addObsolete(key, version)
				delete(v.ends, key)
			}
			return true
		})
	}
}

// release records finished units as done in the store, together with the removal of
// their runs, and drops them from the view, as many as fit into a transaction. It
// returns whether it has released any. Errors are those of commit.
func (r *term) release(ctx context.Context) (bool, error) {
	batch := &changeBatch{}
	for _, f := range r.view.finishedUnits(maxChangeEntries) {
		c, err := r.releaseChange(f)
		if err != nil {
			return false, err
		}
		batch.add(c)
	}
	released := false
	for _, parts := range batch.transactions {
		written, err := r.commitParts(ctx, parts...)
		if err != nil {
			return false, err
		}
		released = released || written
	}
	return released, nil
}

// finishedUnits returns finished units whose release takes about that many entries of
// a transaction.
func (v *View) finishedUnits(entries int) []finished {
	var all []finished
	seen := map[*stepUnits]bool{}
	for _, u := range v.units {
		if entries <= 0 {
			break
		}
		s := u.job.stepsOf(u.id.Occurrence)[u.id.Step]
		if seen[s] || !u.isFinished() {
			continue
		}
		f := finishedWith(u, s, entries)
		for _, step := range f.steps {
			seen[step] = true
		}
		entries -= f.entries()
		all = append(all, f)
	}
	return all
}

// finishedWith returns the finished units that are released together with u, a unit of
// the step s, in about that many entries.
func finishedWith(u *unit, s *stepUnits, entries int) finished {
	f := finished{
		job:   u.job,
		whole: u.job.Recurs() && areFinished(u.job.stepsOf(u.id.Occurrence)),
	}
	if !f.whole {
		f.steps = []*stepUnits{s}
		f.add(s, entries)
		return f
	}
	for _, steps := range u.job.occurrences {
		if f.entries() < entries && areFinished(steps) {
			f.steps = append(f.steps, steps...)
			for _, step := range steps {
				f.units = append(f.units, step.created...)
			}
		}
	}
	return f
}

// add adds finished units of the step until the release takes about that many entries.
func (f *finished) add(s *stepUnits, entries int) {
	for _, u := range s.created {
		if entries <= 0 {
			return
		}
		if u.isFinished() {
			f.units = append(f.units, u)
			entries -= len(u.rows)
		}
	}
}

// entries returns how many entries of a transaction the release takes at the least.
func (f finished) entries() int {
	return 1 + len(f.units)
}

// releaseChange returns the write that records the finished units as done and removes
// the rows of their runs; those that don't fit into a transaction become obsolete. Of a
// job that has ended nothing is recorded, since its state says that nothing of it runs.
func (r *term) releaseChange(f finished) (change, error) {
	var c sesamerows.Change
	record := f.record()
	if !f.job.published.Ended() {
		value, err := json.Marshal(record)
		if err != nil {
			return change{}, err
		}
		c.Writes = append(c.Writes, sesamerows.Write{
			Key:   f.key(),
			Value: value,
		})
	}
	keys := f.rowKeys()
	c.Removes = keys[:min(len(keys), maxChangeEntries-len(c.Writes))]
	return change{
		Change: c,
		onCommit: []func(){func() {
			r.view.dropFinished(f, record, keys[len(c.Removes):])
			r.o.Scope.Counter("released_units").Inc(int64(len(f.units)))
			r.o.Log.Emit(eventReleased, sesamelog.Fields{
				"job":        f.job.ID,
				"occurrence": f.steps[0].occurrence,
				"step":       f.steps[0].index,
				"whole":      f.whole,
				"units":      len(f.units),
				"done":       record.Len(),
			})
		}},
		onReject: []func(error){func(err error) {
			r.view.obsolete.rejections.add(r.o.Clock.Steady())
			r.logRejected("release", f.job.ID, c, err)
		}},
	}, nil
}

// key returns the key of the row that records the units as done.
func (f finished) key() sesamerows.Key {
	if f.whole {
		return sesamework.DoneOccurrencesKey(f.job.ID)
	}
	return f.steps[0].doneKey()
}

// record returns what that row is to hold: what was released before, and the units.
func (f finished) record() sesamework.IndexSet {
	var indexes []int
	if f.whole {
		for _, s := range f.steps {
			indexes = append(indexes, s.occurrence)
		}
		return f.job.doneOccurrences.With(indexes...)
	}
	s := f.steps[0]
	for _, u := range f.units {
		indexes = append(indexes, u.id.Index-s.firstIndex())
	}
	return s.released.With(indexes...)
}

// rowKeys returns the keys of the rows in the planner's part that are needed no more:
// those of the units' runs and, of whole occurrences, the records of their steps.
func (f finished) rowKeys() []sesamerows.Key {
	var keys []sesamerows.Key
	for _, u := range f.units {
		for _, row := range u.rows {
			keys = append(keys, row.Key(u.id))
		}
	}
	for _, s := range f.steps {
		if f.whole && s.released.Len() > 0 {
			keys = append(keys, s.doneKey())
		}
	}
	return keys
}

// dropFinished drops the units from the view. record is what was written of them, and
// runs are the rows of their runs that are still in the store, as all their ends are.
func (v *View) dropFinished(f finished, record sesamework.IndexSet, runs []sesamerows.Key) {
	for _, key := range runs {
		v.addObsolete(key, 0)
	}
	for _, u := range f.units {
		for _, key := range u.endKeys {
			if _, ok := v.ends[key]; ok {
				v.addObsolete(key, 0)
				delete(v.ends, key)
			}
		}
		delete(v.units, u.id)
	}
	if f.whole {
		f.job.setDoneOccurrences(record)
	} else {
		v.setReleased(f.steps[0], record)
	}
}
