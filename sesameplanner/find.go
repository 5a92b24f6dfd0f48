package sesameplanner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// gangPart is a number of tasks of one gang (the tasks of a job, which run
// together) on one target.
type gangPart struct {
	state *cellState
	// node is a position in the nodes of state.
	node  int
	tasks int
}

// target returns the node that runs this part.
func (p gangPart) target() *node {
	return &p.state.nodes[p.node]
}

// demand describes the job that a search is for, and how the search rates
// targets.
type demand struct {
	job  sesamemodel.JobID
	spec sesamemodel.Spec
	// task is what one task needs, after correction by observed usage.
	task sesamemodel.Resources
	// avoid lists targets that the job must not run on.
	avoid []sesamemodel.TargetID
	// end is when the job is expected to end if it starts now. It decides
	// whether the job may be backfilled ahead of a reservation.
	end time.Time
	// reservationByTarget holds the reservation, if any, of each target.
	reservationByTarget map[sesamemodel.TargetID]*reservation
	// suspended reports whether a target is suspended after failures; nil means
	// that no target is.
	suspended func(sesamemodel.TargetID) bool
	// free returns the resources of a target that the search may count as free.
	free func(s *cellState, node int) sesamemodel.Resources
	// placementCost ranks a target for a number of tasks; the lowest cost wins.
	// The cost has no unit.
	placementCost func(s *cellState, node, tasks int) float64
	// reclaimRisk is the factor (no unit) by which placementCost weighs the share
	// of the accelerators that a guarantee may reclaim. It grows with the job's
	// expected run time and is lower for work with checkpoints.
	reclaimRisk float64
}

// borrowDemand returns the demand for placing a job on capacity that is free
// now, as borrowed, where it delays no reservation of another job.
func (p *Planner) borrowDemand(e *jobEntry, now time.Time) *demand {
	d := &demand{
		job:                 e.job.ID,
		spec:                e.job.Spec,
		task:                e.task,
		avoid:               e.avoided(),
		end:                 now.Add(p.expectedRunTime(e.job.Spec, conservativeQuantile)),
		reservationByTarget: p.reservationByTarget,
	}
	if len(p.suspects) > 0 {
		d.suspended = func(id sesamemodel.TargetID) bool {
			return p.suspended(id, now)
		}
	}
	d.free = d.freeUnreserved
	d.reclaimRisk = reclaimRisk(e.job.Spec, p.expectedRunTime(e.job.Spec, typicalQuantile))
	d.placementCost = func(s *cellState, node, tasks int) float64 {
		return p.placementCost(d, s, node, tasks)
	}
	return d
}

// usable reports whether the job may run on target i, whatever is free there:
// the target is ready, of the right kind, not suspended and not to be avoided.
func (d *demand) usable(s *cellState, i int) bool {
	n := &s.nodes[i]
	if !n.ready() || n.target.Kind != d.spec.Kind || slices.Contains(d.avoid, n.target.ID) {
		return false
	}
	return d.suspended == nil || !d.suspended(n.target.ID)
}

// freeUnreserved returns what is free on a target, less what is reserved there
// for another job. Backfill is allowed: the reservation does not count while it
// is open to backfill and this job is expected to end before the reserved
// start.
func (d *demand) freeUnreserved(s *cellState, i int) sesamemodel.Resources {
	n := &s.nodes[i]
	if len(d.reservationByTarget) == 0 {
		return n.free
	}
	v := d.reservationByTarget[n.target.ID]
	if v == nil || v.job == d.job || !v.backfillClosed && !d.end.After(v.start) {
		return n.free
	}
	return n.free.Minus(v.held[n.target.ID])
}

// maxTasks returns how many of the job's tasks target i can take.
func (d *demand) maxTasks(s *cellState, i int) int {
	if !d.usable(s, i) {
		return 0
	}
	return d.limitNonPreemptible(s, i, countFitting(d.free(s, i), d.task, d.spec.Tasks))
}

