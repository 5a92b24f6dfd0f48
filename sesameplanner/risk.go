package sesameplanner

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Risk is a guaranteed shape that cannot be formed at present.
type Risk struct {
	Cell      sesamemodel.CellID
	Guarantee sesamemodel.Guarantee
	// Reason says what is missing, with numbers.
	Reason string
}

// GuaranteesAtRisk returns the guaranteed shapes that the ready workers of their cells
// cannot form, in the order of the cells.
func (p *Planner) GuaranteesAtRisk() []Risk {
	var risks []Risk
	for _, z := range p.cells.zones {
		for _, s := range z.cells {
			if len(s.cell.Guarantees) == 0 {
				continue
			}
			for _, g := range s.packing().failed {
				risks = append(risks, s.describeRisk(s.cell.Guarantees[g]))
			}
		}
	}
	return risks
}

func (s *cellState) describeRisk(g sesamemodel.Guarantee) Risk {
	ready, able := 0, 0
	for i := range s.nodes {
		if !s.nodes[i].ready() {
			continue
		}
		ready++
		if s.packing().spare[i] >= perWorker(g.Shape) {
			able++
		}
	}
	return Risk{
		Cell:      s.cell.ID,
		Guarantee: g,
		Reason: fmt.Sprintf("%d workers with %d accelerators within one %s are needed; of %d targets %d are ready and %d have as many outside other guarantees",
			workerCount(g.Shape), perWorker(g.Shape), g.Shape.Span, len(s.nodes), ready, able),
	}
}

// RepairGuarantees moves the shapes at risk to cells that can form them and returns the
// touched cells as they become, for one transaction. A shape that no cell can
// form stays where it is and at risk. The planner goes on with the result.
func (p *Planner) RepairGuarantees() []sesamemodel.Cell {
	if len(p.GuaranteesAtRisk()) == 0 {
		return nil
	}
	a := newAdmission(nil)
	for _, z := range p.cells.zones {
		for _, s := range z.cells {
			a.addCellState(s)
		}
	}
	for _, w := range a.removeBroken() {
		if !a.assign(w) {
			w.restore(a)
		}
	}
	cells := a.changed()
	for _, c := range cells {
		p.SetCell(c)
	}
	return cells
}
