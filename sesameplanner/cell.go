package sesameplanner

import (
	"sort"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// node is one target with what its allocations leave free. Node i or target i of
// a cell is the one at position i of cellState.nodes.
type node struct {
	target sesamemodel.Target
	// rackIndex is the position of the target's rack in cellState.racks.
	rackIndex int
	// free is the target's capacity less its allocations.
	free sesamemodel.Resources
	// busy has bit i set when accelerator i is allocated.
	busy uint64
	// allocations are the positions of the target's allocations in the cell's
	// list.
	allocations []int32
}

// ready reports whether the target may be given new work.
func (n *node) ready() bool {
	return n.target.Health == sesamemodel.Ready
}

// cellState is a cell together with values derived from it: free resources,
// racks and sums. It is immutable once built, but for the cached packing.
type cellState struct {
	cell sesamemodel.Cell
	// nodes holds the targets in the order of the cell's list.
	nodes []node
	// nodesByRack holds the positions of all nodes, sorted by rack.
	nodesByRack []int
	racks       []rackState
	// byID maps a target to its position in nodes.
	byID    map[sesamemodel.TargetID]int
	summary summary
	// capacity is the sum over all targets, ready or not.
	capacity sesamemodel.Resources
	// cachedPacking is the result of packing; nil until it is first needed.
	cachedPacking *packing
	// previousSlots is where an earlier state of the cell packed its
	// guarantees; nil when it is unknown or the guarantees have changed.
	previousSlots []guaranteeSlot
	// pinned makes packing prefer previousSlots over a new packing.
	pinned bool
}

// rackState describes one rack of a cell.
type rackState struct {
	name string
	// first and end delimit the rack's nodes in cellState.nodesByRack; end is
	// exclusive.
	first, end int
	// capacity and free count the accelerators of the rack's ready targets.
	capacity, free int
}

// summary holds upper bounds on what a cell can take, so that a search can skip
// the cell without looking at its targets.
type summary struct {
	// largest is the maximum of each resource by itself that is free on a ready
	// target; the maxima may be on different targets.
	largest sesamemodel.Resources
	// total is the sum of what all ready targets have free.
	total sesamemodel.Resources
	// largestRack is the most accelerators that are free in one rack.
	largestRack int
	// freeCounts has bit n set when a ready target has n free accelerators; bit
	// 63 also stands for more.
	freeCounts uint64
}

// newCellState derives the state of a cell. The packing of its guarantees is
// left out until it is needed.
func newCellState(cell sesamemodel.Cell) *cellState {
	s := &cellState{
		cell:  cell,
		nodes: make([]node, len(cell.Targets)),
		byID:  make(map[sesamemodel.TargetID]int, len(cell.Targets)),
	}
	for i, t := range cell.Targets {
		s.nodes[i].target = t
		s.nodes[i].free = t.Capacity
		s.byID[t.ID] = i
		s.capacity = s.capacity.Plus(t.Capacity)
	}
	s.addAllocations()
	s.addRacks()
	s.summarize()
	return s
}

// addAllocations subtracts the allocations from what is free on their targets.
// Allocations on targets that the cell no longer lists are ignored.
func (s *cellState) addAllocations() {
	counts := make([]int, len(s.nodes))
	for i := range s.cell.Allocations {
		if n, ok := s.byID[s.cell.Allocations[i].Target]; ok {
			counts[n]++
		}
	}
	backing := make([]int32, len(s.cell.Allocations))
	for i := range s.nodes {
		s.nodes[i].allocations = backing[:0:counts[i]]
		backing = backing[counts[i]:]
	}
	for i := range s.cell.Allocations {
		a := &s.cell.Allocations[i]
		position, ok := s.byID[a.Target]
		if !ok {
			continue
		}
		n := &s.nodes[position]
		n.free = n.free.Minus(a.Resources)
		n.busy |= a.AcceleratorMask
		n.allocations = append(n.allocations, int32(i))
	}
}

// addRacks groups the nodes by rack and sums up each rack's ready targets.
func (s *cellState) addRacks() {
	s.nodesByRack = make([]int, len(s.nodes))
	for i := range s.nodesByRack {
		s.nodesByRack[i] = i
	}
	sort.SliceStable(s.nodesByRack, func(i, k int) bool {
		return s.nodes[s.nodesByRack[i]].target.Rack < s.nodes[s.nodesByRack[k]].target.Rack
	})
	for at, position := range s.nodesByRack {
		n := &s.nodes[position]
		last := len(s.racks) - 1
		if last < 0 || s.racks[last].name != n.target.Rack {
			s.racks = append(s.racks, rackState{
				name:  n.target.Rack,
				first: at,
			})
			last++
		}
		n.rackIndex = last
		r := &s.racks[last]
		r.end = at + 1
		if n.ready() {
			r.capacity += n.target.Capacity.Accelerators
			r.free += n.free.Accelerators
		}
	}
}

// summarize computes the cell's summary from its ready targets.
func (s *cellState) summarize() {
	for i := range s.nodes {
		n := &s.nodes[i]
		if !n.ready() {
			continue
		}
		s.summary.largest = maxPerResource(s.summary.largest, n.free)
		s.summary.total = s.summary.total.Plus(n.free)
		s.summary.freeCounts |= 1 << min(max(n.free.Accelerators, 0), 63)
	}
	for _, r := range s.racks {
		s.summary.largestRack = max(s.summary.largestRack, r.free)
	}
}

// maxPerResource returns the larger amount of each resource by itself.
func maxPerResource(a, b sesamemodel.Resources) sesamemodel.Resources {
	return sesamemodel.Resources{
		Cores:        max(a.Cores, b.Cores),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
	}
}

// countFitting returns how many times need fits into room, at most limit; a
// resource that is not needed does not restrict the count.
func countFitting(room, need sesamemodel.Resources, limit int) int {
	n := limit
	n = limitedQuotient(n, room.Cores, need.Cores)
	n = limitedQuotient(n, room.Memory, need.Memory)
	n = limitedQuotient(n, room.Accelerators, need.Accelerators)
	return limitedQuotient(n, room.Slots, need.Slots)
}

// limitedQuotient returns room / need for one resource, between 0 and limit; it
// returns limit when nothing is needed.
func limitedQuotient(limit, room, need int) int {
	if need <= 0 {
		return limit
	}
	return max(min(limit, room/need), 0)
}

// lowestFreeBits returns a mask of the count lowest-numbered accelerators that
// are free on a target with capacity accelerators; busy has a bit set for each
// one in use. The mask has fewer bits if fewer are free.
func lowestFreeBits(busy uint64, capacity, count int) uint64 {
	free := ^busy
	if capacity < sesamemodel.MaxTargetAccelerators {
		free &= 1<<capacity - 1
	}
	var picked uint64
	for ; count > 0 && free != 0; count-- {
		bit := free & -free
		picked |= bit
		free &^= bit
	}
	return picked
}
