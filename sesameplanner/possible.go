package sesameplanner

import (
	"fmt"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// impossibleReason says why a job can never run under the present contracts and
// targets; it is empty if the job can. What fits the targets is checked once a
// generation for all jobs with the same signature.
func (p *Planner) impossibleReason(e *jobEntry) string {
	spec := e.job.Spec
	t := p.ensureTeam(spec.Team)
	if t.contract == nil {
		return fmt.Sprintf("team %q has no contract", spec.Team)
	}
	if _, ok := t.contract.Class(spec.Class); !ok {
		return fmt.Sprintf("team %q has no class %q", spec.Team, spec.Class)
	}
	if need := spec.TotalResources().Accelerators; need > t.contract.GuaranteedAccelerators()+t.contract.Limits.Borrow {
		return fmt.Sprintf("%d accelerators asked, %d guaranteed and %d to borrow in the contract of team %q",
			need, t.contract.GuaranteedAccelerators(), t.contract.Limits.Borrow, spec.Team)
	}
	if e.cachedFit.checkedGeneration != p.generation {
		e.cachedFit.checkedGeneration = p.generation
		e.cachedFit.fits = p.cells.couldFit(spec, nil)
		e.cachedFit.avoid = e.job.Avoid
		if len(e.job.Avoid) > 0 && !p.cells.couldFit(spec, e.job.Avoid) {
			e.cachedFit.avoid = nil
		}
	}
	if e.cachedFit.fits {
		return ""
	}
	return fmt.Sprintf("%s do not fit even if all targets were idle", describeRequest(spec))
}

// describeRequest describes the tasks, resources and span that a job asks for.
func describeRequest(s sesamemodel.Spec) string {
	span := string(s.Span)
	if span == "" {
		span = string(sesamemodel.SpanRegion)
	}
	if s.Kind == sesamemodel.Executor {
		return fmt.Sprintf("%d tasks of %d slots within one %s", s.Tasks, s.Task.Slots, span)
	}
	return fmt.Sprintf("%d tasks of %d accelerators, %d cores and %d MiB within one %s",
		s.Tasks, s.Task.Accelerators, s.Task.Cores, s.Task.Memory, span)
}

// couldFit reports whether the job would fit within its span if all targets
// were idle and healthy, leaving out those to avoid. It also returns true while
// no target of the job's kind is known.
func (x *index) couldFit(spec sesamemodel.Spec, avoid []sesamemodel.TargetID) bool {
	known := false
	totals := map[string]int{}
	for _, z := range x.zones {
		for _, s := range z.cells {
			for i := range s.nodes {
				t := &s.nodes[i].target
				if t.Kind != spec.Kind {
					continue
				}
				known = true
				if slices.Contains(avoid, t.ID) {
					continue
				}
				tasks := countFitting(t.Capacity, spec.Task, spec.Tasks)
				if tasks == 0 {
					continue
				}
				key := domainName(spec.Span, gangPart{state: s, node: i})
				totals[key] += tasks
				if totals[key] >= spec.Tasks {
					return true
				}
			}
		}
	}
	return !known
}