// limitNonPreemptible reduces the tasks of a non-preemptible job on a target to
// what fits outside all guarantees, since the job could not be stopped to give
// guaranteed capacity back. In a cell whose ready workers cannot hold all its
// guarantees at once, no task fits. Targets without accelerators, and other
// jobs, are not limited.
func (d *demand) limitNonPreemptible(s *cellState, i, tasks int) int {
	capacity := s.nodes[i].target.Capacity
	unlimited := !nonPreemptible(d.spec) || capacity.Accelerators == 0 || len(s.cell.Guarantees) == 0
	if tasks == 0 || unlimited {
		return tasks
	}
	if len(s.packing().failed) > 0 {
		return 0
	}
	room := s.packing().spare[i]
	for tasks > 0 && equivalentAccelerators(d.task.Times(tasks), capacity) > room {
		tasks--
	}
	return tasks
}

// mayFit reports whether one task may fit on a ready target of the cell. It is
// a quick check by the cell's summary that may be true although no target fits.
func (d *demand) mayFit(s *cellState) bool {
	return d.task.Fits(s.summary.largest)
}

// find returns a placement for all tasks of the job within its span, nil when
// there is no room. It tries one target, then one rack, one zone and the whole
// region, as far as the span allows, so that gangs stay close together.
func (x *index) find(d *demand) []gangPart {
	if parts := x.findTarget(d); parts != nil {
		return parts
	}
	if d.spec.Tasks == 1 || d.spec.Span == sesamemodel.SpanWorker {
		return nil
	}
	if parts := x.findRack(d); parts != nil || d.spec.Span == sesamemodel.SpanRack {
		return parts
	}
	if parts := x.findZone(d); parts != nil || d.spec.Span == sesamemodel.SpanZone {
		return parts
	}
	return x.findRegion(d)
}

// maxCellsCompared is how many cells with a suitable target findTarget
// compares, which keeps the cost of a decision independent of the number of
// cells.
const maxCellsCompared = 16

// findTarget returns a placement on the target that takes all tasks at the lowest
// placement cost, among the first maxCellsCompared cells that have a target for
// all tasks; nil when no cell has one.
func (x *index) findTarget(d *demand) []gangPart {
	need := d.task.Times(d.spec.Tasks)
	best := gangPart{
		tasks: d.spec.Tasks,
	}
	leastCost := 0.0
	compared := 0
	for _, z := range x.zones {
		for _, s := range z.cells {
			if !need.Fits(s.summary.largest) {
				continue
			}
			node, cost := d.cheapestNode(s, need)
			if node < 0 {
				continue
			}
			if best.state == nil || cost < leastCost {
				best.state, best.node, leastCost = s, node, cost
			}
			if compared++; compared == maxCellsCompared {
				return []gangPart{best}
			}
		}
	}
	if best.state == nil {
		return nil
	}
	return []gangPart{best}
}

// cheapestNode returns the position and the placement cost of the node of a
// cell that takes all tasks at the lowest cost; need is what all tasks need
// together. The position is -1 when no node takes them.
func (d *demand) cheapestNode(s *cellState, need sesamemodel.Resources) (int, float64) {
	best, leastCost := -1, 0.0
	for i := range s.nodes {
		if !need.Fits(s.nodes[i].free) || d.maxTasks(s, i) < d.spec.Tasks {
			continue
		}
		cost := d.placementCost(s, i, d.spec.Tasks)
		if best < 0 || cost < leastCost {
			best, leastCost = i, cost
		}
	}
	return best, leastCost
}

// findRack returns a placement on the rack that takes all tasks at the lowest
// total cost; nil when no rack has room.
func (x *index) findRack(d *demand) []gangPart {
	var best []gangPart
	leastCost := 0.0
	for _, z := range x.zones {
		for _, s := range z.cells {
			if !d.mayFit(s) || s.summary.largestRack < d.task.Accelerators*d.spec.Tasks {
				continue
			}
			for _, r := range s.racks {
				parts, total := d.appendFitting(nil, s, s.nodesByRack[r.first:r.end])
				if total < d.spec.Tasks {
					continue
				}
				parts = d.trim(parts)
				cost := d.totalCost(parts)
				if best == nil || cost < leastCost {
					best, leastCost = parts, cost
				}
			}
		}
	}
	return best
}

