package sesamedispatch

import (
	"slices"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// setDone takes in a row of the done table: which units of a step, or which occurrences
// of a job, are done and have no other rows any more. The row of an unknown job, or of
// an occurrence that is done as a whole, becomes obsolete.
func (v *View) setDone(row sesamerows.Row) {
	found, err := sesamework.ParseDoneKey(row.Key)
	if err != nil {
		return
	}
	j, known := v.jobs[found.Job]
	if !known {
		v.addOrphan(row.Key, found.Job)
		return
	}
	var set sesamework.IndexSet
	if !v.decode(row, row.Value, &set) {
		j.unreadable = true
		return
	}
	switch {
	case found.Occurrences:
		j.setDoneOccurrences(set)
	case j.doneOccurrences.Has(found.Occurrence):
		v.addObsolete(row.Key, 0)
	case found.Step < len(j.Steps) && v.openUpTo(j, found.Occurrence):
		v.setReleased(j.stepsOf(found.Occurrence)[found.Step], set)
	}
}

// setDoneOccurrences sets which occurrences are done and not held any more.
func (j *job) setDoneOccurrences(done sesamework.IndexSet) {
	j.doneOccurrences = done
	j.occurrences = slices.DeleteFunc(j.occurrences, func(steps []*stepUnits) bool {
		return done.Has(steps[0].occurrence)
	})
}

// stepsOf returns the units of an occurrence, by step, or nil if it is not held: it is
// not due yet, or done and released.
func (j *job) stepsOf(occurrence int) []*stepUnits {
	i, ok := slices.BinarySearchFunc(j.occurrences, occurrence, func(steps []*stepUnits, number int) int {
		return steps[0].occurrence - number
	})
	if !ok {
		return nil
	}
	return j.occurrences[i]
}

// nextOccurrence returns the first occurrence that is neither held nor done.
func (j *job) nextOccurrence() int {
	return j.doneOccurrences.NextAbsent(j.opened)
}

// openUpTo opens the occurrences of the job up to that one. It returns false, without
// opening any, if the job has no such occurrence.
func (v *View) openUpTo(j *job, occurrence int) bool {
	if occurrence >= j.Occurrences() {
		return false
	}
	for j.nextOccurrence() <= occurrence {
		v.openNext(j)
	}
	return true
}

// openNext adds the units of the job's next occurrence (one due time of a recurring
// job; other jobs have one) to the job and the view.
func (v *View) openNext(j *job) {
	number := j.nextOccurrence()
	steps := make([]*stepUnits, len(j.Steps))
	for i := range j.Steps {
		steps[i] = newStepUnits(j, number, i)
		for position := 0; v.plain && position < steps[i].count; position++ {
			v.create(steps[i], position)
		}
	}
	j.occurrences = append(j.occurrences, steps)
	j.opened = number + 1
}

// dueToOpen returns how many occurrences are due and to be opened now, without those that
// have to wait: for others that are open and wait, and until the record of those that
// are done fits into a row. wall is the time of day in Unix milliseconds.
func (j *job) dueToOpen(wall int64) int {
	end := min(j.Recurrences, j.doneOccurrences.NextAbsent(0)+sesamework.MaxIndexSpan)
	due := 0
	for next := j.nextOccurrence(); due < sesamework.MaxWaitingOccurrences && next < end && j.Due(next) <= wall; due++ {
		next = j.doneOccurrences.NextAbsent(next + 1)
	}
	if due == 0 {
		return 0
	}
	waiting := 0
	for _, steps := range j.occurrences {
		if haveWaiting(steps) {
			waiting++
		}
	}
	return max(0, min(due, sesamework.MaxWaitingOccurrences-waiting))
}

// haveWaiting reports whether a unit of an occurrence could be started if there were
// room.
func haveWaiting(steps []*stepUnits) bool {
	return slices.ContainsFunc(steps, func(s *stepUnits) bool {
		waits := s.notCreated() > 0 || slices.ContainsFunc(s.created, (*unit).isWaiting)
		return waits && areStepsDone(steps, s.step.After)
	})
}

// doneKeys returns the keys of the rows that record what is done of the job.
func (j *job) doneKeys() []sesamerows.Key {
	var keys []sesamerows.Key
	if j.doneOccurrences.Len() > 0 {
		keys = append(keys, sesamework.DoneOccurrencesKey(j.ID))
	}
	for _, steps := range j.occurrences {
		for _, s := range steps {
			if s.released.Len() > 0 {
				keys = append(keys, s.doneKey())
			}
		}
	}
	return keys
}

// dropDoneRow forgets the record with that key, of a job that has ended.
func (j *job) dropDoneRow(key sesamerows.Key) {
	if key == sesamework.DoneOccurrencesKey(j.ID) {
		j.doneOccurrences = sesamework.IndexSet{}
	}
	for _, steps := range j.occurrences {
		for _, s := range steps {
			if key == s.doneKey() {
				s.released = sesamework.IndexSet{}
			}
		}
	}
}
