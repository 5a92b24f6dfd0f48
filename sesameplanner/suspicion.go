package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// suspensionClasses is how many classes must have failed on a target since
	// its last success for the target to be suspended.
	suspensionClasses = 2
	// firstSuspension is the length of a target's first suspension; it doubles
	// with each further one (exponential back-off), up to maxSuspension.
	firstSuspension = time.Minute
	// maxSuspension is the longest suspension.
	maxSuspension = time.Hour
)

// suspect is a target with failures and no success since then. Suspension works
// like a circuit breaker: the target gets no new work until a cool-down has
// passed.
type suspect struct {
	// failedJobs holds the last failed job of each class. Counting classes
	// instead of jobs keeps one class full of broken jobs from weighing more
	// than one job.
	failedJobs map[classKey]sesamemodel.JobID
	// suspendedUntil is the end of the latest suspension, from when on the
	// target may get new work; zero if there was none.
	suspendedUntil time.Time
	// backoff is the length of the next suspension.
	backoff time.Duration
}

// RecordFailure records that an attempt of the job failed on the given targets;
// job is the result of RetryOrFail. As long as it is open whether the job or a
// target is at fault, other jobs prefer other targets, and targets with
// failures of several classes are suspended as far as maySuspend allows. A job
// that has failed more than once is taken to be at fault: its failures no
// longer count against any target.
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

// maySuspend reports whether the targets with failures of enough classes, of
// which the one to be suspended is one already, are at most maxQuarantinedShare
// of all targets, so that failures cannot take too much capacity away. One target
// may always be suspended unless it is the only one.
func (p *Planner) maySuspend() bool {
	suspended := 0
	for _, s := range p.suspects {
		if len(s.failedJobs) >= suspensionClasses {
			suspended++
		}
	}
	return p.cells.targets > 1 && suspended <= max(1, int(maxQuarantinedShare*float64(p.cells.targets)))
}

// retractFailure removes a failure of the job from a target, since the job
// itself was at fault, and ends a suspension that no longer has enough failed
// classes.
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

// RecordSuccess records that a job has succeeded; its targets are no longer
// suspects.
func (p *Planner) RecordSuccess(job sesamemodel.Job) {
	for _, a := range job.Assignments {
		delete(p.suspects, a.Target)
	}
}

// failedClasses returns how many classes have failed on a target since its last
// success.
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

// suspended reports whether a target gets no new work at the time now, because
// jobs of several classes failed on it without a success in between.
func (p *Planner) suspended(id sesamemodel.TargetID, now time.Time) bool {
	if len(p.suspects) == 0 || p.options.Disabled.Suspicion {
		return false
	}
	s, ok := p.suspects[id]
	return ok && now.Before(s.suspendedUntil)
}
