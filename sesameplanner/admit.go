package sesameplanner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Admit is the admission control for contracts: it assigns every guaranteed
// shape to cells whose ready workers can form it in addition to all other
// guarantees. Assignments that still match a contract are kept. It returns the
// cells whose guarantees change, or a *NoRoomError for the first new shape that
// does not fit.
//
// A shape that was assigned before, but can no longer be formed because workers
// were lost, moves to other cells. If none has room, it keeps its old
// assignment and Planner.GuaranteesAtRisk reports it.
func Admit(contracts []sesamemodel.Contract, cells []sesamemodel.Cell) ([]sesamemodel.Cell, error) {
	a := newAdmission(cells)
	pending := a.dropObsolete(contracts)
	pending = append(a.removeBroken(), pending...)
	for _, w := range pending {
		if a.assign(w) {
			continue
		}
		if !w.restore(a) {
			return nil, a.noRoom(w)
		}
	}
	return a.changed(), nil
}

// guaranteeKey identifies one shape of one contract: the team and the position
// of the shape in the contract.
type guaranteeKey struct {
	team  sesamemodel.TeamID
	index int
}

// unassignedShape is a guaranteed shape that still needs cells.
type unassignedShape struct {
	key   guaranteeKey
	shape sesamemodel.Shape
	// previous holds, by cell, the assignment that a broken shape had; it is
	// empty for a new shape.
	previous map[sesamemodel.CellID]sesamemodel.Guarantee
}

// admission is the working state of one call of Admit or of
// Planner.RepairGuarantees.
type admission struct {
	// states holds each cell with the guarantees assigned so far.
	states map[sesamemodel.CellID]*cellState
	// order lists the cells in a fixed order, so that the same input always
	// gives the same assignment.
	order []sesamemodel.CellID
	// previous holds the guarantees of each cell before the call.
	previous map[sesamemodel.CellID][]sesamemodel.Guarantee
}

// newAdmission returns an admission over the given cells.
func newAdmission(cells []sesamemodel.Cell) *admission {
	a := &admission{
		states:   map[sesamemodel.CellID]*cellState{},
		previous: map[sesamemodel.CellID][]sesamemodel.Guarantee{},
	}
	for _, c := range cells {
		a.addCellState(newCellState(c))
	}
	slices.Sort(a.order)
	return a
}

// addCellState adds a cell with its present guarantees, at the end of the order.
func (a *admission) addCellState(s *cellState) {
	a.states[s.cell.ID] = s
	a.previous[s.cell.ID] = s.cell.Guarantees
	a.order = append(a.order, s.cell.ID)
}

// setGuarantees replaces all guarantees assigned to a cell.
func (a *admission) setGuarantees(id sesamemodel.CellID, g []sesamemodel.Guarantee) {
	a.states[id] = newCellState(a.states[id].cell.WithGuarantees(g))
}

// dropObsolete removes assignments that no longer match a contract's shape, and
// returns the shapes that have no assignment, the hardest to place first.
func (a *admission) dropObsolete(contracts []sesamemodel.Contract) []unassignedShape {
	asked := map[guaranteeKey]sesamemodel.Shape{}
	for _, c := range contracts {
		for i, s := range c.Guarantees {
			asked[guaranteeKey{team: c.Team, index: i}] = s
		}
	}
	assigned := a.assignedWorkers()
	for _, id := range a.order {
		present := a.states[id].cell.Guarantees
		kept := slices.DeleteFunc(slices.Clone(present), func(g sesamemodel.Guarantee) bool {
			key := keyOf(g)
			return !sameShape(asked[key], g.Shape, assigned[key])
		})
		if len(kept) < len(present) {
			a.setGuarantees(id, kept)
		}
	}
	var pending []unassignedShape
	for key, shape := range asked {
		if !slices.ContainsFunc(a.order, func(id sesamemodel.CellID) bool {
			return slices.ContainsFunc(a.states[id].cell.Guarantees, func(g sesamemodel.Guarantee) bool {
				return keyOf(g) == key
			})
		}) {
			pending = append(pending, unassignedShape{
				key:   key,
				shape: shape,
			})
		}
	}
	slices.SortFunc(pending, compareUnassigned)
	return pending
}

