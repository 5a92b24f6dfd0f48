package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// maxOwedTrials bounds the placements that are tried for one owed job.
const maxOwedTrials = 6

// option is a way to place an owed job.
type option struct {
	parts   []part
	victims *victims
	// waste ranks options that stop the same amount of work.
	waste float64
}

// cheaper returns a placement of owed work that stops less than cost and keeps
// all guarantees formable, nil when the trials find none.
func (r *round) cheaper(e *entry, cost float64) *proposal {
	options := r.options(e)
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.victims.cost, b.victims.cost),
			cmp.Compare(a.waste, b.waste),
		)
	})
	for _, o := range options[:min(len(options), maxOwedTrials)] {
		if o.victims.cost > cost || o.victims.cost == cost && cost > 0 {
			return nil
		}
		pr := r.propose(e, o.parts, o.victims, true)
		if pr.changed.keepsGuarantees(e.job.Spec.Team) {
			return pr
		}
	}
	return nil
}

// options lists the placements on one target or one rack of the cells that
// hold the team's guarantees.
func (r *round) options(e *entry) []option {
	p := r.planner
	d := p.borrowDemand(e, r.now)
	d.free = r.withoutBorrowers
	var options []option
	for _, id := range sortedCells(p.team(e.job.Spec.Team).cells) {
		s := p.cells.get(id)
		for i := range s.nodes {
			options = r.addOption(options, e, d, s, []int{i})
		}
		if e.job.Spec.Tasks == 1 || e.job.Spec.Span == sesamemodel.SpanWorker {
			continue
		}
		for _, k := range s.racks {
			options = r.addOption(options, e, d, s, s.order[k.first:k.end])
		}
	}
	return options
}

func (r *round) addOption(options []option, e *entry, d *demand, s *cellState, nodes []int) []option {
	parts, total := d.collect(nil, s, nodes)
	if total < d.spec.Tasks {
		return options
	}
	parts = d.trim(parts)
	v := &victims{}
	waste := 0.0
	for _, at := range parts {
		if !v.clear(r.planner, r.now, at, e.task) {
			return options
		}
		waste += r.planner.breakage(s, at.node, at.tasks*e.task.Accelerators)
	}
	return append(options, option{
		parts:   parts,
		victims: v,
		waste:   waste,
	})
}

// withoutBorrowers returns what a node offers once all borrowers on it that
// may be stopped have been.
func (r *round) withoutBorrowers(s *cellState, i int) sesamemodel.Resources {
	free := s.nodes[i].free
	for _, h := range s.nodes[i].held {
		a := &s.cell.Allocations[h]
		if !a.Owed && !a.Fixed && r.planner.known(a) {
			free = free.Plus(a.Resources)
		}
	}
	return free
}
