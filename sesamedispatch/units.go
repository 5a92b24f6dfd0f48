package sesamedispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// stepUnits holds the units of one step in one occurrence of a job. A unit is
// created when it is first considered for placement or when a row of it is read, so
// that the many that wait behind it take no memory and no time in a decision. The
// units that are not created yet differ in nothing but their index.
type stepUnits struct {
	job  *job
	step *sesamework.Step
	// occurrence and index are those of the units' IDs.
	occurrence int
	index      int
	// count is the number of all units, and created holds those that are created, in
	// the order of their indexes. released are the positions of those that are done
	// and not held any more, since the store has a record of them.
	count    int
	created  []*unit
	released sesamework.IndexSet
	// noneMissingBefore is a position before which all units are created or released.
	noneMissingBefore int
	// readySince is that of the units that are not created.
	readySince time.Duration
}

// newStepUnits returns the units of the job's step with that index, none of which is
// created.
func newStepUnits(j *job, occurrence, index int) *stepUnits {
	s := &stepUnits{
		job:        j,
		step:       &j.Steps[index],
		occurrence: occurrence,
		index:      index,
		count:      1,
	}
	if !s.step.Gang {
		s.count = s.step.Count
	}
	return s
}

// firstIndex returns the Index of the first unit; the position of a unit is the
// distance from that.
func (s *stepUnits) firstIndex() int {
	if s.step.Gang {
		return sesamework.GangIndex
	}
	return 0
}

// search returns where in created the unit at the position is or belongs, and
// whether it is there.
func (s *stepUnits) search(position int) (int, bool) {
	return slices.BinarySearchFunc(s.created, position+s.firstIndex(), func(u *unit, index int) int {
		return cmp.Compare(u.id.Index, index)
	})
}

// notCreated returns how many units are not created yet.
func (s *stepUnits) notCreated() int {
	return s.count - len(s.created) - s.released.Len()
}

// doneKey returns the key of the row that records which units are done.
func (s *stepUnits) doneKey() sesamerows.Key {
	return sesamework.DoneUnitsKey(s.job.ID, s.occurrence, s.index)
}

// setReleased sets which units of the step are done and not held any more, and drops
// these from the view.
func (v *View) setReleased(s *stepUnits, released sesamework.IndexSet) {
	s.released = released
	s.created = slices.DeleteFunc(s.created, func(u *unit) bool {
		drop := released.Has(u.id.Index - s.firstIndex())
		if drop {
			delete(v.units, u.id)
		}
		return drop
	})
	s.noneMissingBefore = s.nextNotCreated(0)
}

// isReleased reports whether the unit is done and not held any more.
func (j *job) isReleased(id sesamework.UnitID) bool {
	if j.doneOccurrences.Has(id.Occurrence) {
		return true
	}
	steps := j.stepsOf(id.Occurrence)
	if id.Step >= len(steps) {
		return false
	}
	s := steps[id.Step]
	return id.Index >= s.firstIndex() && s.released.Has(id.Index-s.firstIndex())
}

// nextNotCreated returns the first position from the given one on whose unit is not
// created, or count if there is none.
func (s *stepUnits) nextNotCreated(position int) int {
	position = s.released.NextAbsent(max(position, s.noneMissingBefore))
	i, _ := s.search(position)
	for i < len(s.created) && s.created[i].id.Index == position+s.firstIndex() {
		i++
		position = s.released.NextAbsent(position + 1)
	}
	return min(position, s.count)
}

// areDone reports whether all units are done.
func (s *stepUnits) areDone() bool {
	return s.notCreated() == 0 && !slices.ContainsFunc(s.created, func(u *unit) bool {
		return !u.done
	})
}

// openTasks returns how many tasks belong to units that are not done.
func (s *stepUnits) openTasks() int {
	if s.step.Gang && s.released.Len() > 0 {
		return 0
	}
	tasks := s.step.Count - s.released.Len()
	for _, u := range s.created {
		if u.done {
			tasks -= u.taskCount()
		}
	}
	return tasks
}

// create returns the unit at the position, and creates it if need be.
func (v *View) create(s *stepUnits, position int) *unit {
	i, ok := s.search(position)
	if ok {
		return s.created[i]
	}
	u := &unit{
		id: sesamework.UnitID{
			Job:        s.job.ID,
			Occurrence: s.occurrence,
			Step:       s.index,
			Index:      s.firstIndex() + position,
		},
		job:        s.job,
		step:       s.step,
		readySince: s.readySince,
	}
	s.created = slices.Insert(s.created, i, u)
	if position == s.noneMissingBefore {
		s.noneMissingBefore = s.nextNotCreated(position)
	}
	v.units[u.id] = u
	return u
}

