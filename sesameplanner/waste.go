package sesameplanner

// Weights of what a placement spoils, in parts of a target.
const (
	// suspicionWaste is for each job that failed on the target in a row.
	suspicionWaste = 4.0
	// lendWaste is for accelerators that a guarantee may reclaim.
	lendWaste = 1.0
	// plainWaste is for work without accelerators on a target that has some.
	plainWaste = 2.0
	// rackWaste is for breaking into an idle rack.
	rackWaste = 1.0
)

// waste ranks a target for a job. Closer fits and broken racks come first, so
// that whole ones stay whole; against that stands the risk that the target's
// owner reclaims it, which costs time.
func (p *Planner) waste(d *demand, s *cellState, i int) float64 {
	n := &s.nodes[i]
	need := d.task.Accelerators * d.spec.Tasks
	total := suspicionWaste * float64(p.suspicion(n.target.ID))
	if need == 0 && n.target.Capacity.Accelerators > 0 {
		total += plainWaste
	}
	if !p.options.Without.Packing {
		total += p.options.Packing * p.breakage(s, i, need)
	}
	return total + (1-p.options.Packing)*lending(s, i, need)
}

// breakage is how much of whole targets and racks a placement breaks.
func (p *Planner) breakage(s *cellState, i, need int) float64 {
	n := &s.nodes[i]
	capacity := n.target.Capacity.Accelerators
	if capacity == 0 {
		return 0
	}
	r := &s.racks[n.rack]
	left := float64(n.free.Accelerators-need) / float64(capacity)
	return left + rackWaste*float64(r.free-need)/float64(max(r.capacity, 1))
}

// lending is the part of a placement that stands on a guarantee.
func lending(s *cellState, i, need int) float64 {
	if need == 0 || len(s.cell.Guarantees) == 0 {
		return 0
	}
	spare := s.packing().room[i]
	return lendWaste * float64(max(need-max(spare, 0), 0)) / float64(need)
}
