package sesameplanner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// round is the state of one call of Plan.
type round struct {
	planner *Planner
	// number identifies the round; no other call of Plan has the same.
	number uint64
	now    time.Time
	// limit is the most decisions that the round may make.
	limit     int
	decisions []Decision
	// starving lists jobs without a place that have waited longer than
	// ReserveAfter.
	starving []*jobEntry
}

// limitReached reports whether the round may make no further decision.
func (r *round) limitReached() bool {
	return len(r.decisions) >= r.limit
}

// refuseImpossible refuses those of the unchecked jobs that can never run.
func (r *round) refuseImpossible() {
	p := r.planner
	if len(p.unchecked) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.unchecked)) {
		if r.limitReached() {
			return
		}
		e := p.unchecked[id]
		delete(p.unchecked, id)
		reason := p.impossibleReason(e)
		if reason == "" {
			continue
		}
		p.RemoveJob(id)
		r.decisions = append(r.decisions, Decision{
			Action: Refuse,
			Job:    e.job.WithEvent(r.now, sesamemodel.Refused, reason),
		})
	}
}

// proposal is a possible placement of a job, with all its changes, that has not
// taken effect.
type proposal struct {
	entry       *jobEntry
	assignments []sesamemodel.Assignment
	// victims are the jobs to preempt; empty when none need be.
	victims *victims
	// owed is true if the placement is within the team's guarantee.
	owed bool
	// changes are all changes to cells: those of the placement, of the
	// preemption and of a guarantee that is moved.
	changes *changeSet
	// fragmentation is how much the placement breaks up free targets and racks,
	// weighted by Options.Packing.
	fragmentation float64
}

// propose works out what changes if the job is placed on the parts and replaces
// the allocations of the victims on the parts' targets. Task ranks (0 to
// tasks - 1) are assigned in the order of the parts.
func (r *round) propose(e *jobEntry, parts []gangPart, v *victims, owed bool) *proposal {
	pr := &proposal{
		entry:       e,
		assignments: make([]sesamemodel.Assignment, 0, len(parts)),
		victims:     v,
		owed:        owed,
		changes:     newChangeSet(),
	}
	for _, t := range v.removed {
		pr.changes.forCell(t.state).remove(t.node, t.position)
	}
	allocation := r.newAllocation(e, owed)
	first := 0
	for _, part := range parts {
		cell := pr.changes.forCell(part.state)
		a := newAssignment(part, cell.busyAfter(part.node), first, e.task.Accelerators)
		pr.assignments = append(pr.assignments, a)
		first += part.tasks
		allocation.Target = a.Target
		allocation.Tasks = a.Tasks
		allocation.Resources = e.task.Times(part.tasks)
		allocation.AcceleratorMask = a.AcceleratorMask
		cell.added = append(cell.added, allocation)
		pr.fragmentation += r.planner.options.Packing * r.planner.fragmentation(part.state, part.node, allocation.Resources.Accelerators)
	}
	return pr
}

// placeBorrowed places a job on borrowed capacity and stops the victims.
func (r *round) placeBorrowed(e *jobEntry, parts []gangPart, v *victims) {
	r.accept(r.propose(e, parts, v, false))
}

// accept applies a proposal to the planner's state and adds it to the
// decisions.
func (r *round) accept(pr *proposal) {
	p := r.planner
	placed := pr.entry.job.WithPlacement(r.now, pr.assignments, pr.owed)
	stopped := pr.victims.stop(p, r.now, placed)
	p.SetJob(placed)
	r.decisions = append(r.decisions, Decision{
		Action:  Place,
		Job:     placed,
		Victims: stopped,
		Cells:   pr.changes.applyTo(p),
	})
}

// newAllocation returns the fields that all allocations of a job's next attempt
// (placement) share.
func (r *round) newAllocation(e *jobEntry, owed bool) sesamemodel.Allocation {
	return sesamemodel.Allocation{
		Job:            e.job.ID,
		Attempt:        e.job.Attempt + 1,
		Team:           e.job.Spec.Team,
		Owed:           owed,
		NonPreemptible: nonPreemptible(e.job.Spec),
		Since:          r.now,
		RunTime:        r.planner.expectedRunTime(e.job.Spec, conservativeQuantile),
	}
}

// newAssignment assigns the tasks of a part, from firstRank on, to the part's
// target. busy has a bit set for each accelerator in use. The tasks together get
// the lowest-numbered free accelerators, perTask for each task, or fewer if not
// enough are free.
func newAssignment(part gangPart, busy uint64, firstRank, perTask int) sesamemodel.Assignment {
	t := &part.target().target
	return sesamemodel.Assignment{
		Target:          t.ID,
		Cell:            part.state.cell.ID,
		Address:         t.Address,
		Incarnation:     t.Incarnation,
		FirstRank:       firstRank,
		Tasks:           part.tasks,
		AcceleratorMask: lowestFreeBits(busy, t.Capacity.Accelerators, part.tasks*perTask),
	}
}

// setWaitReason records, in the manner of fmt.Sprintf, why the job waits.
func (e *jobEntry) setWaitReason(format string, arguments ...any) {
	e.waitReason = fmt.Sprintf(format, arguments...)
}