// totalCost sums the placement costs of all parts of a gang.
func (d *demand) totalCost(parts []gangPart) float64 {
	total := 0.0
	for _, part := range parts {
		total += d.placementCost(part.state, part.node, part.tasks)
	}
	return total
}

// findZone returns a placement in the zone that has room for all tasks and for
// the fewest beyond them (best fit); nil when no zone has room.
func (x *index) findZone(d *demand) []gangPart {
	var best []gangPart
	leastTotal := 0
	for _, z := range x.zones {
		parts, total := d.appendFittingInZone(nil, z)
		if total < d.spec.Tasks || best != nil && total >= leastTotal {
			continue
		}
		best, leastTotal = parts, total
	}
	return d.trim(best)
}

// findRegion returns a placement over all zones; nil when all zones together lack
// room.
func (x *index) findRegion(d *demand) []gangPart {
	var parts []gangPart
	total := 0
	for _, z := range x.zones {
		more, added := d.appendFittingInZone(parts, z)
		parts = more
		total += added
	}
	if total < d.spec.Tasks {
		return nil
	}
	return d.trim(parts)
}

// appendFittingInZone appends a part for each target of a zone that has room for
// tasks, with as many tasks as fit on the target. It returns the parts and how
// many tasks were added.
func (d *demand) appendFittingInZone(parts []gangPart, z *zoneState) ([]gangPart, int) {
	total := 0
	for _, s := range z.cells {
		if !d.mayFit(s) {
			continue
		}
		more, added := d.appendFitting(parts, s, s.nodesByRack)
		parts = more
		total += added
	}
	return parts, total
}

// appendFitting appends a part for each of the given targets (positions in
// s.nodes) that has room for tasks, with as many tasks as fit on the target. It
// returns the parts and how many tasks were added.
func (d *demand) appendFitting(parts []gangPart, s *cellState, nodes []int) ([]gangPart, int) {
	total := 0
	for _, i := range nodes {
		tasks := d.maxTasks(s, i)
		if tasks == 0 {
			continue
		}
		total += tasks
		parts = append(parts, gangPart{
			state: s,
			node:  i,
			tasks: tasks,
		})
	}
	return parts, total
}

// trim reduces parts to as few targets as the tasks need: those with the most
// room first, and for the remaining tasks the target with the tightest fit. It
// returns nil when the parts do not take all tasks.
func (d *demand) trim(parts []gangPart) []gangPart {
	slices.SortStableFunc(parts, func(a, b gangPart) int {
		return cmp.Compare(b.tasks, a.tasks)
	})
	left := d.spec.Tasks
	for i := range parts {
		if parts[i].tasks < left {
			left -= parts[i].tasks
			continue
		}
		last := i
		for last+1 < len(parts) && parts[last+1].tasks >= left {
			last++
		}
		parts[i] = parts[last]
		parts[i].tasks = left
		return parts[:i+1]
	}
	return nil
}

// domains groups the targets that could take tasks of the job when idle by
// topology domain: the worker, rack, zone or region that the job's span
// requires its tasks to share. Targets with a reservation are left out. The
// parts have no tasks yet.
func (x *index) domains(d *demand) [][]gangPart {
	positions := map[string]int{}
	var domains [][]gangPart
	for _, z := range x.zones {
		for _, s := range z.cells {
			for _, i := range s.nodesByRack {
				n := &s.nodes[i]
				taken := d.reservationByTarget[n.target.ID] != nil
				if taken || !d.usable(s, i) || !d.task.Fits(n.target.Capacity) {
					continue
				}
				part := gangPart{
					state: s,
					node:  i,
				}
				key := domainName(d.spec.Span, part)
				position, ok := positions[key]
				if !ok {
					position = len(domains)
					positions[key] = position
					domains = append(domains, nil)
				}
				domains[position] = append(domains[position], part)
			}
		}
	}
	return domains
}
