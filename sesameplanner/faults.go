package sesameplanner

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// maxFailures is how many targets a job may fail on before it ends.
	maxFailures = 3
	// maxSuspectFailures is how many jobs may fail on a target and succeed elsewhere
	// before the target is quarantined.
	maxSuspectFailures = 2
	// maxQuarantinedShare is the part of a cell's targets that may be quarantined.
	maxQuarantinedShare = 0.25

	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
)

// RetryBudget bounds the further attempts of each team by its contract. It is
// owned by one goroutine.
type RetryBudget struct {
	limiters map[sesamemodel.TeamID]*rate.Limiter
}

// NewRetryBudget returns a budget with all retries of an hour unspent.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{
		limiters: map[sesamemodel.TeamID]*rate.Limiter{},
	}
}

// Spend takes one retry from a team's budget and reports whether there was
// one. A change of the contract takes effect at once.
func (b *RetryBudget) Spend(now time.Time, contract sesamemodel.Contract) bool {
	limit := rate.Limit(float64(contract.Limits.RetriesPerHour) / time.Hour.Seconds())
	l, ok := b.limiters[contract.Team]
	if !ok {
		l = rate.NewLimiter(limit, contract.Limits.RetriesPerHour)
		b.limiters[contract.Team] = l
	}
	if l.Burst() != contract.Limits.RetriesPerHour {
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, contract.Limits.RetriesPerHour)
	}
	return l.AllowN(now, 1)
}

// RetryOrFail returns the job after an attempt failed by its own fault or an
// undecided one on those targets: queued for a further attempt elsewhere, or
// failed with the reason. A job that must run at most once is never queued
// again, and one that failed on several targets is at fault itself.
func RetryOrFail(now time.Time, job sesamemodel.Job, targets []sesamemodel.TargetID, detail string, contract sesamemodel.Contract, budget *RetryBudget) sesamemodel.Job {
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
	if !budget.Spend(now, contract) {
		return job.WithEvent(now, sesamemodel.Failed, fmt.Sprintf("the %d retries an hour of team %q are spent: %s",
			contract.Limits.RetriesPerHour, contract.Team, detail))
	}
	return job.WithRequeue(now, fmt.Sprintf("failed on %v: %s", targets, detail))
}

// UpdateSuspectFailures returns the cell after a job has succeeded: targets of the cell
// that the job failed on before are blamed and, after several blames,
// quarantined; those that it succeeded on are cleared.
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

func addSuspectFailure(cell sesamemodel.Cell, t sesamemodel.Target) sesamemodel.Target {
	t.SuspectFailures++
	if t.SuspectFailures < maxSuspectFailures || t.Health != sesamemodel.Ready {
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

// QuarantineDuration returns how long a target stays quarantined; it doubles with each
// quarantine in a row.
func QuarantineDuration(consecutive int) time.Duration {
	d := firstQuarantine
	for range consecutive - 1 {
		d = min(2*d, maxQuarantine)
	}
	return d
}

// EndQuarantine returns a quarantined target as ready, on trial: one more blame
// quarantines it again.
func EndQuarantine(t sesamemodel.Target) sesamemodel.Target {
	t.Health = sesamemodel.Ready
	t.SuspectFailures = maxSuspectFailures - 1
	return t
}
