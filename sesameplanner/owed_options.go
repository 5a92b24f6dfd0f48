package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

const (
	// maxOwedTrials bounds how many alternative placements are tried to find one
	// that loses less work to preemption, for one owed job.
	maxOwedTrials = 6
	// maxOwedCells bounds how many cells without a guarantee of the team are
	// searched, for one owed job, as places to which a guarantee could move.
	maxOwedCells = 4
	// minLossToMove is the lost work, in accelerator-seconds, that a placement
	// must exceed before a guarantee is moved to another cell to avoid it.
	minLossToMove = 300.0
)

// owedOption is a possible placement of an owed job on one target or one rack.
type owedOption struct {
	parts []gangPart
	// victims are the borrowers to preempt so that the parts' tasks fit.
	victims *victims
	// fragmentation decides between options that lose the same amount of work.
	fragmentation float64
	// move is the guarantee to move to the option's cell; nil for none.
	move *locatedGuarantee
}

// locatedGuarantee is a guarantee, by its position, and the cell that holds it.
type locatedGuarantee struct {
	state     *cellState
	guarantee int
}

// cheaperPlacement looks for a placement of an owed job that loses less work to
// preemption (in accelerator-seconds) than the given one, or as much if no
// guarantee moves to another cell for it. It tries at most maxOwedTrials options,
// the least lost work first, then the least fragmentation. The result leaves
// room for all guarantees at once and the team's unused guaranteed accelerators
// no more split up over workers (see leftForTeam) than the given placement does.
// If no option qualifies, the given placement is returned.
func (r *round) cheaperPlacement(e *jobEntry, given *proposal) *proposal {
	if r.planner.options.Disabled.Floating {
		return given
	}
	options := r.owedOptions(e, given.victims.cost > minLossToMove)
	slices.SortStableFunc(options, func(a, b owedOption) int {
		return cmp.Or(
			cmp.Compare(a.victims.cost, b.victims.cost),
			cmp.Compare(a.fragmentation, b.fragmentation),
		)
	})
	left := r.leftForTeam(e, given)
	for _, o := range options[:min(len(options), maxOwedTrials)] {
		if o.victims.cost > given.victims.cost || o.victims.cost == given.victims.cost && o.move != nil {
			break
		}
		pr := r.propose(e, o.parts, o.victims, true)
		if o.move != nil {
			pr.changes.moveGuarantee(o.move, o.parts[0].state)
		}
		if pr.changes.keepsGuarantees(e.job.Spec.Team) && slices.Compare(r.leftForTeam(e, pr), left) >= 0 {
			return pr
		}
	}
	return given
}

// leftForTeam returns the accelerators of the team's guarantees that stay
// unused on each worker after a proposal, in descending order. Comparing these
// lists keeps an owed job from breaking up a block that another job of the team
// could use whole.
func (r *round) leftForTeam(e *jobEntry, pr *proposal) []int {
	team := e.job.Spec.Team
	cells := sortedCells(r.planner.ensureTeam(team).guaranteesByCell)
	for _, id := range pr.changes.order {
		if !slices.Contains(cells, id) {
			cells = append(cells, id)
		}
	}
	var left []int
	for _, id := range cells {
		s := r.planner.cells.get(id)
		if c, ok := pr.changes.cells[id]; ok {
			s = c.stateAfter()
		}
		left = append(left, s.unusedAccelerators(team)...)
	}
	slices.SortFunc(left, func(a, b int) int {
		return cmp.Compare(b, a)
	})
	return left
}

// unusedAccelerators returns, for each worker with unused guarantees of the team,
// how many of the guaranteed accelerators are unused.
func (s *cellState) unusedAccelerators(team sesamemodel.TeamID) []int {
	var left []int
	for i, size := range s.guaranteedAccelerators(team) {
		if size == 0 {
			continue
		}
		used := equivalentAccelerators(s.owedUse(team, i), s.nodes[i].target.Capacity)
		if size > used {
			left = append(left, size-used)
		}
	}
	return left
}

// owedOptions lists the possible placements on one target or one rack in the
// cells that hold the team's guarantees. If move is true, it adds placements in
// other cells to which an unused guarantee of the team could move.
func (r *round) owedOptions(e *jobEntry, move bool) []owedOption {
	p := r.planner
	d := p.borrowDemand(e, r.now)
	d.free = r.freeWithoutBorrowers
	var options []owedOption
	ownCells := p.ensureTeam(e.job.Spec.Team).guaranteesByCell
	for _, id := range sortedCells(ownCells) {
		options = r.addCell(options, e, d, p.cells.get(id), nil)
	}
	movable := r.movableGuarantee(e)
	if !move || movable == nil {
		return options
	}
	examined := 0
	for _, z := range p.cells.zones {
		for _, s := range z.cells {
			if examined == maxOwedCells {
				return options
			}
			if ownCells[s.cell.ID] > 0 || s.capacity.Accelerators == 0 {
				continue
			}
			examined++
			options = r.addCell(options, e, d, s, movable)
		}
	}
	return options
}

