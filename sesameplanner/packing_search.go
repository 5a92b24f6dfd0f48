package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// maxPackingSteps bounds how many choices the search for one packing tries.
const maxPackingSteps = 2000

// packAsBefore places every guarantee on the workers of its earlier slots. It
// returns nil when a guarantee no longer fits on them or has no earlier slots.
func (p *packer) packAsBefore(before []guaranteeSlot) *packing {
	nodes := make([][]int, len(p.state.cell.Guarantees))
	for _, b := range before {
		if b.guarantee < len(nodes) && b.node < len(p.state.nodes) {
			nodes[b.guarantee] = append(nodes[b.guarantee], b.node)
		}
	}
	for i, g := range p.state.cell.Guarantees {
		if len(nodes[i]) != workerCount(g.Shape) {
			return nil
		}
		for _, n := range nodes[i] {
			if !p.hasRoom(g, n) {
				return nil
			}
		}
		p.addSlots(i, g, nodes[i])
	}
	return p.result(nil)
}

// searchPacking looks for a complete packing by backtracking. It returns nil
// when it finds none within maxPackingSteps.
func (p *packer) searchPacking(order []int) *packing {
	steps := maxPackingSteps
	if !p.searchFrom(order, &steps) {
		return nil
	}
	return p.result(nil)
}

// searchFrom places the guarantees in order by backtracking, and counts down
// the remaining steps. It returns false when none of the choices work out or
// the steps are used up.
func (p *packer) searchFrom(order []int, steps *int) bool {
	if len(order) == 0 {
		return true
	}
	g := p.state.cell.Guarantees[order[0]]
	for _, among := range p.workerGroups(g.Shape) {
		able := p.ableByCost(nil, g, among)
		found := eachCombination(able, workerCount(g.Shape), nil, func(chosen []int) bool {
			if *steps--; *steps < 0 {
				return true
			}
			undo := p.addSlots(order[0], g, chosen)
			if p.searchFrom(order[1:], steps) {
				return true
			}
			undo()
			return false
		})
		if found {
			return *steps >= 0
		}
	}
	return false
}

// workerGroups returns the groups of nodes that may form a shape: each rack by
// itself for a shape within one rack, otherwise all nodes of the cell.
func (p *packer) workerGroups(s sesamemodel.Shape) [][]int {
	if s.Span != sesamemodel.SpanRack {
		return [][]int{p.state.nodesByRack}
	}
	groups := make([][]int, 0, len(p.state.racks))
	for _, r := range p.state.racks {
		groups = append(groups, p.state.nodesByRack[r.first:r.end])
	}
	return groups
}

// ableByCost appends to able those of the given nodes that have room for their
// part of a shape, and sorts the result by cost.
func (p *packer) ableByCost(able []int, g sesamemodel.Guarantee, among []int) []int {
	for _, i := range among {
		if p.hasRoom(g, i) {
			able = append(able, i)
		}
	}
	slices.SortStableFunc(able, func(i, k int) int {
		return cmp.Compare(p.nodeCost(g, i), p.nodeCost(g, k))
	})
	return able
}

// eachCombination calls visit with every combination of count elements of from,
// each appended to the elements of chosen, until visit returns true. It reports
// whether visit returned true.
func eachCombination(from []int, count int, chosen []int, visit func([]int) bool) bool {
	if count == 0 {
		return visit(slices.Clone(chosen))
	}
	for i := 0; i+count <= len(from); i++ {
		if eachCombination(from[i+1:], count-1, append(chosen, from[i]), visit) {
			return true
		}
	}
	return false
}

// inheritPacking takes over from an earlier state of the cell on which workers
// its guarantees were packed, and whether they are pinned to these. It takes
// over nothing if the targets or the guarantees differ.
func (s *cellState) inheritPacking(old *cellState) {
	same := slices.EqualFunc(s.cell.Targets, old.cell.Targets, func(a, b sesamemodel.Target) bool {
		return a.ID == b.ID
	})
	if !same || !slices.Equal(s.cell.Guarantees, old.cell.Guarantees) {
		return
	}
	s.previousSlots = old.previousSlots
	s.pinned = old.pinned
	if old.cachedPacking != nil && len(old.cachedPacking.failed) == 0 {
		s.previousSlots = old.cachedPacking.slots
	}
}