// keyOf returns the key of the contract shape that a guarantee is for.
func keyOf(g sesamemodel.Guarantee) guaranteeKey {
	return guaranteeKey{
		team:  g.Team,
		index: g.Index,
	}
}

// assignedWorkers counts the workers that are assigned to each shape, over all
// cells.
func (a *admission) assignedWorkers() map[guaranteeKey]int {
	workers := map[guaranteeKey]int{}
	for _, id := range a.order {
		for _, g := range a.states[id].cell.Guarantees {
			workers[keyOf(g)] += g.Shape.Workers
		}
	}
	return workers
}

// sameShape reports whether a contract's shape is the one that is assigned:
// part is the share of one cell, and workers the total over all cells.
func sameShape(asked, part sesamemodel.Shape, workers int) bool {
	return asked.Workers == workers && asked.Accelerators == part.Accelerators && asked.Span == part.Span
}

// compareUnassigned orders guaranteed shapes that still need cells, the hardest
// to place first: those with more accelerators on each worker, then those with
// more workers. Ties go by team and by position in the contract.
func compareUnassigned(a, b unassignedShape) int {
	return cmp.Or(
		cmp.Compare(perWorker(b.shape), perWorker(a.shape)),
		cmp.Compare(b.shape.Workers, a.shape.Workers),
		cmp.Compare(a.key.team, b.key.team),
		cmp.Compare(a.key.index, b.key.index),
	)
}

// removeBroken removes every shape of which a cell can no longer form its part,
// in all of its cells, and returns these shapes with their previous
// assignments.
func (a *admission) removeBroken() []unassignedShape {
	broken := map[guaranteeKey]*unassignedShape{}
	for _, id := range a.order {
		s := a.states[id]
		for _, g := range s.packing().failed {
			guarantee := s.cell.Guarantees[g]
			broken[keyOf(guarantee)] = &unassignedShape{
				key:      keyOf(guarantee),
				previous: map[sesamemodel.CellID]sesamemodel.Guarantee{},
			}
		}
	}
	if len(broken) == 0 {
		return nil
	}
	for _, id := range a.order {
		a.removeFromCell(id, broken)
	}
	var pending []unassignedShape
	for _, w := range broken {
		pending = append(pending, *w)
	}
	slices.SortFunc(pending, compareUnassigned)
	return pending
}

// removeFromCell removes a cell's parts of broken shapes and adds up each shape
// from its parts.
func (a *admission) removeFromCell(id sesamemodel.CellID, broken map[guaranteeKey]*unassignedShape) {
	var kept []sesamemodel.Guarantee
	present := a.states[id].cell.Guarantees
	for _, g := range present {
		w, ok := broken[keyOf(g)]
		if !ok {
			kept = append(kept, g)
			continue
		}
		w.previous[id] = g
		workers := w.shape.Workers + g.Shape.Workers
		w.shape = g.Shape
		w.shape.Workers = workers
	}
	if len(kept) < len(present) {
		a.setGuarantees(id, kept)
	}
}

// restore gives a shape its previous assignment back. It reports whether the
// shape had one; a new shape has none.
func (w unassignedShape) restore(a *admission) bool {
	for id, g := range w.previous {
		a.setGuarantees(id, append(slices.Clone(a.states[id].cell.Guarantees), g))
	}
	return len(w.previous) > 0
}

// assign gives a shape to the cell with the fewest spare accelerators that can
// form it (best fit). A shape that fits no single cell is split over several
// cells if its span is a zone or a region. It reports whether a place was
// found.
func (a *admission) assign(w unassignedShape) bool {
	order := slices.Clone(a.order)
	slices.SortStableFunc(order, func(i, k sesamemodel.CellID) int {
		return cmp.Compare(a.spareAccelerators(i), a.spareAccelerators(k))
	})
	for _, id := range order {
		if a.countAbleWorkers(id, w.shape) >= workerCount(w.shape) && a.tryAdd(id, w, w.shape.Workers) {
			return true
		}
	}
	if w.shape.Span != sesamemodel.SpanZone && w.shape.Span != sesamemodel.SpanRegion {
		return false
	}
	return a.split(w)
}

