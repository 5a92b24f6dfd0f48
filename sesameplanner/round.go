package sesameplanner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// round is one call of Plan.
type round struct {
	planner *Planner
	// number is unique to the round.
	number    uint64
	now       time.Time
	limit     int
	decisions []Decision
	// starving are jobs that have waited for room beyond the patience.
	starving []*entry
}

func (r *round) full() bool {
	return len(r.decisions) >= r.limit
}

// refuse ends the queued jobs that can never run.
func (r *round) refuse() {
	p := r.planner
	if len(p.unchecked) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.unchecked)) {
		if r.full() {
			return
		}
		e := p.unchecked[id]
		delete(p.unchecked, id)
		reason := p.impossible(e)
		if reason == "" {
			continue
		}
		p.RemoveJob(id)
		r.decisions = append(r.decisions, Decision{
			Verdict: Refuse,
			Job:     e.job.WithEvent(r.now, sesamemodel.Refused, reason),
		})
	}
}

// proposal is a placement that has not taken effect.
type proposal struct {
	entry       *entry
	assignments []sesamemodel.Assignment
	victims     *victims
	owed        bool
	changed     *change
	// waste is what the placement breaks of whole targets and racks.
	waste float64
}

// propose works out what placing a job on its parts would change.
func (r *round) propose(e *entry, parts []part, v *victims, owed bool) *proposal {
	pr := &proposal{
		entry:       e,
		assignments: make([]sesamemodel.Assignment, 0, len(parts)),
		victims:     v,
		owed:        owed,
		changed:     newChange(),
	}
	for _, t := range v.taken {
		pr.changed.cell(t.state).remove(t.node, t.position)
	}
	allocation := r.allocation(e, owed)
	first := 0
	for _, at := range parts {
		cell := pr.changed.cell(at.state)
		a := assign(at, cell.busy(at.node), first, e.task.Accelerators)
		pr.assignments = append(pr.assignments, a)
		first += at.tasks
		allocation.Target = a.Target
		allocation.Tasks = a.Tasks
		allocation.Resources = e.task.Times(at.tasks)
		allocation.AcceleratorMask = a.AcceleratorMask
		cell.added = append(cell.added, allocation)
		pr.waste += r.planner.options.Packing * r.planner.breakage(at.state, at.node, allocation.Resources.Accelerators)
	}
	return pr
}

// place makes a job run on borrowed parts and stops the victims.
func (r *round) place(e *entry, parts []part, v *victims) {
	r.accept(r.propose(e, parts, v, false))
}

// accept makes a proposal take effect.
func (r *round) accept(pr *proposal) {
	p := r.planner
	placed := pr.entry.job.WithPlacement(r.now, pr.assignments, pr.owed)
	stopped := pr.victims.stop(p, r.now, placed)
	p.SetJob(placed)
	r.decisions = append(r.decisions, Decision{
		Verdict: Place,
		Job:     placed,
		Victims: stopped,
		Cells:   pr.changed.commit(p),
	})
}

// allocation returns what the parts of a job's next attempt have in common.
func (r *round) allocation(e *entry, owed bool) sesamemodel.Allocation {
	return sesamemodel.Allocation{
		Job:            e.job.ID,
		Attempt:        e.job.Attempt + 1,
		Team:           e.job.Spec.Team,
		Owed:           owed,
		NonPreemptible: fixed(e.job.Spec),
		Since:          r.now,
		RunTime:        r.planner.expected(e.job.Spec, conservative),
	}
}

func assign(at part, busy uint64, first, accelerators int) sesamemodel.Assignment {
	t := &at.target().target
	return sesamemodel.Assignment{
		Target:          t.ID,
		Cell:            at.state.cell.ID,
		Address:         t.Address,
		Incarnation:     t.Incarnation,
		FirstRank:       first,
		Tasks:           at.tasks,
		AcceleratorMask: pick(busy, t.Capacity.Accelerators, at.tasks*accelerators),
	}
}

func (e *entry) fail(format string, arguments ...any) {
	e.why = fmt.Sprintf(format, arguments...)
}
