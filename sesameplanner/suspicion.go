package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// suspensionClasses is how many teams' classes must fail on a target in a
	// row before it is left unused for a while.
	suspensionClasses = 2
	firstSuspension   = time.Minute
	maxSuspension     = time.Hour
)

// suspect is a target on which jobs failed and none has succeeded since.
type suspect struct {
	// failedJobs holds one failed job for each class, so that one class full of
	// broken failedJobs weighs no more than one job.
	failedJobs map[classKey]sesamemodel.JobID
	// suspendedUntil is when the target may be tried again.
	suspendedUntil time.Time
	backoff        time.Duration
}

// RecordFailure tells that an attempt of the job failed on those targets; the job is
// as JudgeFailure returned it. Until it is known whether the job or a target is
// at fault, other work prefers other targets; a job that failed more than once
// counts against none.
func (p *Planner) RecordFailure(now time.Time, job sesamemodel.Job, targets []sesamemodel.TargetID) {
	key := classKey{
		team:  job.Spec.Team,
		class: job.Spec.Class,
	}
	if job.Failures > 1 {
		for _, id := range job.Avoid {
			p.retractFailure(id, key, job.ID)
		}
		return
	}
	for _, id := range targets {
		s, ok := p.suspects[id]
		if !ok {
			s = &suspect{
				failedJobs: map[classKey]sesamemodel.JobID{},
				backoff:    firstSuspension,
			}
			p.suspects[id] = s
		}
		s.failedJobs[key] = job.ID
		if len(s.failedJobs) >= suspensionClasses && p.maySuspend() {
			s.suspendedUntil = now.Add(s.backoff)
			s.backoff = min(2*s.backoff, maxSuspension)
		}
	}
}

// maySuspend bounds the part of the targets that are left unused.
func (p *Planner) maySuspend() bool {
	suspended := 1
	for _, s := range p.suspects {
		if len(s.failedJobs) >= suspensionClasses {
			suspended++
		}
	}
	return suspended <= 1+int(maxQuarantinedShare*float64(p.cells.targets))
}

// retractFailure takes back a failure that was the job's own.
func (p *Planner) retractFailure(id sesamemodel.TargetID, key classKey, job sesamemodel.JobID) {
	s, ok := p.suspects[id]
	if !ok || s.failedJobs[key] != job {
		return
	}
	delete(s.failedJobs, key)
	if len(s.failedJobs) < suspensionClasses {
		s.suspendedUntil = time.Time{}
	}
	if len(s.failedJobs) == 0 {
		delete(p.suspects, id)
	}
}

// RecordSuccess tells that a job has succeeded on its targets, which clears them.
func (p *Planner) RecordSuccess(job sesamemodel.Job) {
	for _, a := range job.Assignments {
		delete(p.suspects, a.Target)
	}
}

// failedClasses returns how many classes failed on a target in a row.
func (p *Planner) failedClasses(id sesamemodel.TargetID) int {
	if len(p.suspects) == 0 || p.options.Disabled.Suspicion {
		return 0
	}
	s, ok := p.suspects[id]
	if !ok {
		return 0
	}
	return len(s.failedJobs)
}

// suspended reports whether a target is left unused for now.
func (p *Planner) suspended(id sesamemodel.TargetID, now time.Time) bool {
	if len(p.suspects) == 0 || p.options.Disabled.Suspicion {
		return false
	}
	s, ok := p.suspects[id]
	return ok && now.Before(s.suspendedUntil)
}
