package sesameplanner

import (
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// change collects the cells that one decision touches.
type change struct {
	order []sesamemodel.CellID
	cells map[sesamemodel.CellID]*sesamemodel.Cell
	// freed are accelerators that victims left on a target.
	freed map[sesamemodel.TargetID]uint64
}

func newChange() *change {
	return &change{
		cells: map[sesamemodel.CellID]*sesamemodel.Cell{},
		freed: map[sesamemodel.TargetID]uint64{},
	}
}

// cell returns the working copy of a cell, its allocations copied.
func (c *change) cell(from sesamemodel.Cell) *sesamemodel.Cell {
	if cell, ok := c.cells[from.ID]; ok {
		return cell
	}
	cell := from.WithAllocations()
	c.cells[from.ID] = &cell
	c.order = append(c.order, from.ID)
	return &cell
}

func (c *change) busy(_ *sesamemodel.Cell, n *node) uint64 {
	return n.busy &^ c.freed[n.target.ID]
}

func (c *change) add(id sesamemodel.CellID, a sesamemodel.Allocation) {
	cell := c.cells[id]
	cell.Allocations = append(cell.Allocations, a)
}

// free removes what an attempt holds on one target.
func (c *change) free(from sesamemodel.Cell, a sesamemodel.Allocation) {
	cell := c.cell(from)
	*cell = cell.WithoutAttempt(a.Job, a.Attempt, a.Target)
	c.freed[a.Target] |= a.Accelerators
}

// commit makes the planner go on with the changed cells and returns them.
func (c *change) commit(p *Planner) []sesamemodel.Cell {
	cells := make([]sesamemodel.Cell, 0, len(c.order))
	for _, id := range c.order {
		cells = append(cells, *c.cells[id])
		p.SetCell(*c.cells[id])
	}
	return cells
}
