package sesameintake

import (
	"context"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// checkLoad returns an *OverloadedError for a new job that the planner's summary says
// to turn away. It returns nil if the job may have been accepted before, so that
// accept answers as it does for any repeated submission.
func (in *Intake) checkLoad(ctx context.Context, a Admission, j sesamework.Job) error {
	summary := in.states.currentSummary()
	if summary == nil {
		return nil
	}
	j.Team = a.Team
	j.Terms = a.Queue.Terms
	queue := summary.Queues[a.Queue.Name]
	load := sesamecontention.Load{
		Age:   in.storeClock.Now() - time.Duration(summary.At)*time.Millisecond,
		Wait:  queue.WaitTime(),
		Least: queue.LeastTime(),
		Units: summary.Units,
		Bound: summary.Bound,
	}
	verdict, retryAfter := sesamecontention.Admit(arrival(a, j), load)
	if verdict == sesamecontention.Admitted || in.isKnownOrStored(ctx, j.ID) {
		return nil
	}
	in.log.Emit(eventTurnedAway, sesamelog.Fields{
		"job":     j.ID,
		"queue":   a.Queue.Name,
		"team":    a.Team,
		"verdict": verdict,
		"wait":    load.Wait.Milliseconds(),
		"units":   load.Units,
		"age":     load.Age.Milliseconds(),
	})
	in.count("turned_away", a)
	return &OverloadedError{
		Verdict:    verdict,
		Wait:       load.Wait,
		RetryAfter: retryAfter,
	}
}

// arrival returns what the decision on a new job needs.
func arrival(a Admission, j sesamework.Job) sesamecontention.Arrival {
	chain := j.LongestChain()
	guaranteed := a.Policy.GuaranteedAccelerators(j.Team)
	return sesamecontention.Arrival{
		Objective: j.Objective(chain),
		Duration:  chain,
		Timeless: j.Recurs() || slices.ContainsFunc(j.Steps, func(s sesamework.Step) bool {
			return s.LongRunning
		}),
		// Part of a job may be owed.
		MayBeOwed: j.Terms.Priority == 0 && guaranteed > 0 && slices.ContainsFunc(j.Steps, func(s sesamework.Step) bool {
			return s.UnitAccelerators() <= guaranteed
		}),
		Units: j.HeldUnits(),
	}
}

// isKnownOrStored reports whether the job may have been accepted: this entry knows it,
// or its row is in the store. Another entry may have accepted it a moment ago, when
// its answer was lost. If the store does not tell, the job may have been accepted.
func (in *Intake) isKnownOrStored(ctx context.Context, id string) bool {
	if _, known := in.states.get(id); known {
		return true
	}
	row, _, err := sesamerows.ReadRow(ctx, in.store, sesamework.JobKey(id))
	return err != nil || row.Version > 0
}
