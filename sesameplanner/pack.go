package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// guaranteeSlot is the part of a guaranteed shape that one worker can be reclaimed for.
type guaranteeSlot struct {
	// guarantee is a position in the cell's guarantees.
	guarantee int
	// node is a position in the cell's nodes.
	node         int
	accelerators int
}

// packing shows that all guarantees of a cell fit together into its ready
// workers, less what cannot be reclaimed.
type packing struct {
	slots []guaranteeSlot
	// spare is what remains of each worker outside all slots, in accelerators.
	spare []int
	// failed are the guarantees that found no place.
	failed []int
	// uncovered is owed work outside the slots of its team, by node.
	uncovered map[sesamemodel.TeamID][]int
}

// hasUncovered reports whether owed work of the team stands hasUncovered its slots.
func (k *packing) hasUncovered(team sesamemodel.TeamID) bool {
	return slices.ContainsFunc(k.uncovered[team], func(held int) bool {
		return held > 0
	})
}

// equivalentAccelerators returns the accelerators of a target that go with an amount. Each
// accelerator comes with its even part of the target's cores and memory, so
// an amount rich in cores counts for more accelerators than it names.
func equivalentAccelerators(r, capacity sesamemodel.Resources) int {
	a := capacity.Accelerators
	n := r.Accelerators
	if capacity.Cores > 0 {
		n = max(n, ceilDivide(r.Cores*a, capacity.Cores))
	}
	if capacity.Memory > 0 {
		n = max(n, ceilDivide(r.Memory*a, capacity.Memory))
	}
	return n
}

func ceilDivide(n, d int) int {
	return (n + d - 1) / d
}

// packer looks for a packing of one cell.
type packer struct {
	state *cellState
	// spare is what is left of each worker, in accelerators.
	spare []int
	// uncoveredOwed is what each team's owed work holds on each worker and no slot
	// covers yet.
	uncoveredOwed map[sesamemodel.TeamID][]int
	// reclaimable is what each worker's reclaimable work holds, in accelerators.
	reclaimable []int
	slots       []guaranteeSlot
	// scratch is space for one choice of workers.
	scratch []int
}

// packing returns how the cell's guarantees pack, worked out on first use.
func (s *cellState) packing() *packing {
	if s.cachedPacking == nil {
		s.cachedPacking = s.findPacking()
	}
	return s.cachedPacking
}

// findPacking packs greedily, which leaves the least work to stop. Where that
// fails it takes the packing from before, then searches.
func (s *cellState) findPacking() *packing {
	if s.pinned {
		if kept := newPacker(s).packAsBefore(s.previousSlots); kept != nil {
			return kept
		}
	}
	order := s.guaranteeOrder()
	best := s.packGreedily(order)
	if len(best.failed) == 0 {
		return best
	}
	if kept := newPacker(s).packAsBefore(s.previousSlots); kept != nil {
		return kept
	}
	if found := newPacker(s).searchPacking(order); found != nil {
		return found
	}
	return best
}

// packGreedily places one guarantee after the other; one that finds no place is
// tried first in the next pass, until all fit or the passes are used up.
func (s *cellState) packGreedily(order []int) *packing {
	var best *packing
	for range len(order) + 1 {
		found := newPacker(s).packInOrder(order)
		if best == nil || len(found.failed) < len(best.failed) {
			best = found
		}
		if len(found.failed) == 0 {
			break
		}
		order = moveFirst(order, found.failed[0])
	}
	return best
}

func moveFirst(order []int, first int) []int {
	moved := append(make([]int, 0, len(order)), first)
	for _, g := range order {
		if g != first {
			moved = append(moved, g)
		}
	}
	return moved
}

// guaranteeOrder puts the shapes that are hardest to place first.
func (s *cellState) guaranteeOrder() []int {
	order := make([]int, len(s.cell.Guarantees))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, k int) int {
		a, b := s.cell.Guarantees[i].Shape, s.cell.Guarantees[k].Shape
		return cmp.Or(
			cmp.Compare(perWorker(b), perWorker(a)),
			cmp.Compare(difficulty(b), difficulty(a)),
		)
	})
	return order
}

func difficulty(s sesamemodel.Shape) int {
	if s.Span == sesamemodel.SpanRack {
		return s.Workers
	}
	return 0
}

// perWorker returns the accelerators that a shape needs on each worker.
func perWorker(s sesamemodel.Shape) int {
	if s.Span == sesamemodel.SpanWorker {
		return s.Total()
	}
	return s.Accelerators
}

// workerCount returns the number of workers that a shape needs.
func workerCount(s sesamemodel.Shape) int {
	if s.Span == sesamemodel.SpanWorker {
		return 1
	}
	return s.Workers
}

func newPacker(s *cellState) *packer {
	p := &packer{
		state:         s,
		spare:         make([]int, len(s.nodes)),
		uncoveredOwed: map[sesamemodel.TeamID][]int{},
		reclaimable:   make([]int, len(s.nodes)),
		slots:         make([]guaranteeSlot, 0, len(s.cell.Guarantees)),
	}
	for i := range s.nodes {
		p.addNode(i)
	}
	return p
}

