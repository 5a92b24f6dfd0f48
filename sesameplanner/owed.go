package sesameplanner

import (
	"cmp"
	"slices"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// unusedGuarantee is what remains of a team's guarantees on one worker.
type unusedGuarantee struct {
	gangPart
	// untouched is true when none of it is in use.
	untouched bool
}

// placeOwed places work that fits the unused part of its team's guarantees,
// by urgency and then by lateness.
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
	next int
}

func (c *cursor) head() *jobEntry {
	return c.team.queue[c.next]
}

// skipDequeued moves on to a job that waits and reports whether there is one.
func (c *cursor) skipDequeued() bool {
	for c.next < len(c.team.queue) && c.team.queue[c.next].dequeued {
		c.next++
	}
	return c.next < len(c.team.queue)
}

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

// placeWithinGuarantee places a job inside its team's guarantees, stopping borrowers where it
// must: on the targets that cost the least work while all guarantees can still
// be formed, else on those that the present packing sets aside for the team.
// Rather than stop others it borrows what is free elsewhere; its guarantee
// stays unused for when that is reclaimed.
func (r *round) placeWithinGuarantee(e *jobEntry) bool {
	if e.job.Spec.Kind != sesamemodel.Worker {
		return false
	}
	parts := r.planner.findWithinGuarantee(e)
	if parts == nil {
		return false
	}
	e.task = e.job.Spec.Task
	chosenVictims := &victims{}
	for _, part := range parts {
		if !chosenVictims.makeRoom(r.planner, r.now, part, e.task) {
			return false
		}
	}
	chosen := r.cheaperPlacement(e, r.propose(e, parts, chosenVictims, true))
	if r.borrowInstead(e, chosen) {
		return true
	}
	r.accept(chosen)
	return true
}

// borrowInstead borrows for an owed job when that stops no work, or breaks less
// of what is whole. Work that must not be stopped stays inside its guarantee.
func (r *round) borrowInstead(e *jobEntry, chosen *proposal) bool {
	need := e.job.Spec.TotalResources().Accelerators
	if nonPreemptible(e.job.Spec) || !r.planner.team(e.job.Spec.Team).mayBorrow(need) {
		return false
	}
	d := r.planner.borrowDemand(e, r.now)
	parts := r.planner.cells.find(d)
	if parts == nil || chosen.victims.cost == 0 && d.totalCost(parts) >= chosen.fragmentation {
		return false
	}
	r.placeBorrowed(e, parts, &victims{})
	return true
}

// findWithinGuarantee returns the workers of the team's guarantees that take the job,
// nil when it does not fit into what is unused.
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

// domainName names what members of a gang must share with the part.
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

// unusedGuarantees lists what the job could take of its team's guarantees.
func (p *Planner) unusedGuarantees(e *jobEntry) []unusedGuarantee {
	team := p.team(e.job.Spec.Team)
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

func sortedCells(cells map[sesamemodel.CellID]int) []sesamemodel.CellID {
	ids := make([]sesamemodel.CellID, 0, len(cells))
	for id := range cells {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// guaranteedAccelerators returns the accelerators that the team's shapes take on each node.
func (s *cellState) guaranteedAccelerators(team sesamemodel.TeamID) []int {
	sizes := make([]int, len(s.nodes))
	for _, slot := range s.packing().slots {
		if s.cell.Guarantees[slot.guarantee].Team == team {
			sizes[slot.node] += slot.accelerators
		}
	}
	return sizes
}

// owedUse returns what the team's owed work holds on a node.
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

// tasksWithin returns how many tasks fit into size accelerators of a node and
// the cores and memory that go with them, beside what the team uses already.
func (s *cellState) tasksWithin(i, size int, used sesamemodel.Resources, spec sesamemodel.Spec) int {
	capacity := s.nodes[i].target.Capacity
	share := sesamemodel.Resources{
		Cores:        capacity.Cores * size / capacity.Accelerators,
		Memory:       capacity.Memory * size / capacity.Accelerators,
		Accelerators: size,
	}
	return countFitting(share.Minus(used), spec.Task, spec.Tasks)
}

// fewestWorkers takes as few workers as the tasks need, those in use first.
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

// tightestFit returns the smallest part beside first that takes all tasks.
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
