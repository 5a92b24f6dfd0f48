package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Weights of what a placement spoils, in parts of a target.
const (
	// failedClassCost is for each class that failed on the target in a row.
	failedClassCost = 8.0
	// noAcceleratorCost is for work without accelerators on a target that has some.
	noAcceleratorCost = 4.0
	// idleRackCost is for breaking into an idle rack of the largest size.
	idleRackCost = 2.0
	// idleTargetCost is for breaking into an idle target.
	idleTargetCost = 1.0
	// rackRestCost is for what stays free in the rack.
	rackRestCost = 0.5
	// reclaimCost is for accelerators that a guarantee may reclaim.
	reclaimCost = 2.0
	// checkpointReclaimFactor is the part of lendWaste that remains for work that can
	// checkpoint.
	checkpointReclaimFactor = 0.25
	// fullReclaimRunTime is the run time from which lendWaste counts in full.
	fullReclaimRunTime = time.Hour
)

// placementCost ranks a target for tasks of a job. Closer fits and broken racks come
// first, so that whole ones stay whole; against that stands the risk that the
// target's owner reclaims it, which costs time.
func (p *Planner) placementCost(d *demand, s *cellState, i, tasks int) float64 {
	n := &s.nodes[i]
	need := d.task.Accelerators * tasks
	total := failedClassCost * float64(p.failedClasses(n.target.ID))
	if need == 0 && n.target.Capacity.Accelerators > 0 {
		total += noAcceleratorCost
	}
	if !p.options.Disabled.Packing {
		total += p.options.Packing * p.fragmentation(s, i, need)
	}
	return total + (1-p.options.Packing)*d.reclaimRisk*reclaimableShare(s, i, need)
}

// fragmentation is how much of whole targets and racks a placement breaks.
func (p *Planner) fragmentation(s *cellState, i, need int) float64 {
	n := &s.nodes[i]
	capacity := n.target.Capacity.Accelerators
	if capacity == 0 || need == 0 {
		return 0
	}
	r := &s.racks[n.rackIndex]
	total := float64(n.free.Accelerators-need) / float64(capacity)
	total += rackRestCost * float64(r.free-need) / float64(max(r.capacity, 1))
	if n.free.Accelerators == capacity && need < capacity {
		total += idleTargetCost
	}
	if r.free == r.capacity {
		total += idleRackCost * float64(r.capacity) / float64(max(p.cells.largestRack, 1))
	}
	return total
}

// reclaimableShare is the part of a placement that stands on a guarantee.
func reclaimableShare(s *cellState, i, need int) float64 {
	if need == 0 || len(s.cell.Guarantees) == 0 {
		return 0
	}
	spare := s.packing().spare[i]
	return float64(max(need-max(spare, 0), 0)) / float64(need)
}

// reclaimRisk weighs how much work is lost when a guarantee is reclaimed.
func reclaimRisk(spec sesamemodel.Spec, expected time.Duration) float64 {
	risk := reclaimCost * min(1, expected.Seconds()/fullReclaimRunTime.Seconds())
	if spec.Checkpoints {
		risk *= checkpointReclaimFactor
	}
	return risk
}
