package sesameplanner

import (
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// change collects the cells that one decision touches.
type change struct {
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
	// next is the state that follows, once it has been worked out.
	next *cellState
}

func newChange() *change {
	return &change{
		cells: map[sesamemodel.CellID]*cellChange{},
	}
}

func (c *change) cell(s *cellState) *cellChange {
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

func (c *cellChange) busy(node int) uint64 {
	return c.state.nodes[node].busy &^ c.freed[node]
}

// result returns the state of the cell as it becomes.
func (c *cellChange) result() *cellState {
	if c.next == nil {
		c.next = newCellState(c.cell())
		c.next.inheritPacking(c.state)
	}
	return c.next
}

func (c *cellChange) cell() sesamemodel.Cell {
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
func (c *change) keepsGuarantees(team sesamemodel.TeamID) bool {
	for _, id := range c.order {
		found := c.cells[id].result().packing()
		if len(found.failed) > 0 || found.outside(team) {
			return false
		}
	}
	return true
}

// commit makes the planner go on with the changed cells and returns them in
// the order of their names.
func (c *change) commit(p *Planner) []sesamemodel.Cell {
	slices.Sort(c.order)
	cells := make([]sesamemodel.Cell, 0, len(c.order))
	for _, id := range c.order {
		next := c.cells[id].result()
		cells = append(cells, next.cell)
		p.setState(next)
	}
	return cells
}
