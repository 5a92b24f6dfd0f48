package sesameplanner

import (
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// changeSet collects what one decision changes in cells, before it takes
// effect.
type changeSet struct {
	// order lists the cells, in the order in which they were first touched.
	order []sesamemodel.CellID
	cells map[sesamemodel.CellID]*cellChange
}

// cellChange is what one decision changes in one cell.
type cellChange struct {
	// state is the cell before the change.
	state *cellState
	// removed holds the positions of allocations that are taken away.
	removed map[int32]bool
	// added holds the allocations of the attempt that the decision places.
	added []sesamemodel.Allocation
	// freed holds, by the position of a node, the accelerators that removed
	// allocations release, as bits.
	freed map[int]uint64
	// guarantees replace those of the cell unless nil.
	guarantees []sesamemodel.Guarantee
	// after caches the state after the change; nil until it is first needed.
	after *cellState
}

// newChangeSet returns an empty changeSet.
func newChangeSet() *changeSet {
	return &changeSet{
		cells: map[sesamemodel.CellID]*cellChange{},
	}
}

// forCell returns the change of a cell. For a cell without one it adds an empty
// change to the set.
func (c *changeSet) forCell(s *cellState) *cellChange {
	if cell, ok := c.cells[s.cell.ID]; ok {
		return cell
	}
	cell := &cellChange{
		state: s,
	}
	c.cells[s.cell.ID] = cell
	c.order = append(c.order, s.cell.ID)
	return cell
}

// remove takes away an allocation, given by its position in the cell's list and
// by the position of its target in the nodes.
func (c *cellChange) remove(node int, position int32) {
	if c.removed == nil {
		c.removed = map[int32]bool{}
		c.freed = map[int]uint64{}
	}
	c.removed[position] = true
	c.freed[node] |= c.state.cell.Allocations[position].AcceleratorMask
}

// busyAfter returns the accelerators of a node that stay allocated once the
// removed allocations are gone, as bits. Added allocations are not counted.
func (c *cellChange) busyAfter(node int) uint64 {
	return c.state.nodes[node].busy &^ c.freed[node]
}

// stateAfter returns the state of the cell after the change. Call it only once
// the change is complete, since the result is cached.
func (c *cellChange) stateAfter() *cellState {
	if c.after == nil {
		c.after = newCellState(c.cellAfter())
		c.after.inheritPacking(c.state)
	}
	return c.after
}

// cellAfter returns the cell after the change, without touching the original's
// slices.
func (c *cellChange) cellAfter() sesamemodel.Cell {
	cell := c.state.cell
	kept := make([]sesamemodel.Allocation, 0, len(cell.Allocations)-len(c.removed)+len(c.added))
	if len(c.removed) == 0 {
		kept = append(kept, cell.Allocations...)
	} else {
		for i := range cell.Allocations {
			if !c.removed[int32(i)] {
				kept = append(kept, cell.Allocations[i])
			}
		}
	}
	cell.Allocations = append(kept, c.added...)
	if c.guarantees != nil {
		cell.Guarantees = c.guarantees
	}
	return cell
}

// keepsGuarantees reports whether the changed cells can still form all their
// guarantees and whether, at the same time, guaranteeSlots of the team cover all
// its owed work (work placed within its guarantee) in these cells.
func (c *changeSet) keepsGuarantees(team sesamemodel.TeamID) bool {
	for _, id := range c.order {
		found := c.cells[id].stateAfter().packing()
		if len(found.failed) > 0 || found.hasUncovered(team) {
			return false
		}
	}
	return true
}

// applyTo makes the changed cells the planner's current ones and returns them,
// sorted by name.
func (c *changeSet) applyTo(p *Planner) []sesamemodel.Cell {
	slices.Sort(c.order)
	cells := make([]sesamemodel.Cell, 0, len(c.order))
	for _, id := range c.order {
		next := c.cells[id].stateAfter()
		cells = append(cells, next.cell)
		p.setCellState(next)
	}
	return cells
}
