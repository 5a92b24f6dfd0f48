package sesameplanner

import (
	"sort"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// node is one target with what is left of it.
type node struct {
	target sesamemodel.Target
	// rackIndex is the position of the target's rackIndex in its cell.
	rackIndex int
	free      sesamemodel.Resources
	// busy has one bit for each accelerator in use.
	busy uint64
	// allocations are positions in the cell's allocations.
	allocations []int32
}

func (n *node) ready() bool {
	return n.target.Health == sesamemodel.Ready
}

// cellState is a cell with its derived sums. It is never changed once built.
type cellState struct {
	cell  sesamemodel.Cell
	nodes []node
	// nodesByRack holds positions of nodes, rack by rack.
	nodesByRack []int
	racks       []rackState
	byID        map[sesamemodel.TargetID]int
	summary     summary
	// capacity is what all targets offer together.
	capacity      sesamemodel.Resources
	cachedPacking *packing
	// previousSlots holds a packing of an earlier state of the same cell.
	previousSlots []guaranteeSlot
	// pinned keeps the guarantees where they were packed before.
	pinned bool
}

// rackState is the part of a cell that one rack holds.
type rackState struct {
	name string
	// first and end bound the rack's nodes in the cell's order.
	first, end int
	// capacity and free count accelerators of ready targets.
	capacity, free int
}

// summary bounds what a cell can take, so that a search skips it early.
type summary struct {
	// largest is the most of each resource that one ready target has free.
	largest sesamemodel.Resources
	// total is what all ready targets have free together.
	total sesamemodel.Resources
	// largestRack is the most accelerators that one largestRack has free.
	largestRack int
	// freeCounts has bit n set when a ready target has n free accelerators.
	freeCounts uint64
}

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

func maxPerResource(a, b sesamemodel.Resources) sesamemodel.Resources {
	return sesamemodel.Resources{
		Cores:        max(a.Cores, b.Cores),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
	}
}

// countFitting returns how many countFitting need fits into room; limit when need is zero.
func countFitting(room, need sesamemodel.Resources, limit int) int {
	n := limit
	n = limitedQuotient(n, room.Cores, need.Cores)
	n = limitedQuotient(n, room.Memory, need.Memory)
	n = limitedQuotient(n, room.Accelerators, need.Accelerators)
	return limitedQuotient(n, room.Slots, need.Slots)
}

func limitedQuotient(limit, room, need int) int {
	if need <= 0 {
		return limit
	}
	return max(min(limit, room/need), 0)
}

// lowestFreeBits returns the lowest count bits that are free on a target.
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
