package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Weights of the terms of placementCost. The unit is the cost of breaking into
// one idle target.
const (
	// failedClassCost is added for each class with a failure on the target
	// since the target's last success; see failedClasses.
	failedClassCost = 8.0
	// noAcceleratorCost is added for tasks without accelerators on a target
	// that has some.
	noAcceleratorCost = 4.0
	// idleRackCost is added for the first use of an idle rack; it is scaled
	// down for racks with fewer accelerators than the largest.
	idleRackCost = 2.0
	// idleTargetCost is added for using only a part of an idle target.
	idleTargetCost = 1.0
	// rackRestCost weighs the fraction of the rack that stays free.
	rackRestCost = 0.5
	// reclaimCost weighs the fraction of the accelerators that a guarantee may
	// reclaim.
	reclaimCost = 2.0
	// checkpointReclaimFactor reduces reclaimCost for work that can checkpoint,
	// since it loses less when it is stopped.
	checkpointReclaimFactor = 0.25
	// fullReclaimRunTime is the expected run time from which reclaimCost counts
	// in full; shorter work counts in proportion.
	fullReclaimRunTime = time.Hour
)

// placementCost ranks target i for a number of tasks; the lowest cost wins.
// Options.Packing weighs fragmentation, which favours tight fits and racks that
// are in use already so that other racks stay entirely free, against the risk
// that a guarantee reclaims the target, which costs time.
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

// fragmentation estimates how much a placement of need accelerators on target i
// breaks up free targets and racks: the fraction that stays free on the target
// and, weighted, in its rack, with a surcharge for a target or rack that was
// entirely idle.
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

// reclaimableShare returns the fraction, 0 to 1, of the needed accelerators
// that a guarantee may reclaim, because they exceed what all guarantees leave
// spare.
func reclaimableShare(s *cellState, i, need int) float64 {
	if need == 0 || len(s.cell.Guarantees) == 0 {
		return 0
	}
	spare := s.packing().spare[i]
	return float64(max(need-max(spare, 0), 0)) / float64(need)
}

// reclaimRisk returns the factor by which placementCost weighs the accelerators
// that a guarantee may reclaim from the job. It grows with the expected run time
// up to fullReclaimRunTime, and is lower for work that can checkpoint.
func reclaimRisk(spec sesamemodel.Spec, expected time.Duration) float64 {
	risk := reclaimCost * min(1, expected.Seconds()/fullReclaimRunTime.Seconds())
	if spec.Checkpoints {
		risk *= checkpointReclaimFactor
	}
	return risk
}