// spareAccelerators returns how many accelerators of a cell belong to no
// guarantee.
func (a *admission) spareAccelerators(id sesamemodel.CellID) int {
	total := 0
	for _, r := range a.states[id].packing().spare {
		total += r
	}
	return total
}

// countAbleWorkers counts the workers of a cell with enough spare accelerators
// for their part of a shape.
func (a *admission) countAbleWorkers(id sesamemodel.CellID, s sesamemodel.Shape) int {
	able := 0
	for _, r := range a.states[id].packing().spare {
		if r >= perWorker(s) {
			able++
		}
	}
	return able
}

// tryAdd assigns a number of workers of a shape to a cell. It changes nothing and
// returns false if the cell could then not form all its guarantees at once.
func (a *admission) tryAdd(id sesamemodel.CellID, w unassignedShape, workers int) bool {
	shape := w.shape
	shape.Workers = workers
	cell := a.states[id].cell
	grown := newCellState(cell.WithGuarantees(append(slices.Clone(cell.Guarantees), sesamemodel.Guarantee{
		Team:  w.key.team,
		Index: w.key.index,
		Shape: shape,
	})))
	if len(grown.packing().failed) > 0 {
		return false
	}
	a.states[id] = grown
	return true
}

// split spreads a shape over several cells of one zone, or of one region if
// that is its span. It reports whether all workers found a place.
func (a *admission) split(w unassignedShape) bool {
	zones := map[string][]sesamemodel.CellID{}
	var names []string
	for _, id := range a.order {
		name := a.states[id].cell.Zone
		if w.shape.Span == sesamemodel.SpanRegion {
			name = a.states[id].cell.Region
		}
		if zones[name] == nil {
			names = append(names, name)
		}
		zones[name] = append(zones[name], id)
	}
	for _, name := range names {
		if a.splitOver(zones[name], w) {
			return true
		}
	}
	return false
}

// splitOver spreads a shape over the given cells, those with the most able
// workers first. If some workers find no place, it undoes the changes and
// returns false.
func (a *admission) splitOver(cells []sesamemodel.CellID, w unassignedShape) bool {
	slices.SortStableFunc(cells, func(i, k sesamemodel.CellID) int {
		return cmp.Compare(a.countAbleWorkers(k, w.shape), a.countAbleWorkers(i, w.shape))
	})
	before := map[sesamemodel.CellID]*cellState{}
	left := w.shape.Workers
	for _, id := range cells {
		n := min(left, a.countAbleWorkers(id, w.shape))
		old := a.states[id]
		if n > 0 && a.tryAdd(id, w, n) {
			before[id] = old
			left -= n
		}
	}
	if left == 0 {
		return true
	}
	for id, s := range before {
		a.states[id] = s
	}
	return false
}

// noRoom returns the *NoRoomError for a shape, whose Reason says how many workers
// the shape needs and the most that any one cell has for it outside other
// guarantees.
func (a *admission) noRoom(w unassignedShape) error {
	most := 0
	for _, id := range a.order {
		most = max(most, a.countAbleWorkers(id, w.shape))
	}
	return &NoRoomError{
		Team:  w.key.team,
		Index: w.key.index,
		Shape: w.shape,
		Reason: fmt.Sprintf("%d workers with %d accelerators within one %s are needed; no cell has more than %d workers with as many outside other guarantees",
			workerCount(w.shape), perWorker(w.shape), w.shape.Span, most),
	}
}

// sameGuarantees reports whether both lists hold the same guarantees in any
// order.
func sameGuarantees(a, b []sesamemodel.Guarantee) bool {
	if len(a) != len(b) {
		return false
	}
	for _, g := range a {
		if !slices.Contains(b, g) {
			return false
		}
	}
	return true
}

// changed returns the cells whose guarantees differ from those before the call.
func (a *admission) changed() []sesamemodel.Cell {
	var cells []sesamemodel.Cell
	for _, id := range a.order {
		if !sameGuarantees(a.previous[id], a.states[id].cell.Guarantees) {
			cells = append(cells, a.states[id].cell)
		}
	}
	return cells
}
