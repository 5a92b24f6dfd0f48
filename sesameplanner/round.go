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
	planner   *Planner
	now       time.Time
	limit     int
	decisions []Decision
	// failed holds signatures that found no room in this round.
	failed map[int]bool
}

func (r *round) full() bool {
	return len(r.decisions) >= r.limit
}

// refuse ends the queued jobs that can never run.
func (r *round) refuse() {
	for _, id := range slices.Sorted(maps.Keys(r.planner.unchecked)) {
		if r.full() {
			return
		}
		e := r.planner.unchecked[id]
		delete(r.planner.unchecked, id)
		reason := r.planner.impossible(e)
		if reason == "" {
			continue
		}
		job := e.job.WithEvent(r.now, sesamemodel.Refused, reason)
		r.planner.RemoveJob(id)
		r.decisions = append(r.decisions, Decision{
			Verdict: Refuse,
			Job:     job,
		})
	}
}

// place records a job on its parts and stops the victims.
func (r *round) place(e *entry, parts []part, victims *victims, owed bool) {
	p := r.planner
	p.RemoveJob(e.job.ID)
	changed := newChange()
	stopped := victims.stop(p, changed, r.now, e.job)
	attempt := e.job.Attempt + 1
	var assignments []sesamemodel.Assignment
	first := 0
	for _, part := range parts {
		cell := changed.cell(part.state.cell)
		n := part.target()
		resources := e.job.Spec.Task.Times(part.tasks)
		bits := pick(changed.busy(cell, n), n.target.Capacity.Accelerators, resources.Accelerators)
		assignments = append(assignments, sesamemodel.Assignment{
			Target:       n.target.ID,
			Cell:         cell.ID,
			Address:      n.target.Address,
			Incarnation:  n.target.Incarnation,
			First:        first,
			Tasks:        part.tasks,
			Accelerators: bits,
		})
		first += part.tasks
		changed.add(cell.ID, sesamemodel.Allocation{
			Job:          e.job.ID,
			Attempt:      attempt,
			Team:         e.job.Spec.Team,
			Target:       n.target.ID,
			Tasks:        part.tasks,
			Resources:    resources,
			Accelerators: bits,
			Owed:         owed,
			Fixed:        fixed(e.job.Spec),
			Since:        r.now,
			RunTime:      e.job.Spec.RunTime,
		})
	}
	placed := e.job.WithPlacement(r.now, assignments, owed)
	p.SetJob(placed)
	r.decisions = append(r.decisions, Decision{
		Verdict: Place,
		Job:     placed,
		Victims: stopped,
		Cells:   changed.commit(p),
	})
}

func (r *round) fail(e *entry, format string, arguments ...any) {
	e.why = fmt.Sprintf(format, arguments...)
}
