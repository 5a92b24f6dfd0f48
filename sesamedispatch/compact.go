package sesamedispatch

import (
	"context"
	"encoding/json"
	"iter"
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

// releaseGroup is what one row records as done: units of a step or, if step is nil,
// occurrences of a job that recurs.
type releaseGroup struct {
	job  *job
	step *stepUnits
}

// finished holds units of a group whose rows are not needed any more, at least one: units
// of the step, or all that are left of some occurrences.
type finished struct {
	group releaseGroup
	units []*unit
	// occurrences are those that are released as a whole, and stepRecords the rows that
	// recorded what was done of them before.
	occurrences []int
	stepRecords []sesamerows.Key
	// runRows is how many rows hold the units' runs.
	runRows int
}

// isFinished reports whether the unit needs no rows of its own any more: no run of it
// is active, and it is done or its job has ended for callers. A record of what is done
// that can't be read is not to be replaced.
func (u *unit) isFinished() bool {
	return !u.isActive() && (u.done && !u.job.unreadable || u.job.published.Ended())
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
			released, err = r.release(ctx, maxChangeEntries)
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
// their runs, and drops them from the view, as finishedUnits returns them for that many
// entries. It returns whether it has released any. Errors are those of commit.
func (r *term) release(ctx context.Context, entries int) (bool, error) {
	batch := &changeBatch{}
	for _, f := range r.view.finishedUnits(entries) {
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

// releaseGroup returns the group in which finished units of the step are released: with
// their occurrence, once all of that is finished.
func (s *stepUnits) releaseGroup() releaseGroup {
	g := releaseGroup{
		job: s.job,
	}
	if !s.job.Recurs() || !areFinished(s.job.stepsOf(s.occurrence)) {
		g.step = s
	}
	return g
}

// finishedUnits returns finished units whose release takes at most that many entries of
// a transaction, but always some if there are any. Each result is of another group, since
// a transaction writes a row once.
func (v *View) finishedUnits(entries int) []finished {
	var all []finished
	seen := map[*stepUnits]bool{}
	taken := map[releaseGroup]bool{}
	for _, u := range v.units {
		if len(all) > 0 && entries <= 0 {
			break
		}
		s := u.job.stepsOf(u.id.Occurrence)[u.id.Step]
		if seen[s] || !u.isFinished() {
			continue
		}
		seen[s] = true
		group := s.releaseGroup()
		if taken[group] {
			continue
		}
		taken[group] = true
		f := newFinished(group, entries)
		if len(all) > 0 && f.entries() > entries {
			break
		}
		all = append(all, f)
		entries -= f.entries()
	}
	return all
}

// newFinished returns finished units of the group, which has some: in their order, as
// many as are released in that many entries of a transaction, but at least the first
// unit or occurrence.
func newFinished(group releaseGroup, entries int) finished {
	f := finished{
		group: group,
	}
	for part := range group.parts() {
		if len(f.units) > 0 && f.entries()+part.rows() > entries {
			break
		}
		f.add(part)
	}
	return f
}

// parts returns all of the group that can be released by itself, in order: each finished
// unit of the step, or each finished occurrence of the job.
func (g releaseGroup) parts() iter.Seq[finished] {
	return func(yield func(finished) bool) {
		if g.step == nil {
			for _, steps := range g.job.occurrences {
				if areFinished(steps) && !yield(g.occurrence(steps)) {
					return
				}
			}
			return
		}
		for _, u := range g.step.created {
			if u.isFinished() && !yield(g.unit(u)) {
				return
			}
		}
	}
}

// unit returns the release of that unit alone.
func (g releaseGroup) unit(u *unit) finished {
	return finished{
		group:   g,
		units:   []*unit{u},
		runRows: len(u.rows),
	}
}

// occurrence returns the release of that occurrence alone.
func (g releaseGroup) occurrence(steps []*stepUnits) finished {
	f := finished{
		group: g,
	}
	for _, s := range steps {
		f.occurrences = []int{s.occurrence}
		if s.released.Len() > 0 {
			f.stepRecords = append(f.stepRecords, s.doneKey())
		}
		for _, u := range s.created {
			f.add(g.unit(u))
		}
	}
	return f
}

// add adds the units of another release of the same group.
func (f *finished) add(other finished) {
	f.units = append(f.units, other.units...)
	f.occurrences = append(f.occurrences, other.occurrences...)
	f.stepRecords = append(f.stepRecords, other.stepRecords...)
	f.runRows += other.runRows
}

// rows returns how many rows the release removes.
func (f finished) rows() int {
	return f.runRows + len(f.stepRecords)
}

// entries returns how many entries of a transaction the release takes: those rows and
// the record.
func (f finished) entries() int {
	return f.rows() + 1
}

// releaseChange returns the write that records the finished units as done and removes
// the rows of their runs; those that don't fit into a transaction become obsolete. Of a
// job that has ended nothing is recorded, since its state says that nothing of it runs.
func (r *term) releaseChange(f finished) (change, error) {
	var c sesamerows.Change
	j, record := f.group.job, f.record()
	if !j.published.Ended() {
		value, err := json.Marshal(record)
		if err != nil {
			return change{}, err
		}
		c.Writes = append(c.Writes, sesamerows.Write{
			Key:   f.group.key(),
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
				"job":         j.ID,
				"record":      f.group.key().Name,
				"occurrences": len(f.occurrences),
				"units":       len(f.units),
				"done":        record.Len(),
			})
		}},
		onReject: []func(error){func(err error) {
			r.view.obsolete.rejections.add(r.o.Clock.Steady())
			r.logRejected("release", j.ID, c, err)
		}},
	}, nil
}

// key returns the key of the row that records what is done of the group.
func (g releaseGroup) key() sesamerows.Key {
	if g.step == nil {
		return sesamework.DoneOccurrencesKey(g.job.ID)
	}
	return g.step.doneKey()
}

// record returns what that row is to hold: what was released before, and the units.
func (f finished) record() sesamework.IndexSet {
	s := f.group.step
	if s == nil {
		return f.group.job.doneOccurrences.With(f.occurrences...)
	}
	var indexes []int
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
	return append(keys, f.stepRecords...)
}

// dropFinished drops the units from the view. record is what their group's row holds now,
// and left are the rowKeys of rows that are still in the store, as all their ends are.
func (v *View) dropFinished(f finished, record sesamework.IndexSet, left []sesamerows.Key) {
	for _, key := range left {
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
	if f.group.step == nil {
		f.group.job.setDoneOccurrences(record)
	} else {
		v.setReleased(f.group.step, record)
	}
}
