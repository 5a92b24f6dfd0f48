package sesameplanner

import (
	"fmt"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Risk is a guaranteed shape that its cell cannot form at present.
type Risk struct {
	Cell      sesamemodel.CellID
	Guarantee sesamemodel.Guarantee
	// Reason says what is needed and how much is available.
	Reason string
}

// GuaranteesAtRisk returns the guaranteed shapes that the ready workers of
// their cells cannot form at present, sorted by cell within each zone.
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

// describeRisk returns the Risk for one guarantee, with counts of the workers
// that are ready and of those with enough accelerators.
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

// RepairGuarantees moves guarantees at risk to cells that can form them. It
// returns the changed cells, to be committed in one transaction; the planner's
// own state changes as if they were. A guarantee that no cell can form keeps
// its assignment and stays at risk.
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
