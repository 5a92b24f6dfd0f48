package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// part is what one target takes of a gang.
type part struct {
	state *cellState
	node  int
	tasks int
}

func (p part) target() *node {
	return &p.state.nodes[p.node]
}

// demand is what a search looks for.
type demand struct {
	spec sesamemodel.Spec
	// avoid are targets that the job must not run on.
	avoid []sesamemodel.TargetID
	// room returns how many tasks a target can take.
	room func(s *cellState, node int) int
}

// borrowDemand looks for free capacity.
func borrowDemand(job sesamemodel.Job) *demand {
	d := &demand{
		spec:  job.Spec,
		avoid: job.Avoid,
	}
	d.room = d.freeRoom
	if fixed(job.Spec) {
		d.room = d.unreservedRoom
	}
	return d
}

func (d *demand) freeRoom(s *cellState, i int) int {
	n := &s.nodes[i]
	if !n.ready() || n.target.Kind != d.spec.Kind || slices.Contains(d.avoid, n.target.ID) {
		return 0
	}
	return times(n.free, d.spec.Task, d.spec.Tasks)
}

// unreservedRoom leaves out what the cell's guarantees need.
func (d *demand) unreservedRoom(s *cellState, i int) int {
	tasks := d.freeRoom(s, i)
	capacity := s.nodes[i].target.Capacity
	if tasks == 0 || capacity.Accelerators == 0 || len(s.cell.Guarantees) == 0 {
		return tasks
	}
	if len(s.packing().failed) > 0 {
		return 0
	}
	room := s.packing().room[i]
	for tasks > 0 && equivalent(d.spec.Task.Times(tasks), capacity) > room {
		tasks--
	}
	return tasks
}

// able reports whether a cell may have a ready target for one task.
func (d *demand) able(s *cellState) bool {
	return d.spec.Task.Fits(s.sum.largest)
}

// find returns targets for all tasks within the job's span, nil when there is
// no room.
func (x *index) find(d *demand) []part {
	if parts := x.findOne(d); parts != nil {
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

// waste ranks a target for a job: lower is better.
func waste(s *cellState, i int, need sesamemodel.Resources) int {
	n := &s.nodes[i]
	left := n.free.Accelerators - need.Accelerators
	return left<<16 + s.racks[n.rack].free
}

// findOne returns the one target that fits all tasks most closely.
func (x *index) findOne(d *demand) []part {
	need := d.spec.Need()
	var best []part
	least := 0
	for _, z := range x.zones {
		for _, s := range z.cells {
			if !need.Fits(s.sum.largest) {
				continue
			}
			for i := range s.nodes {
				if !need.Fits(s.nodes[i].free) || d.room(s, i) < d.spec.Tasks {
					continue
				}
				cost := waste(s, i, need)
				if best == nil || cost < least {
					best, least = []part{{state: s, node: i, tasks: d.spec.Tasks}}, cost
				}
			}
		}
	}
	return best
}

// findRack returns the rack that fits all tasks most closely.
func (x *index) findRack(d *demand) []part {
	var best []part
	least := 0
	for _, z := range x.zones {
		for _, s := range z.cells {
			if !d.able(s) || s.sum.rack < d.spec.Need().Accelerators {
				continue
			}
			for _, r := range s.racks {
				parts, total := d.collect(nil, s, s.order[r.first:r.end])
				if total < d.spec.Tasks || best != nil && total >= least {
					continue
				}
				best, least = parts, total
			}
		}
	}
	return d.trim(best)
}

// findZone returns the zone that fits all tasks most closely.
func (x *index) findZone(d *demand) []part {
	var best []part
	least := 0
	for _, z := range x.zones {
		parts, total := d.collectZone(nil, z)
		if total < d.spec.Tasks || best != nil && total >= least {
			continue
		}
		best, least = parts, total
	}
	return d.trim(best)
}

func (x *index) findRegion(d *demand) []part {
	var parts []part
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

func (d *demand) collectZone(parts []part, z *zoneState) ([]part, int) {
	total := 0
	for _, s := range z.cells {
		if !d.able(s) {
			continue
		}
		more, added := d.collect(parts, s, s.order)
		parts = more
		total += added
	}
	return parts, total
}

// collect adds what the given nodes of a cell can take.
func (d *demand) collect(parts []part, s *cellState, nodes []int) ([]part, int) {
	total := 0
	for _, i := range nodes {
		tasks := d.room(s, i)
		if tasks == 0 {
			continue
		}
		total += tasks
		parts = append(parts, part{
			state: s,
			node:  i,
			tasks: tasks,
		})
	}
	return parts, total
}

// trim keeps as few targets as the tasks need: the largest first, and for the
// rest the closest fit.
func (d *demand) trim(parts []part) []part {
	slices.SortStableFunc(parts, func(a, b part) int {
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