// addCell appends the options on each target and each rack of a cell; move is the
// guarantee to move to the cell, or nil.
func (r *round) addCell(options []owedOption, e *jobEntry, d *demand, s *cellState, move *locatedGuarantee) []owedOption {
	for i := range s.nodes {
		options = r.addOption(options, e, d, s, []int{i}, move)
	}
	if e.job.Spec.Tasks == 1 || e.job.Spec.Span == sesamemodel.SpanWorker {
		return options
	}
	for _, k := range s.racks {
		options = r.addOption(options, e, d, s, s.nodesByRack[k.first:k.end], move)
	}
	return options
}

// addOption appends the option of placing the job on the given nodes of a cell,
// if all tasks fit on them once borrowers are preempted.
func (r *round) addOption(options []owedOption, e *jobEntry, d *demand, s *cellState, nodes []int, move *locatedGuarantee) []owedOption {
	parts, total := d.appendFitting(nil, s, nodes)
	if total < d.spec.Tasks {
		return options
	}
	parts = d.trim(parts)
	v := &victims{}
	fragmentation := 0.0
	for _, part := range parts {
		if !v.makeRoom(r.planner, r.now, part, e.task) {
			return options
		}
		fragmentation += r.planner.fragmentation(s, part.node, part.tasks*e.task.Accelerators)
	}
	return append(options, owedOption{
		parts:         parts,
		victims:       v,
		fragmentation: fragmentation,
		move:          move,
	})
}

// movableGuarantee returns the smallest guarantee of the team that covers the
// job, lies in one cell, and whose cell runs no owed work of the team. It
// returns nil when there is none.
func (r *round) movableGuarantee(e *jobEntry) *locatedGuarantee {
	p := r.planner
	team := e.job.Spec.Team
	var best *locatedGuarantee
	least := 0
	for _, id := range sortedCells(p.ensureTeam(team).guaranteesByCell) {
		s := p.cells.get(id)
		if s == nil || s.runsOwedWork(team) {
			continue
		}
		for i, g := range s.cell.Guarantees {
			if g.Team != team || !p.isWholeShape(g) || !shapeCovers(g.Shape, e.job.Spec) {
				continue
			}
			if best == nil || g.Shape.Total() < least {
				best, least = &locatedGuarantee{state: s, guarantee: i}, g.Shape.Total()
			}
		}
	}
	return best
}

// runsOwedWork reports whether the cell runs owed work of the team.
func (s *cellState) runsOwedWork(team sesamemodel.TeamID) bool {
	return slices.ContainsFunc(s.cell.Allocations, func(a sesamemodel.Allocation) bool {
		return a.Owed && a.Team == team
	})
}

// isWholeShape reports whether a guarantee is its contract's whole shape,
// rather than the part in one cell of a shape that is split over cells.
func (p *Planner) isWholeShape(g sesamemodel.Guarantee) bool {
	contract := p.ensureTeam(g.Team).contract
	return g.Index < len(contract.Guarantees) && contract.Guarantees[g.Index] == g.Shape
}

// shapeCovers reports whether a shape has a worker for each task, with enough
// accelerators.
func shapeCovers(g sesamemodel.Shape, s sesamemodel.Spec) bool {
	return s.Tasks <= workerCount(g) && s.Task.Accelerators <= perWorker(g)
}

// moveGuarantee moves a guarantee to another cell.
func (c *changeSet) moveGuarantee(from *locatedGuarantee, to *cellState) {
	g := from.state.cell.Guarantees[from.guarantee]
	source := c.forCell(from.state)
	source.guarantees = slices.Delete(slices.Clone(from.state.cell.Guarantees), from.guarantee, from.guarantee+1)
	target := c.forCell(to)
	target.guarantees = append(slices.Clone(to.cell.Guarantees), g)
}

// freeWithoutBorrowers returns what is free on node i plus what all preemptible
// borrowers hold there.
func (r *round) freeWithoutBorrowers(s *cellState, i int) sesamemodel.Resources {
	free := s.nodes[i].free
	for _, h := range s.nodes[i].allocations {
		a := &s.cell.Allocations[h]
		if !a.Owed && !a.NonPreemptible && r.planner.mayStop(a) {
			free = free.Plus(a.Resources)
		}
	}
	return free
}
