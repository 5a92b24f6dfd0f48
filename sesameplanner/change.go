package sesameplanner

import (
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// changeSet collects the cells that one decision touches.
type changeSet struct {
	order []sesamemodel.CellID
	cells map[sesamemodel.CellID]*cellChange
}

// cellChange is what one decision does to one cell.
type cellChange struct {
	state   *cellState
	removed map[int32]bool
	added   []sesamemodel.Allocation
	// freed are accelerators that victims leave, by node.
	freed map[int]uint64
	// guarantees replace those of the cell when they are not nil.
	guarantees []sesamemodel.Guarantee
	// after is the state that follows, once it has been worked out.
	after *cellState
}

func newChangeSet() *changeSet {
	return &changeSet{
		cells: map[sesamemodel.CellID]*cellChange{},
	}
}

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

// remove takes the allocation at that position off its node.
func (c *cellChange) remove(node int, position int32) {
	if c.removed == nil {
		c.removed = map[int32]bool{}
		c.freed = map[int]uint64{}
	}
	c.removed[position] = true
	c.freed[node] |= c.state.cell.Allocations[position].AcceleratorMask
}

func (c *cellChange) busyAfter(node int) uint64 {
	return c.state.nodes[node].busy &^ c.freed[node]
}

// stateAfter returns the state of the cell as it becomes.
func (c *cellChange) stateAfter() *cellState {
	if c.after == nil {
		c.after = newCellState(c.cellAfter())
		c.after.inheritPacking(c.state)
	}
	return c.after
}

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

// keepsGuarantees reports whether all guarantees of the changed cells can
// still be formed, with all owed work of the team inside its own.
func (c *changeSet) keepsGuarantees(team sesamemodel.TeamID) bool {
	for _, id := range c.order {
		found := c.cells[id].stateAfter().packing()
		if len(found.failed) > 0 || found.hasUncovered(team) {
			return false
		}
	}
	return true
}

// applyTo makes the planner go on with the changed cells and returns them in
// the order of their names.
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
