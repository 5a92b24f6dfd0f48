package sesameplanner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// victims is the set of jobs that a placement preempts.
type victims struct {
	// entries lists the preempted jobs, each once.
	entries []*jobEntry
	// removed lists the victims' allocations that the placement replaces.
	removed []removedAllocation
	// cost is the work lost by stopping the jobs, in accelerator-seconds.
	cost float64
	// overdueOnly restricts the choice to overdue work, for a reservation; see
	// overdueAt.
	overdueOnly bool
}

// removedAllocation locates an allocation that a placement replaces.
type removedAllocation struct {
	state *cellState
	// node is the position of the allocation's target in the nodes of state.
	node int
	// position is that of the allocation in the cell's list.
	position int32
}

// has reports whether the job is among the victims.
func (v *victims) has(id sesamemodel.JobID) bool {
	return slices.ContainsFunc(v.entries, func(e *jobEntry) bool {
		return e.job.ID == id
	})
}

// candidate is an allocation that could be preempted.
type candidate struct {
	entry *jobEntry
	// position is that of the allocation in its cell's list.
	position int32
	// frees is what the allocation holds.
	frees sesamemodel.Resources
	// cost is the work lost by stopping the job, in accelerator-seconds.
	cost float64
}

// makeRoom adds victims on a part's target until the part's tasks, each of which
// needs task, fit: the cheapest victim that frees enough by itself, or else
// several, the cheapest first. It reports whether the tasks then fit.
func (v *victims) makeRoom(p *Planner, now time.Time, part gangPart, task sesamemodel.Resources) bool {
	free := part.target().free
	need := task.Times(part.tasks)
	if need.Fits(free) {
		return true
	}
	found := v.candidates(p, now, part)
	for _, c := range found {
		if need.Fits(free.Plus(c.frees)) {
			v.add(part, c)
			return true
		}
		if c.cost > 0 && p.options.Disabled.VictimCost {
			break
		}
	}
	return v.addUntilFits(part, need, found)
}

// addUntilFits adds candidates in their order until the need fits, leaving out
// those that turn out not to be needed once the others are stopped. If the need
// does not fit even without all candidates, it adds none and returns false.
func (v *victims) addUntilFits(part gangPart, need sesamemodel.Resources, found []candidate) bool {
	free := part.target().free
	last := 0
	for ; last < len(found) && !need.Fits(free); last++ {
		free = free.Plus(found[last].frees)
	}
	if !need.Fits(free) {
		return false
	}
	for i := last - 1; i >= 0; i-- {
		without := free.Minus(found[i].frees)
		if need.Fits(without) {
			free = without
			continue
		}
		v.add(part, found[i])
	}
	return true
}

// add adds a candidate on a part's target. A job's cost counts once, however
// many of its allocations are added.
func (v *victims) add(part gangPart, c candidate) {
	if !v.has(c.entry.job.ID) {
		v.entries = append(v.entries, c.entry)
		v.cost += c.cost
	}
	v.removed = append(v.removed, removedAllocation{
		state:    part.state,
		node:     part.node,
		position: c.position,
	})
}

// candidates lists the preemptible allocations on a part's target, the cheapest
// first unless PolicyFeatures.VictimCost is disabled. Jobs that are being
// stopped anyway cost nothing. The slice is valid until the next call.
func (v *victims) candidates(p *Planner, now time.Time, part gangPart) []candidate {
	found := p.candidates[:0]
	for _, h := range part.target().allocations {
		a := &part.state.cell.Allocations[h]
		if a.Owed || a.NonPreemptible {
			continue
		}
		e, ok := p.stoppableJob(a)
		if !ok || v.overdueOnly && p.overdueAt(a).After(now) {
			continue
		}
		cost := lostWork(now, e.job, a)
		if v.has(a.Job) || e.job.State == sesamemodel.Stopping {
			cost = 0
		}
		found = append(found, candidate{
			entry:    e,
			position: h,
			frees:    a.Resources,
			cost:     cost,
		})
	}
	p.candidates = found
	if p.options.Disabled.VictimCost {
		return found
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Compare(a.cost, b.cost)
	})
	return found
}

// checkpointLoss is the run time that every stopped task is assumed to lose:
// what it repeats since its last checkpoint, and its restart.
const checkpointLoss = time.Minute

// lostWork estimates what stopping the job that holds allocation a loses, in
// accelerator-seconds: the lost time multiplied by the accelerators of all tasks
// of the gang, where a task without accelerators counts as one. The lost time is
// checkpointLoss plus, without checkpoints, the time since the allocation began.
func lostWork(now time.Time, job sesamemodel.Job, a *sesamemodel.Allocation) float64 {
	lost := checkpointLoss
	if !job.Spec.Checkpoints {
		lost += max(now.Sub(a.Since), 0)
	}
	weight := max(job.Spec.Task.Accelerators, 1) * job.Spec.Tasks
	return lost.Seconds() * float64(weight)
}

// stop moves the victims to the stopping state, to be queued again, with a reason
// that names the placed job, for which they make room. It stores them in the
// planner and returns all of them. A victim that is stopping already is returned
// unchanged.
func (v *victims) stop(p *Planner, now time.Time, placed sesamemodel.Job) []sesamemodel.Job {
	why := "which its guarantee covers"
	if v.overdueOnly {
		why = "which waited beyond its reserved start"
	}
	var stopped []sesamemodel.Job
	for _, e := range v.entries {
		victim := e.job
		if victim.State != sesamemodel.Stopping {
			reason := fmt.Sprintf("stopped for job %q of team %q, %s", placed.ID, placed.Spec.Team, why)
			victim = victim.WithStop(now, sesamemodel.Queued, reason)
			p.SetJob(victim)
		}
		stopped = append(stopped, victim)
	}
	return stopped
}
