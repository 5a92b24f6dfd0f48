package sesameplanner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// gangPart is what one target takes of a gang.
type gangPart struct {
	state *cellState
	node  int
	tasks int
}

func (p gangPart) target() *node {
	return &p.state.nodes[p.node]
}

// demand is what a search looks for.
type demand struct {
	job  sesamemodel.JobID
	spec sesamemodel.Spec
	// task is what one task needs, corrected.
	task sesamemodel.Resources
	// avoid are targets that the job must not run on.
	avoid []sesamemodel.TargetID
	// end is when the job is expected to end if it starts now.
	end time.Time
	// reservationByTarget are the reservations by target.
	reservationByTarget map[sesamemodel.TargetID]*reservation
	// suspended reports whether a target is left unused for now; it is nil
	// when none is.
	suspended func(sesamemodel.TargetID) bool
	// free returns what a target can give the job.
	free func(s *cellState, node int) sesamemodel.Resources
	// placementCost ranks a target for a number of tasks: lower is better.
	placementCost func(s *cellState, node, tasks int) float64
	// reclaimRisk weighs the work that is lost when a guarantee is reclaimed.
	reclaimRisk float64
}

// borrowDemand looks for free capacity.
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

// usable reports whether the job may run on a target at all.
func (d *demand) usable(s *cellState, i int) bool {
	n := &s.nodes[i]
	if !n.ready() || n.target.Kind != d.spec.Kind || slices.Contains(d.avoid, n.target.ID) {
		return false
	}
	return d.suspended == nil || !d.suspended(n.target.ID)
}

// freeUnreserved returns what is free on a target, less what is held there for a job
// that starts before this one is expected to end.
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

// maxTasks returns how many tasks a target can take.
func (d *demand) maxTasks(s *cellState, i int) int {
	if !d.usable(s, i) {
		return 0
	}
	return d.limitNonPreemptible(s, i, countFitting(d.free(s, i), d.task, d.spec.Tasks))
}

// limitNonPreemptible keeps work that must not be stopped off what guarantees need.
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

// mayFit reports whether a cell may have a ready target for one task.
func (d *demand) mayFit(s *cellState) bool {
	return d.task.Fits(s.summary.largest)
}

// find returns targets for all tasks within the job's span, nil when there is
// no room.
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

// maxCellsCompared is how many cells with room are compared for one target;
// the decision's cost does not grow with the cells beyond.
const maxCellsCompared = 16

// findTarget returns the target that takes all tasks with the least waste, of the
// first cells that have such targets.
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

// cheapestNode returns the node of a cell that takes all tasks with the least
// waste, -1 when none takes them.
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

// findRack returns the rack that takes all tasks with the least waste.
func (x *index) findRack(d *demand) []gangPart {
	var best []gangPart
	leastCost := 0.0
	for _, z := range x.zones {
		for _, s := range z.cells {
			if !d.mayFit(s) || s.summary.largestRack < d.task.Accelerators*d.spec.Tasks {
				continue
			}
			for _, r := range s.racks {
				parts, total := d.collect(nil, s, s.nodesByRack[r.first:r.end])
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

// totalCost sums the waste of a gang's targets.
func (d *demand) totalCost(parts []gangPart) float64 {
	total := 0.0
	for _, part := range parts {
		total += d.placementCost(part.state, part.node, part.tasks)
	}
	return total
}

// findZone returns the zone that fits all tasks most closely.
func (x *index) findZone(d *demand) []gangPart {
	var best []gangPart
	leastTotal := 0
	for _, z := range x.zones {
		parts, total := d.collectZone(nil, z)
		if total < d.spec.Tasks || best != nil && total >= leastTotal {
			continue
		}
		best, leastTotal = parts, total
	}
	return d.trim(best)
}

func (x *index) findRegion(d *demand) []gangPart {
	var parts []gangPart
	total := 0
	for _, z := range x.zones {
		more, added := d.collectZone(parts, z)
		parts = more
		total += added
	}
	if total < d.spec.Tasks {
		return nil
	}
	return d.trim(parts)
}

func (d *demand) collectZone(parts []gangPart, z *zoneState) ([]gangPart, int) {
	total := 0
	for _, s := range z.cells {
		if !d.mayFit(s) {
			continue
		}
		more, added := d.collect(parts, s, s.nodesByRack)
		parts = more
		total += added
	}
	return parts, total
}

// collect adds what the given nodes of a cell can take.
func (d *demand) collect(parts []gangPart, s *cellState, nodes []int) ([]gangPart, int) {
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

// trim keeps as few targets as the tasks need: the largest first, and for the
// rest the closest fit.
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

// domains lists, for each part of the platform that the job's tasks may share,
// the targets that could take some of them when idle.
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
