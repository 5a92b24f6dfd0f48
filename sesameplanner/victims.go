package sesameplanner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// victims are the jobs that a placement stops.
type victims struct {
	order []*entry
	taken []taken
}

// taken is an allocation that a placement removes.
type taken struct {
	cell       sesamemodel.Cell
	allocation sesamemodel.Allocation
}

func (v *victims) has(id sesamemodel.JobID) bool {
	return slices.ContainsFunc(v.order, func(e *entry) bool {
		return e.job.ID == id
	})
}

// candidate is a reclaimable allocation on a target.
type candidate struct {
	entry      *entry
	allocation *sesamemodel.Allocation
	cost       float64
}

// clear chooses victims on a part's target until the part fits. It reports
// whether it does.
func (v *victims) clear(p *Planner, now time.Time, at part, job sesamemodel.Job) bool {
	n := at.target()
	need := job.Spec.Task.Times(at.tasks)
	free := n.free
	if need.Fits(free) {
		return true
	}
	var chosen []candidate
	for _, c := range v.candidates(p, now, at) {
		if need.Fits(free) {
			break
		}
		free = free.Plus(c.allocation.Resources)
		chosen = append(chosen, c)
	}
	if !need.Fits(free) {
		return false
	}
	v.take(at, need, free, chosen)
	return true
}

// take records the chosen victims but those that turn out not to be needed.
func (v *victims) take(at part, need, free sesamemodel.Resources, chosen []candidate) {
	for i := len(chosen) - 1; i >= 0; i-- {
		c := chosen[i]
		without := free.Minus(c.allocation.Resources)
		if need.Fits(without) {
			free = without
			continue
		}
		if !v.has(c.entry.job.ID) {
			v.order = append(v.order, c.entry)
		}
		v.taken = append(v.taken, taken{
			cell:       at.state.cell,
			allocation: *c.allocation,
		})
	}
}

// candidates lists what can be reclaimed on a target, cheapest first.
func (v *victims) candidates(p *Planner, now time.Time, at part) []candidate {
	var found []candidate
	for _, h := range at.target().held {
		a := &at.state.cell.Allocations[h]
		if a.Owed || a.Fixed {
			continue
		}
		e, ok := p.jobs[a.Job]
		if !ok || !e.job.State.Active() || e.job.Attempt != a.Attempt {
			continue
		}
		cost := lostWork(now, e.job, a)
		if v.has(a.Job) || e.job.State == sesamemodel.Stopping {
			cost = 0
		}
		found = append(found, candidate{
			entry:      e,
			allocation: a,
			cost:       cost,
		})
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Compare(a.cost, b.cost)
	})
	return found
}

// checkpointLoss is the work that a stopped task with checkpoints repeats.
const checkpointLoss = time.Minute

// lostWork estimates, in task seconds, what stopping a job throws away.
func lostWork(now time.Time, job sesamemodel.Job, a *sesamemodel.Allocation) float64 {
	lost := checkpointLoss
	if !job.Spec.Checkpoints {
		lost = max(now.Sub(a.Since), 0)
	}
	return lost.Seconds() * float64(job.Spec.Tasks)
}

// stop frees what the victims hold on the taken targets and returns the
// victims as they become.
func (v *victims) stop(p *Planner, changed *change, now time.Time, job sesamemodel.Job) []sesamemodel.Job {
	for _, t := range v.taken {
		changed.free(t.cell, t.allocation)
	}
	var stopped []sesamemodel.Job
	for _, e := range v.order {
		victim := e.job
		if victim.State != sesamemodel.Stopping {
			reason := fmt.Sprintf("stopped for job %q of team %q, which its guarantee covers", job.ID, job.Spec.Team)
			victim = victim.WithStop(now, sesamemodel.Queued, reason)
			p.SetJob(victim)
		}
		stopped = append(stopped, victim)
	}
	return stopped
}
