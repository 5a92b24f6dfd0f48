package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Weights of what a placement spoils, in parts of a target.
const (
	// suspicionWaste is for each class that failed on the target in a row.
	suspicionWaste = 8.0
	// plainWaste is for work without accelerators on a target that has some.
	plainWaste = 4.0
	// wholeRackWaste is for breaking into an idle rack of the largest size.
	wholeRackWaste = 2.0
	// wholeTargetWaste is for breaking into an idle target.
	wholeTargetWaste = 1.0
	// rackWaste is for what stays free in the rack.
	rackWaste = 0.5
	// lendWaste is for accelerators that a guarantee may reclaim.
	lendWaste = 2.0
	// checkpointRisk is the part of lendWaste that remains for work that can
	// checkpoint.
	checkpointRisk = 0.25
	// fullRisk is the run time from which lendWaste counts in full.
	fullRisk = time.Hour
)

// waste ranks a target for tasks of a job. Closer fits and broken racks come
// first, so that whole ones stay whole; against that stands the risk that the
// target's owner reclaims it, which costs time.
func (p *Planner) waste(d *demand, s *cellState, i, tasks int) float64 {
	n := &s.nodes[i]
	need := d.task.Accelerators * tasks
	total := suspicionWaste * float64(p.suspicion(n.target.ID))
	if need == 0 && n.target.Capacity.Accelerators > 0 {
		total += plainWaste
	}
	if !p.options.Without.Packing {
		total += p.options.Packing * p.breakage(s, i, need)
	}
	return total + (1-p.options.Packing)*d.risk*lending(s, i, need)
}

// breakage is how much of whole targets and racks a placement breaks.
func (p *Planner) breakage(s *cellState, i, need int) float64 {
	n := &s.nodes[i]
	capacity := n.target.Capacity.Accelerators
	if capacity == 0 || need == 0 {
		return 0
	}
	r := &s.racks[n.rack]
	total := float64(n.free.Accelerators-need) / float64(capacity)
	total += rackWaste * float64(r.free-need) / float64(max(r.capacity, 1))
	if n.free.Accelerators == capacity && need < capacity {
		total += wholeTargetWaste
	}
	if r.free == r.capacity {
		total += wholeRackWaste * float64(r.capacity) / float64(max(p.cells.largestRack, 1))
	}
	return total
}

// lending is the part of a placement that stands on a guarantee.
func lending(s *cellState, i, need int) float64 {
	if need == 0 || len(s.cell.Guarantees) == 0 {
		return 0
	}
	spare := s.packing().spare[i]
	return float64(max(need-max(spare, 0), 0)) / float64(need)
}

// lendingRisk weighs how much work is lost when a guarantee is reclaimed.
func lendingRisk(spec sesamemodel.Spec, expected time.Duration) float64 {
	risk := lendWaste * min(1, expected.Seconds()/fullRisk.Seconds())
	if spec.Checkpoints {
		risk *= checkpointRisk
	}
	return risk
}
