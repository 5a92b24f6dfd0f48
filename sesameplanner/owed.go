package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// unusedGuarantee is the part of a team's guarantees on one worker that the
// team's owed work does not use, as a number of a job's tasks that fit into it.
type unusedGuarantee struct {
	gangPart
	// untouched is true when the team runs no owed work on the worker.
	untouched bool
}

// placeOwed places jobs that fit into unused guarantees of their teams (owed
// work), merging the queues of all teams: by urgency, then by due time.
func (r *round) placeOwed() {
	cursors := r.owedCursors()
	for len(cursors) > 0 && !r.limitReached() {
		at := 0
		for i := range cursors {
			if compareEntries(cursors[i].head(), cursors[at].head()) < 0 {
				at = i
			}
		}
		c := cursors[at]
		e := c.head()
		if e.cachedFit.owedFailedRound == r.number || !r.placeWithinGuarantee(e) {
			e.cachedFit.owedFailedRound = r.number
			c.next++
		}
		if !c.skipDequeued() {
			cursors = slices.Delete(cursors, at, at+1)
		}
	}
}

// cursor is a position in a team's queue.
type cursor struct {
	team *team
	// next is the position in the queue of the next job to try.
	next int
}

// head returns the job at the cursor, the next to try. The cursor must be at a
// waiting job; see skipDequeued.
func (c *cursor) head() *jobEntry {
	return c.team.queue[c.next]
}

// skipDequeued moves the cursor on to the next job that still waits and reports
// whether there is one.
func (c *cursor) skipDequeued() bool {
	for c.next < len(c.team.queue) && c.team.queue[c.next].dequeued {
		c.next++
	}
	return c.next < len(c.team.queue)
}

// owedCursors returns, for each team that has a guarantee and a waiting job, a
// cursor at the first waiting job of the team's queue, sorted by team. placeOwed
// merges the queues with these cursors.
func (r *round) owedCursors() []*cursor {
	var cursors []*cursor
	for _, t := range r.planner.teams {
		if t.contract == nil || len(t.guaranteesByCell) == 0 {
			continue
		}
		c := &cursor{
			team: t,
		}
		if c.skipDequeued() {
			cursors = append(cursors, c)
		}
	}
	slices.SortFunc(cursors, func(a, b *cursor) int {
		return cmp.Compare(a.team.id, b.team.id)
	})
	return cursors
}

// placeWithinGuarantee places a job within its team's guarantees, as owed work,
// and reports whether it could. Borrowers are preempted where necessary: on the
// workers where that loses the least work while all guarantees can still be
// formed, or else on the workers that the current packing sets aside for the
// team.
//
// If the job can borrow free capacity instead and so stop nobody, it does; the
// guarantee then stays unused, for when the borrowed capacity is reclaimed.
func (r *round) placeWithinGuarantee(e *jobEntry) bool {
	if e.job.Spec.Kind != sesamemodel.Worker {
		return false
	}
	parts := r.planner.findWithinGuarantee(e)
	if parts == nil {
		return false
	}
	chosenVictims := &victims{}
	for _, part := range parts {
		if !chosenVictims.makeRoom(r.planner, r.now, part, e.job.Spec.Task) {
			return false
		}
	}
	// A guarantee covers what the job declares, borrowed work gets what was
	// observed.
	corrected := e.task
	e.task = e.job.Spec.Task
	chosen := r.cheaperPlacement(e, r.propose(e, parts, chosenVictims, true))
	if r.borrowInstead(e, corrected, chosen) {
		return true
	}
	r.accept(chosen)
	return true
}

// borrowInstead places an owed job on free capacity outside its guarantee, as
// borrowed, if the chosen placement would stop other work, or if it would stop
// none but its fragmentation exceeds the cost of the borrowed placement. A
// borrowed task gets the corrected resources. borrowInstead reports whether it
// placed the job. Non-preemptible work never borrows here: it stays within the
// guarantee.
func (r *round) borrowInstead(e *jobEntry, corrected sesamemodel.Resources, chosen *proposal) bool {
	need := e.job.Spec.TotalResources().Accelerators
	if nonPreemptible(e.job.Spec) || !r.planner.ensureTeam(e.job.Spec.Team).mayBorrow(need) {
		return false
	}
	d := r.planner.borrowDemand(e, r.now)
	d.task = corrected
	parts := r.planner.cells.find(d)
	if parts == nil || chosen.victims.cost == 0 && d.totalCost(parts) >= chosen.fragmentation {
		return false
	}
	e.task = corrected
	r.placeBorrowed(e, parts, &victims{})
	return true
}

