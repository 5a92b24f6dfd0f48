package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// suspectClasses is how many teams' classes must fail on a target in a
	// row before it is left unused for a while.
	suspectClasses = 2
	firstSuspicion = time.Minute
	maxSuspicion   = time.Hour
)

// suspect is a target on which jobs failed and none has succeeded since.
type suspect struct {
	// jobs holds one failed job for each class, so that one class full of
	// broken jobs weighs no more than one job.
	jobs map[classKey]sesamemodel.JobID
	// until is when the target may be tried again.
	until time.Time
	pause time.Duration
}

// RecordFailure tells that an attempt of the job failed on those targets; the job is
// as JudgeFailure returned it. Until it is known whether the job or a target is
// at fault, other work prefers other targets; a job that failed more than once
// counts against none.
func (p *Planner) RecordFailure(now time.Time, job sesamemodel.Job, on []sesamemodel.TargetID) {
	key := classKey{
		team:  job.Spec.Team,
		class: job.Spec.Class,
	}
	if job.Failures > 1 {
		for _, id := range job.Avoid {
			p.excuse(id, key, job.ID)
		}
		return
	}
	for _, id := range on {
		s, ok := p.suspects[id]
		if !ok {
			s = &suspect{
				jobs:  map[classKey]sesamemodel.JobID{},
				pause: firstSuspicion,
			}
			p.suspects[id] = s
		}
		s.jobs[key] = job.ID
		if len(s.jobs) >= suspectClasses && p.maySuspend() {
			s.until = now.Add(s.pause)
			s.pause = min(2*s.pause, maxSuspicion)
		}
	}
}

// maySuspend bounds the part of the targets that are left unused.
func (p *Planner) maySuspend() bool {
	suspended := 1
	for _, s := range p.suspects {
		if len(s.jobs) >= suspectClasses {
			suspended++
		}
	}
	return suspended <= 1+int(maxQuarantined*float64(p.cells.targets))
}

// excuse takes back a failure that was the job's own.
func (p *Planner) excuse(id sesamemodel.TargetID, key classKey, job sesamemodel.JobID) {
	s, ok := p.suspects[id]
	if !ok || s.jobs[key] != job {
		return
	}
	delete(s.jobs, key)
	if len(s.jobs) < suspectClasses {
		s.until = time.Time{}
	}
	if len(s.jobs) == 0 {
		delete(p.suspects, id)
	}
}

// RecordSuccess tells that a job has succeeded on its targets, which clears them.
func (p *Planner) RecordSuccess(job sesamemodel.Job) {
	for _, a := range job.Assignments {
		delete(p.suspects, a.Target)
	}
}

// suspicion returns how many classes failed on a target in a row.
func (p *Planner) suspicion(id sesamemodel.TargetID) int {
	if len(p.suspects) == 0 || p.options.Without.Suspicion {
		return 0
	}
	s, ok := p.suspects[id]
	if !ok {
		return 0
	}
	return len(s.jobs)
}

// suspended reports whether a target is left unused for now.
func (p *Planner) suspended(id sesamemodel.TargetID, now time.Time) bool {
	if len(p.suspects) == 0 || p.options.Without.Suspicion {
		return false
	}
	s, ok := p.suspects[id]
	return ok && now.Before(s.until)
}
