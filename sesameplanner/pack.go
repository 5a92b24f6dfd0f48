package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// guaranteeSlot sets accelerators of one worker aside for one guaranteed shape.
// Others may borrow them until the guarantee is claimed. It has nothing to do
// with the slots of sesamemodel.Resources.
type guaranteeSlot struct {
	// guarantee is a position in the cell's guarantees.
	guarantee int
	// node is a position in the cell's nodes.
	node         int
	accelerators int
}

// packing is the result of placing all guarantees of a cell on its ready
// workers at the same time. Capacity held by non-preemptible work is left out.
type packing struct {
	// slots has a slot for each worker of each guarantee that found a place.
	slots []guaranteeSlot
	// spare is, for each node, the accelerators outside all slots.
	spare []int
	// failed lists the guarantees that found no place, as positions.
	failed []int
	// uncovered is, for each team and node, the accelerators held by owed work
	// (work placed within the team's guarantee) that no slot of the team
	// covers.
	uncovered map[sesamemodel.TeamID][]int
}

// hasUncovered reports whether the team runs owed work outside its slots.
func (k *packing) hasUncovered(team sesamemodel.TeamID) bool {
	return slices.ContainsFunc(k.uncovered[team], func(held int) bool {
		return held > 0
	})
}

// equivalentAccelerators converts an amount on a target to accelerators. Each
// accelerator comes with an even share of the target's cores and memory, so an
// amount that needs many cores or much memory counts for more accelerators than
// it names.
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

// ceilDivide returns n / d, rounded up.
func ceilDivide(n, d int) int {
	return (n + d - 1) / d
}

// packer builds a packing of one cell step by step.
type packer struct {
	state *cellState
	// spare is, for each node, the accelerators that no slot has taken so far.
	spare []int
	// uncoveredOwed is, for each team and node, the accelerators held by owed
	// work that no slot covers so far.
	uncoveredOwed map[sesamemodel.TeamID][]int
	// reclaimable is, for each node, the accelerators held by preemptible
	// borrowers.
	reclaimable []int
	// slots are those of the guarantees placed so far.
	slots []guaranteeSlot
	// scratch is a buffer that is reused for each choice of workers.
	scratch []int
}

// packing returns how the cell's guarantees pack. The result is computed on
// first use and cached.
func (s *cellState) packing() *packing {
	if s.cachedPacking == nil {
		s.cachedPacking = s.findPacking()
	}
	return s.cachedPacking
}

// findPacking packs greedily, because that leaves the least work to stop when
// guarantees are claimed. If some guarantee then finds no place, it tries the
// previous packing and then a search. A pinned cell tries the previous packing
// first. If all fail, it returns the greedy packing with the fewest failures.
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

// packGreedily places one guarantee after the other. A guarantee that finds no
// place is tried first in the next pass, until all fit or there were as many
// passes as guarantees plus one.
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

// moveFirst returns the order with one element moved to the front.
func moveFirst(order []int, first int) []int {
	moved := append(make([]int, 0, len(order)), first)
	for _, g := range order {
		if g != first {
			moved = append(moved, g)
		}
	}
	return moved
}

// guaranteeOrder returns the positions of the guarantees, the hardest to place
// first.
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

// difficulty is higher for a shape that is harder to place: its number of
// workers if they must share a rack, else 0. It compares only shapes with equally
// many accelerators on each worker.
func difficulty(s sesamemodel.Shape) int {
	if s.Span == sesamemodel.SpanRack {
		return s.Workers
	}
	return 0
}

// perWorker returns how many accelerators a shape needs on each worker. A shape
// whose span is one worker needs all of them there.
func perWorker(s sesamemodel.Shape) int {
	if s.Span == sesamemodel.SpanWorker {
		return s.Total()
	}
	return s.Accelerators
}

// workerCount returns how many workers a shape needs.
func workerCount(s sesamemodel.Shape) int {
	if s.Span == sesamemodel.SpanWorker {
		return 1
	}
	return s.Workers
}

// newPacker returns a packer for a cell in which no guarantee is placed yet.
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

// addNode works out what node i offers to guarantees: its accelerators less
// those held by non-preemptible and by owed work. Owed work is noted per team,
// since slots of its own team may cover it. A node that is not ready offers
// nothing.
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

// packInOrder places the guarantees, given by position, one after the other and
// notes in the packing those that find no place.
func (p *packer) packInOrder(order []int) *packing {
	var failed []int
	for _, g := range order {
		if !p.placeGuarantee(g) {
			failed = append(failed, g)
		}
	}
	return p.result(failed)
}

// result returns the packing built so far, with the positions of the guarantees
// that found no place.
func (p *packer) result(failed []int) *packing {
	return &packing{
		slots:     p.slots,
		spare:     p.spare,
		failed:    failed,
		uncovered: p.uncoveredOwed,
	}
}

// coveredByOwed returns how many of count accelerators that a slot needs on a
// node are held by owed work of the team that no slot covers yet. The slot takes
// only the other accelerators from the node's spare ones.
func (p *packer) coveredByOwed(team sesamemodel.TeamID, node, count int) int {
	uncovered := p.uncoveredOwed[team]
	if uncovered == nil {
		return 0
	}
	return min(uncovered[node], count)
}

// placeGuarantee places one guarantee on the cheapest workers; it returns false
// when too few have room.
func (p *packer) placeGuarantee(guarantee int) bool {
	g := p.state.cell.Guarantees[guarantee]
	chosen := p.chooseWorkers(g)
	if chosen == nil {
		return false
	}
	p.addSlots(guarantee, g, chosen)
	return true
}

// addSlots adds a slot for a guarantee on each of the chosen workers. The
// returned function undoes it.
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

// chooseWorkers returns the positions of the cheapest workers for a guarantee,
// all in one rack if the shape requires it; nil when too few have room.
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

// owedWeight makes nodeCost prefer workers that run owed work of the team over
// any other difference, so that slots cover this work.
const owedWeight = 1 << 20

// reclaimableWeight makes nodeCost prefer workers with less work to preempt
// over those with a tighter fit.
const reclaimableWeight = 1 << 8

// groupCost sums the cost of several nodes for a guarantee.
func (p *packer) groupCost(g sesamemodel.Guarantee, nodes []int) int {
	total := 0
	for _, i := range nodes {
		total += p.nodeCost(g, i)
	}
	return total
}

// nodeCost ranks node i as a place for one worker of a guarantee; the lowest cost
// (no unit) wins. It prefers more accelerators that the team's owed work already
// holds, then less borrowed capacity to preempt, then a tighter fit.
func (p *packer) nodeCost(g sesamemodel.Guarantee, i int) int {
	covered := p.coveredByOwed(g.Team, i, perWorker(g.Shape))
	return p.reclaimable[i]*reclaimableWeight + p.spare[i] - covered*owedWeight
}

// hasRoom reports whether node i is ready and has room for its part of a shape.
func (p *packer) hasRoom(g sesamemodel.Guarantee, i int) bool {
	n := &p.state.nodes[i]
	count := perWorker(g.Shape)
	if !n.ready() || n.target.Capacity.Accelerators < count {
		return false
	}
	return p.spare[i] >= count-p.coveredByOwed(g.Team, i, count)
}

// cheapestWorkers returns the positions of the cheapest workers for a guarantee
// among the given ones; nil when too few have room.
func (p *packer) cheapestWorkers(g sesamemodel.Guarantee, among []int) []int {
	wanted := workerCount(g.Shape)
	p.scratch = p.ableByCost(p.scratch[:0], g, among)
	if len(p.scratch) < wanted {
		return nil
	}
	return slices.Clone(p.scratch[:wanted])
}
