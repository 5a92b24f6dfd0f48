package sesamedispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamelog"
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
	// the order of their indexes.
	count   int
	created []*unit
	// allCreatedBefore is a position before which all units are created.
	allCreatedBefore int
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
	if position < s.allCreatedBefore {
		return position, true
	}
	return slices.BinarySearchFunc(s.created, position+s.firstIndex(), func(u *unit, index int) int {
		return cmp.Compare(u.id.Index, index)
	})
}

// notCreated returns how many units are not created.
func (s *stepUnits) notCreated() int {
	return s.count - len(s.created)
}

// nextNotCreated returns the first position from the given one on whose unit is not
// created, or count if there is none.
func (s *stepUnits) nextNotCreated(position int) int {
	position = max(position, s.allCreatedBefore)
	i, _ := s.search(position)
	for i < len(s.created) && s.created[i].id.Index == position+s.firstIndex() {
		i++
		position++
	}
	return position
}

// areDone reports whether all units are done.
func (s *stepUnits) areDone() bool {
	return s.notCreated() == 0 && !slices.ContainsFunc(s.created, func(u *unit) bool {
		return !u.done
	})
}

// openTasks returns how many tasks belong to units that are not done.
func (s *stepUnits) openTasks() int {
	tasks := s.step.Count
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
	if position == s.allCreatedBefore {
		s.allCreatedBefore = s.nextNotCreated(position)
	}
	v.units[u.id] = u
	return u
}

// createByID returns the unit with that ID, and creates it if need be. It returns
// false if the job has no such unit in its occurrences so far.
func (v *View) createByID(id sesamework.UnitID) (*unit, bool) {
	if u, ok := v.units[id]; ok {
		return u, true
	}
	j, ok := v.jobs[id.Job]
	if !ok || id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) || id.Step < 0 || id.Step >= len(j.Steps) {
		return nil, false
	}
	s := j.occurrences[id.Occurrence][id.Step]
	position := id.Index - s.firstIndex()
	if position < 0 || position >= s.count {
		return nil, false
	}
	return v.create(s, position), true
}

// inOrder returns the ready units of the candidate, the longest waiting first, and
// creates those that are not while room is found for them: once the step is blocked,
// they would find none either.
func (p *pass) inOrder(c candidate) iter.Seq[*unit] {
	return func(yield func(*unit) bool) {
		s := c.step
		position := 0
		// offer passes on the units before the end that are not created.
		offer := func(end int) bool {
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

// occurrenceTasks returns the number of tasks in one occurrence of the job.
func (j *job) occurrenceTasks() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return tasks
}

// holdsMore reports whether another occurrence of the job stays within
// sesamework.MaxJobTasks, together with those that are not done.
func (j *job) holdsMore() bool {
	for j.doneOccurrences < len(j.occurrences) && areAllDone(j.occurrences[j.doneOccurrences]) {
		j.doneOccurrences++
	}
	open := len(j.occurrences) - j.doneOccurrences
	return (open+1)*j.occurrenceTasks() <= sesamework.MaxJobTasks
}

// areAllDone reports whether all units of an occurrence are done.
func areAllDone(steps []*stepUnits) bool {
	return !slices.ContainsFunc(steps, func(s *stepUnits) bool {
		return !s.areDone()
	})
}

// isHeldBack reports whether one occurrence of the job alone is above the bound on the
// tasks of a job, as that of a job may be that was accepted before there was a bound.
func (j *job) isHeldBack() bool {
	return j.tooLarge && !j.Recurs()
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
	for i := range min(len(j.occurrences), len(known.occurrences)) {
		for k, s := range j.occurrences[i] {
			s.readySince = known.occurrences[i][k].readySince
		}
	}
}

// holdBack sets whether the job is above the bound on its tasks, and logs it when it
// becomes so. None of its units are then started that are not created yet.
func (v *View) holdBack(j *job, tooLarge bool) {
	if tooLarge && !j.tooLarge {
		v.log.Emit(eventTooLarge, sesamelog.Fields{
			"job":         j.ID,
			"team":        j.Team,
			"tasks":       j.occurrenceTasks(),
			"occurrences": len(j.occurrences) - j.doneOccurrences,
			"bound":       sesamework.MaxJobTasks,
		})
	}
	j.tooLarge = tooLarge
}

// Units returns how many units the planner holds: those of jobs that can still start
// some, and the created ones of all other jobs whose rows are not removed yet.
func (v *View) Units() int {
	n := len(v.units)
	for _, j := range v.jobs {
		if j.isOver() || j.occurrenceTasks() > sesamework.MaxJobTasks {
			continue
		}
		for _, steps := range j.occurrences {
			for _, s := range steps {
				n += s.notCreated()
			}
		}
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
}