// findWithinGuarantee returns a placement of the job on its team's unused
// guarantees within one topology domain, the one with the least room to spare
// (best fit). It returns nil when the job does not fit.
func (p *Planner) findWithinGuarantee(e *jobEntry) []gangPart {
	job := e.job
	available := p.unusedGuarantees(e)
	domains := map[string][]unusedGuarantee{}
	for _, a := range available {
		key := domainName(job.Spec.Span, a.gangPart)
		domains[key] = append(domains[key], a)
	}
	var best []unusedGuarantee
	least, name := 0, ""
	for key, parts := range domains {
		total := 0
		for _, a := range parts {
			total += a.tasks
		}
		if total < job.Spec.Tasks {
			continue
		}
		if best == nil || total < least || total == least && key < name {
			best, least, name = parts, total, key
		}
	}
	return fewestWorkers(best, job.Spec.Tasks)
}

// domainName identifies the topology domain of a part's target: the worker,
// rack or zone that all tasks of a gang with this span must share. Any other
// span gives the same empty name for all targets.
func domainName(span sesamemodel.Span, part gangPart) string {
	t := part.target().target
	switch span {
	case sesamemodel.SpanWorker:
		return string(t.ID)
	case sesamemodel.SpanRack:
		return string(part.state.cell.ID) + "/" + t.Rack
	case sesamemodel.SpanZone:
		return t.Zone
	}
	return ""
}

// unusedGuarantees lists the workers on which tasks of the job fit into unused
// guarantees of its team.
func (p *Planner) unusedGuarantees(e *jobEntry) []unusedGuarantee {
	team := p.ensureTeam(e.job.Spec.Team)
	avoid := e.avoided()
	var found []unusedGuarantee
	for _, id := range sortedCells(team.guaranteesByCell) {
		s := p.cells.get(id)
		if s == nil {
			continue
		}
		for i, size := range s.guaranteedAccelerators(team.id) {
			if size == 0 || slices.Contains(avoid, s.nodes[i].target.ID) {
				continue
			}
			used := s.owedUse(team.id, i)
			tasks := s.tasksWithin(i, size, used, e.job.Spec)
			if tasks > 0 {
				found = append(found, unusedGuarantee{
					gangPart: gangPart{
						state: s,
						node:  i,
						tasks: tasks,
					},
					untouched: used.IsZero(),
				})
			}
		}
	}
	return found
}

// sortedCells returns the keys of a map in order.
func sortedCells(cells map[sesamemodel.CellID]int) []sesamemodel.CellID {
	ids := make([]sesamemodel.CellID, 0, len(cells))
	for id := range cells {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// guaranteedAccelerators returns, for each node, how many accelerators the
// current packing sets aside for the team's guarantees, used or not.
func (s *cellState) guaranteedAccelerators(team sesamemodel.TeamID) []int {
	sizes := make([]int, len(s.nodes))
	for _, slot := range s.packing().slots {
		if s.cell.Guarantees[slot.guarantee].Team == team {
			sizes[slot.node] += slot.accelerators
		}
	}
	return sizes
}

// owedUse returns the resources that the team's owed work holds on node i.
func (s *cellState) owedUse(team sesamemodel.TeamID, i int) sesamemodel.Resources {
	var used sesamemodel.Resources
	for _, h := range s.nodes[i].allocations {
		a := &s.cell.Allocations[h]
		if a.Owed && a.Team == team {
			used = used.Plus(a.Resources)
		}
	}
	return used
}

// tasksWithin returns how many tasks fit into size accelerators of node i and
// their proportional share of the node's cores and memory, less used, which the
// team's owed work holds already.
func (s *cellState) tasksWithin(i, size int, used sesamemodel.Resources, spec sesamemodel.Spec) int {
	capacity := s.nodes[i].target.Capacity
	share := sesamemodel.Resources{
		Cores:        capacity.Cores * size / capacity.Accelerators,
		Memory:       capacity.Memory * size / capacity.Accelerators,
		Accelerators: size,
	}
	return countFitting(share.Minus(used), spec.Task, spec.Tasks)
}

// fewestWorkers chooses as few of the given workers as the tasks need, and those
// that already run owed work of the team first, so that other workers stay
// entirely free. It returns nil when the workers do not take all tasks.
func fewestWorkers(from []unusedGuarantee, tasks int) []gangPart {
	slices.SortStableFunc(from, func(a, b unusedGuarantee) int {
		if a.untouched != b.untouched {
			if a.untouched {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.tasks, a.tasks)
	})
	var parts []gangPart
	for _, a := range from {
		if a.tasks >= tasks {
			return append(parts, tightestFit(from, a, tasks))
		}
		tasks -= a.tasks
		parts = append(parts, a.gangPart)
	}
	return nil
}

// tightestFit returns the worker with the least room that still takes all the
// tasks, among first and those whose untouched is the same as that of first.
func tightestFit(from []unusedGuarantee, first unusedGuarantee, tasks int) gangPart {
	best := first
	for _, a := range from {
		if a.untouched == first.untouched && a.tasks >= tasks && a.tasks < best.tasks {
			best = a
		}
	}
	best.tasks = tasks
	return best.gangPart
}