func (p *packer) addNode(i int) {
	n := &p.state.nodes[i]
	capacity := n.target.Capacity
	if !n.ready() || capacity.Accelerators == 0 {
		return
	}
	var nonPreemptibleUse sesamemodel.Resources
	owed := map[sesamemodel.TeamID]sesamemodel.Resources{}
	for _, h := range n.allocations {
		a := &p.state.cell.Allocations[h]
		switch {
		case a.Owed:
			owed[a.Team] = owed[a.Team].Plus(a.Resources)
		case a.NonPreemptible:
			nonPreemptibleUse = nonPreemptibleUse.Plus(a.Resources)
		default:
			p.reclaimable[i] += max(1, equivalentAccelerators(a.Resources, capacity))
		}
	}
	p.spare[i] = capacity.Accelerators - equivalentAccelerators(nonPreemptibleUse, capacity)
	for team, r := range owed {
		held := equivalentAccelerators(r, capacity)
		p.spare[i] -= held
		if p.uncoveredOwed[team] == nil {
			p.uncoveredOwed[team] = make([]int, len(p.state.nodes))
		}
		p.uncoveredOwed[team][i] = held
	}
}

func (p *packer) packInOrder(order []int) *packing {
	var failed []int
	for _, g := range order {
		if !p.placeGuarantee(g) {
			failed = append(failed, g)
		}
	}
	return p.result(failed)
}

func (p *packer) result(failed []int) *packing {
	return &packing{
		slots:     p.slots,
		spare:     p.spare,
		failed:    failed,
		uncovered: p.uncoveredOwed,
	}
}

// coveredByOwed returns the part of count accelerators that the team's owed work
// holds on a worker already.
func (p *packer) coveredByOwed(team sesamemodel.TeamID, node, count int) int {
	uncovered := p.uncoveredOwed[team]
	if uncovered == nil {
		return 0
	}
	return min(uncovered[node], count)
}

func (p *packer) placeGuarantee(guarantee int) bool {
	g := p.state.cell.Guarantees[guarantee]
	chosen := p.chooseWorkers(g)
	if chosen == nil {
		return false
	}
	p.addSlots(guarantee, g, chosen)
	return true
}

// addSlots gives the workers to one shape; the returned function undoes it.
func (p *packer) addSlots(guarantee int, g sesamemodel.Guarantee, chosen []int) func() {
	count := perWorker(g.Shape)
	before := len(p.slots)
	covered := make([]int, len(chosen))
	for at, i := range chosen {
		covered[at] = p.coveredByOwed(g.Team, i, count)
		if covered[at] > 0 {
			p.uncoveredOwed[g.Team][i] -= covered[at]
		}
		p.spare[i] -= count - covered[at]
		p.slots = append(p.slots, guaranteeSlot{
			guarantee:    guarantee,
			node:         i,
			accelerators: count,
		})
	}
	return func() {
		p.slots = p.slots[:before]
		for at, i := range chosen {
			p.spare[i] += count - covered[at]
			if covered[at] > 0 {
				p.uncoveredOwed[g.Team][i] += covered[at]
			}
		}
	}
}

// chooseWorkers returns the workers for one shape, nil when there are too few.
func (p *packer) chooseWorkers(g sesamemodel.Guarantee) []int {
	var chosen []int
	least := 0
	for _, among := range p.workerGroups(g.Shape) {
		found := p.cheapestWorkers(g, among)
		if found == nil {
			continue
		}
		cost := p.groupCost(g, found)
		if chosen == nil || cost < least {
			chosen, least = found, cost
		}
	}
	return chosen
}

// owedWeight ranks workers that hold the team's owed work before others.
const owedWeight = 1 << 20

// reclaimableWeight ranks workers with less reclaimable work before closer fits.
const reclaimableWeight = 1 << 8

func (p *packer) groupCost(g sesamemodel.Guarantee, nodes []int) int {
	total := 0
	for _, i := range nodes {
		total += p.nodeCost(g, i)
	}
	return total
}

func (p *packer) nodeCost(g sesamemodel.Guarantee, i int) int {
	covered := p.coveredByOwed(g.Team, i, perWorker(g.Shape))
	return p.reclaimable[i]*reclaimableWeight + p.spare[i] - covered*owedWeight
}

// hasRoom reports whether a worker has room for its part of a shape.
func (p *packer) hasRoom(g sesamemodel.Guarantee, i int) bool {
	n := &p.state.nodes[i]
	count := perWorker(g.Shape)
	if !n.ready() || n.target.Capacity.Accelerators < count {
		return false
	}
	return p.spare[i] >= count-p.coveredByOwed(g.Team, i, count)
}

// cheapestWorkers returns the cheapest workers for a shape among those given.
func (p *packer) cheapestWorkers(g sesamemodel.Guarantee, among []int) []int {
	wanted := workerCount(g.Shape)
	p.scratch = p.ableByCost(p.scratch[:0], g, among)
	if len(p.scratch) < wanted {
		return nil
	}
	return slices.Clone(p.scratch[:wanted])
}