// createByID returns the unit with that ID, and creates it if need be. It returns
// false if the job has no such unit in the occurrences that it holds, or if the unit is
// done and not held any more.
func (v *View) createByID(id sesamework.UnitID) (*unit, bool) {
	if u, ok := v.units[id]; ok {
		return u, true
	}
	j, ok := v.jobs[id.Job]
	if !ok {
		return nil, false
	}
	steps := j.stepsOf(id.Occurrence)
	if id.Step < 0 || id.Step >= len(steps) {
		return nil, false
	}
	s := steps[id.Step]
	position := id.Index - s.firstIndex()
	if position < 0 || position >= s.count || s.released.Has(position) {
		return nil, false
	}
	return v.create(s, position), true
}

// maxInterruptedUnits is how many units of a step may wait that have been created, most
// of which have run before, until these come before all that have waited longer and
// are not created.
const maxInterruptedUnits = 512

// inOrder returns the ready units of the candidate, the longest waiting first, and
// creates those that are not while room is found for them: once the step is blocked,
// they would find none either. While maxInterruptedUnits are created, it creates none.
func (p *pass) inOrder(c candidate) iter.Seq[*unit] {
	return func(yield func(*unit) bool) {
		s := c.step
		position := 0
		// offer passes on the units before the end that are not created.
		offer := func(end int) bool {
			if len(c.units) >= maxInterruptedUnits {
				return true
			}
			position = s.nextNotCreated(position)
			for position < end && !p.blocked[c.units[0].spreadKey("")] {
				if !yield(p.view.create(s, position)) {
					return false
				}
				position = s.nextNotCreated(position)
			}
			return true
		}
		for _, u := range c.units {
			end := u.id.Index - s.firstIndex()
			if u.readySince > s.readySince {
				// Those that are not created have waited longer.
				end = s.count
			}
			if !offer(end) || !yield(u) {
				return
			}
		}
		offer(s.count)
	}
}

// areAllDone reports whether all units of an occurrence are done.
func areAllDone(steps []*stepUnits) bool {
	return !slices.ContainsFunc(steps, func(s *stepUnits) bool {
		return !s.areDone()
	})
}

// setReady sets readySince of the units that are not created. now is on the steady
// clock.
func (s *stepUnits) setReady(ready bool, now time.Duration) {
	if !ready {
		s.readySince = 0
	} else if s.readySince == 0 {
		s.readySince = now
	}
}

// keepReadySince copies readySince of the units that are not created from the job as
// the view that is replaced knew it.
func (j *job) keepReadySince(known *job) {
	for _, steps := range j.occurrences {
		for i, before := range known.stepsOf(steps[0].occurrence) {
			steps[i].readySince = before.readySince
		}
	}
}

const (
	// unitBytes is what a unit takes of a planner's memory; see BenchmarkUnitBytes.
	unitBytes = 1 << 10
	// unitsMemoryShare is the part of the memory that units may take. The rest is for
	// targets, callers and what the garbage collector has not freed yet.
	unitsMemoryShare = 0.6
	// defaultMaxUnits is the bound on units of a planner whose memory is not known.
	defaultMaxUnits = 3 << 16
)

// maxUnits returns how many units a planner with that memory, in MiB, should hold.
func maxUnits(memory int64) int {
	if memory <= 0 {
		return defaultMaxUnits
	}
	return int(unitsMemoryShare * float64(memory<<20) / unitBytes)
}

// Units returns how many units the view holds in memory, with jobs and their steps
// counted as sesamework.UnitsOfSteps does. Units that wait and are not created take
// none.
func (v *View) Units() int {
	n := len(v.units)
	for _, j := range v.jobs {
		n += sesamework.UnitsOfSteps(len(j.Steps), len(j.occurrences))
	}
	return n
}

// unitReportInterval is the least time between two updates of the metrics on units.
const unitReportInterval = time.Second

// reportUnits updates the metrics on units, at most once each unitReportInterval.
func (r *term) reportUnits() {
	now := r.o.Clock.Steady()
	if now-r.unitsReportedAt < unitReportInterval {
		return
	}
	r.unitsReportedAt = now
	r.o.Scope.Gauge("units").Update(float64(r.view.Units()))
	r.o.Scope.Gauge("units_created").Update(float64(len(r.view.units)))
	r.o.Scope.Gauge("held_ends").Update(float64(len(r.view.ends)))
	r.o.Scope.Gauge("obsolete_rows").Update(float64(len(r.view.obsolete.rows)))
	r.o.Scope.Gauge("max_units").Update(float64(r.view.maxUnits))
}
