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
	entries []*jobEntry
	removed []removedAllocation
	// cost is the work that is lost, in accelerator seconds.
	cost float64
	// overdueOnly limits the choice to work beyond its expected end.
	overdueOnly bool
}

// removedAllocation is an allocation that a placement removes.
type removedAllocation struct {
	state    *cellState
	node     int
	position int32
}

func (v *victims) has(id sesamemodel.JobID) bool {
	return slices.ContainsFunc(v.entries, func(e *jobEntry) bool {
		return e.job.ID == id
	})
}

// candidate is a reclaimable allocation on a target.
type candidate struct {
	entry    *jobEntry
	position int32
	frees    sesamemodel.Resources
	cost     float64
}

// makeRoom chooses victims on a part's target until the part fits: one that frees
// enough by itself if there is one, else the cheapest. It reports whether the
// part fits then.
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

// addUntilFits stops candidates in their order until the need fits, but those that
// turn out not to be needed.
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

// candidates lists what can be reclaimed on a target, cheapest first.
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

// checkpointLoss is the work that a stopped task with checkpoints repeats.
const checkpointLoss = time.Minute

// lostWork estimates, in accelerator seconds, what stopping a job throws away: all
// that ran without checkpoints, and the restart of the whole gang.
func lostWork(now time.Time, job sesamemodel.Job, a *sesamemodel.Allocation) float64 {
	lost := checkpointLoss
	if !job.Spec.Checkpoints {
		lost += max(now.Sub(a.Since), 0)
	}
	weight := max(job.Spec.Task.Accelerators, 1) * job.Spec.Tasks
	return lost.Seconds() * float64(weight)
}

// stop returns the victims as they become.
func (v *victims) stop(p *Planner, now time.Time, job sesamemodel.Job) []sesamemodel.Job {
	why := "which its guarantee covers"
	if v.overdueOnly {
		why = "which waited beyond its reserved start"
	}
	var stopped []sesamemodel.Job
	for _, e := range v.entries {
		victim := e.job
		if victim.State != sesamemodel.Stopping {
			reason := fmt.Sprintf("stopped for job %q of team %q, %s", job.ID, job.Spec.Team, why)
			victim = victim.WithStop(now, sesamemodel.Queued, reason)
			p.SetJob(victim)
		}
		stopped = append(stopped, victim)
	}
	return stopped
}
