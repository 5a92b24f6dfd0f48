package sesameplanner

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// maxFailures is how many failed attempts, each on other targets, make a job
	// fail for good, since the fault is then taken to be the job's own.
	maxFailures = 3
	// suspectFailuresToQuarantine is how many jobs that succeeded elsewhere must
	// have failed on a target for it to be quarantined.
	suspectFailuresToQuarantine = 2
	// maxQuarantinedShare bounds the fraction of a cell's targets that are
	// quarantined for suspect failures, where one is always allowed, and the
	// fraction of all targets that are suspended by the planner (see maySuspend).
	maxQuarantinedShare = 0.25

	// firstQuarantine is the length of a target's first quarantine; it doubles
	// with each further one, up to maxQuarantine.
	firstQuarantine = 10 * time.Minute
	// maxQuarantine is the longest quarantine.
	maxQuarantine = 24 * time.Hour
)

// RetryBudget is a token bucket for each team, which limits retries to the
// contract's retries per hour on average and at once. Each entry has one and
// spends only its share of the contract's retries, so that the limit holds for
// all entries together. It is not safe for concurrent use.
type RetryBudget struct {
	limiters map[sesamemodel.TeamID]*rate.Limiter
}

// NewRetryBudget returns a budget in which each team has an hour's retries
// left.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		limiters: map[sesamemodel.TeamID]*rate.Limiter{},
	}
}

// Spend takes one retry from a team's budget and returns true; it returns false
// when none is left. entries is how many entries share the contract's retries;
// each gets the same number, rounded up. A changed limit in the contract, or of the entries, takes effect at once.
func (b *RetryBudget) Spend(now time.Time, contract sesamemodel.Contract, entries int) bool {
	entries = max(entries, 1)
	share := (contract.Limits.RetriesPerHour + entries - 1) / entries
	limit := rate.Limit(float64(share) / time.Hour.Seconds())
	l, ok := b.limiters[contract.Team]
	if !ok {
		l = rate.NewLimiter(limit, share)
		b.limiters[contract.Team] = l
	}
	if l.Burst() != share {
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, share)
	}
	return l.AllowN(now, 1)
}

// RetryLimit is what bounds the retries of a team: its contract's limit, this
// entry's budget, and the entries among which the limit is divided.
type RetryLimit struct {
	Contract sesamemodel.Contract
	Budget   *RetryBudget
	// Entries is how many entries share the contract's retries.
	Entries int
}

// RetryOrFail returns the job after an attempt failed on the given targets,
// through the job's own fault or for a cause that is not known yet. The job is
// queued again, to avoid these targets, or it fails. The detail, which says how
// the attempt failed, becomes part of the job's reason.
//
// A job that must run at most once is never retried. A job that has failed
// maxFailures times is taken to be at fault itself. Other jobs fail only when
// the limit on the team's retries is reached.
func RetryOrFail(now time.Time, job sesamemodel.Job, targets []sesamemodel.TargetID, detail string, limit RetryLimit) sesamemodel.Job {
	job.Failures++
	avoid := slices.Clone(job.Avoid)
	for _, id := range targets {
		if !slices.Contains(avoid, id) {
			avoid = append(avoid, id)
		}
	}
	job.Avoid = avoid
	if job.Spec.AtMostOnce {
		return job.WithEvent(now, sesamemodel.Failed, fmt.Sprintf("failed, and must run at most once: %s", detail))
	}
	if job.Failures >= maxFailures {
		return job.WithEvent(now, sesamemodel.Failed, fmt.Sprintf("failed %d times, on %v: %s", job.Failures, job.Avoid, detail))
	}
	if !limit.Budget.Spend(now, limit.Contract, limit.Entries) {
		return job.WithEvent(now, sesamemodel.Failed, fmt.Sprintf("the %d retries an hour of team %q are spent: %s",
			limit.Contract.Limits.RetriesPerHour, limit.Contract.Team, detail))
	}
	return job.WithRequeue(now, fmt.Sprintf("failed on %v: %s", targets, detail))
}

// UpdateSuspectFailures returns the cell after a job has succeeded. Each target
// on which the job failed before gets one more suspect failure and, after
// suspectFailuresToQuarantine of them, is quarantined. Targets on which the job
// succeeded lose their suspect failures and one of their consecutive
// quarantines.
func UpdateSuspectFailures(cell sesamemodel.Cell, job sesamemodel.Job) sesamemodel.Cell {
	for _, id := range job.Avoid {
		if t, ok := cell.Target(id); ok {
			cell = cell.WithTarget(addSuspectFailure(cell, t))
		}
	}
	for _, a := range job.Assignments {
		t, ok := cell.Target(a.Target)
		if ok && (t.SuspectFailures > 0 || t.ConsecutiveQuarantines > 0) {
			t.SuspectFailures = 0
			t.ConsecutiveQuarantines = max(t.ConsecutiveQuarantines-1, 0)
			cell = cell.WithTarget(t)
		}
	}
	return cell
}

// addSuspectFailure counts a suspect failure and quarantines a ready target
// that has too many, unless that would exceed maxQuarantinedShare. One target
// of a cell may always be quarantined, however small the cell.
func addSuspectFailure(cell sesamemodel.Cell, t sesamemodel.Target) sesamemodel.Target {
	t.SuspectFailures++
	if t.SuspectFailures < suspectFailuresToQuarantine || t.Health != sesamemodel.Ready {
		return t
	}
	quarantined := 1
	for _, other := range cell.Targets {
		if other.Health == sesamemodel.Quarantined {
			quarantined++
		}
	}
	if quarantined > max(1, int(maxQuarantinedShare*float64(len(cell.Targets)))) {
		return t
	}
	t.Health = sesamemodel.Quarantined
	t.ConsecutiveQuarantines++
	t.SuspectFailures = 0
	return t
}

// QuarantineDuration returns how long a target stays quarantined when this is
// its consecutive-th quarantine in a row: firstQuarantine, doubled for each one
// before, up to maxQuarantine.
func QuarantineDuration(consecutive int) time.Duration {
	d := firstQuarantine
	for range consecutive - 1 {
		d = min(2*d, maxQuarantine)
	}
	return d
}

// EndQuarantine returns a quarantined target as ready. The target is on trial:
// one more suspect failure quarantines it again.
func EndQuarantine(t sesamemodel.Target) sesamemodel.Target {
	t.Health = sesamemodel.Ready
	t.SuspectFailures = suspectFailuresToQuarantine - 1
	return t
}
