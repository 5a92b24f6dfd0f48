package sesameplanner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// reservation holds capacity for a job that has waited for long. Other work
// may use what is held if it is expected to end before the start.
type reservation struct {
	job sesamemodel.JobID
	// made is when the reservation was made, and start when all that is held
	// is expected to be free.
	made, start time.Time
	// giveUpAfter is when all work that may be stopped has become overdue.
	giveUpAfter time.Time
	// backfillClosed ends backfill: the start has passed and work has outstayed it.
	backfillClosed bool
	held           map[sesamemodel.TargetID]sesamemodel.Resources
	// cells are those of the held targets.
	cells []sesamemodel.CellID
}

// targetsPerReservation is how many targets allow one more reservation.
const targetsPerReservation = 50

// maxForecastAllocations bounds the work of one forecast after a first place
// has been found.
const maxForecastAllocations = 5000

// minReservations is how many reservations the smallest platform allows.
const minReservations = 2

func (p *Planner) maxReservations() int {
	return minReservations + p.cells.targets/targetsPerReservation
}

func (p *Planner) addReservation(v *reservation) {
	p.reservations = append(p.reservations, v)
	for id := range v.held {
		p.reservationByTarget[id] = v
	}
}

func (p *Planner) dropReservation(job sesamemodel.JobID) {
	p.reservations = slices.DeleteFunc(p.reservations, func(v *reservation) bool {
		if v.job != job {
			return false
		}
		for id := range v.held {
			delete(p.reservationByTarget, id)
		}
		return true
	})
}

// placeReserved places the jobs with reservations, before any other that borrows. Once
// the start has come, borrowers that outstay their expected end are stopped and
// no other work is let in. A reservation that does not come free, because work
// is there that must not be stopped, is given up for another.
func (r *round) placeReserved() {
	p := r.planner
	for _, v := range slices.Clone(p.reservations) {
		if r.limitReached() {
			return
		}
		e, ok := p.jobs[v.job]
		if !ok || e.job.State != sesamemodel.Queued {
			p.dropReservation(v.job)
			continue
		}
		if r.borrow(e) {
			p.dropReservation(v.job)
			continue
		}
		if r.now.Before(v.start) {
			continue
		}
		if r.placeOnReservation(e, v) {
			p.dropReservation(v.job)
			continue
		}
		v.backfillClosed = true
		if r.now.After(v.giveUpAfter) {
			p.dropReservation(v.job)
			r.reserveFor(e)
		}
	}
}

// reserveFor reserves other capacity at once, before any job takes it.
func (r *round) reserveFor(e *jobEntry) {
	if v := r.forecast(e); v != nil {
		r.planner.addReservation(v)
	}
}

// placeOnReservation places a job on what is held for it.
func (r *round) placeOnReservation(e *jobEntry, v *reservation) bool {
	p := r.planner
	need := e.job.Spec.TotalResources().Accelerators
	if !p.team(e.job.Spec.Team).mayBorrow(need) {
		return false
	}
	d := p.borrowDemand(e, r.now)
	d.free = r.freeWithOverdue
	parts := d.trim(r.reservedParts(d, v))
	if parts == nil {
		return false
	}
	chosenVictims := &victims{
		overdueOnly: true,
	}
	for _, part := range parts {
		if !chosenVictims.makeRoom(p, r.now, part, d.task) {
			return false
		}
	}
	r.placeBorrowed(e, parts, chosenVictims)
	return true
}

// reservedParts returns what the job can take of the targets held for it.
func (r *round) reservedParts(d *demand, v *reservation) []gangPart {
	var parts []gangPart
	for _, id := range v.cells {
		s := r.planner.cells.get(id)
		if s == nil {
			continue
		}
		for _, i := range s.nodesByRack {
			if _, ok := v.held[s.nodes[i].target.ID]; ok {
				parts, _ = d.collect(parts, s, []int{i})
			}
		}
	}
	return parts
}

// freeWithOverdue returns what is free on a node together with what borrowers hold
// there beyond their expected end.
func (r *round) freeWithOverdue(s *cellState, i int) sesamemodel.Resources {
	free := s.nodes[i].free
	for _, h := range s.nodes[i].allocations {
		a := &s.cell.Allocations[h]
		if !a.Owed && !a.NonPreemptible && r.planner.mayStop(a) && !r.planner.overdueAt(a).After(r.now) {
			free = free.Plus(a.Resources)
		}
	}
	return free
}

// stoppableJob returns the allocation's job, if the planner may stop it.
func (p *Planner) stoppableJob(a *sesamemodel.Allocation) (*jobEntry, bool) {
	e, ok := p.jobs[a.Job]
	return e, ok && e.job.State.Active() && e.job.Attempt == a.Attempt
}

// mayStop reports whether the planner may stop the allocation's job.
func (p *Planner) mayStop(a *sesamemodel.Allocation) bool {
	_, ok := p.stoppableJob(a)
	return ok
}

func expectedEnd(a *sesamemodel.Allocation) time.Time {
	if a.RunTime <= 0 {
		return a.Since.Add(defaultRunTime)
	}
	return a.Since.Add(a.RunTime)
}

// overrunFactor is how many times its expected run time work without checkpoints may
// take before it is stopped for a reservation.
const overrunFactor = 2

// overdueAt returns when an allocation may be stopped for a reservation.
func (p *Planner) overdueAt(a *sesamemodel.Allocation) time.Time {
	end := expectedEnd(a)
	if e := p.jobs[a.Job]; e != nil && !e.job.Spec.Checkpoints {
		return a.Since.Add(overrunFactor * end.Sub(a.Since))
	}
	return end
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reserveForStarving holds capacity for the longest waiting job of each team, the team
// with the smallest weighted share first.
func (r *round) reserveForStarving() {
	p := r.planner
	if p.options.Disabled.Reservation {
		return
	}
	slices.SortFunc(r.starving, func(a, b *jobEntry) int {
		return cmp.Or(
			cmp.Compare(p.weightedShare(p.team(a.job.Spec.Team)), p.weightedShare(p.team(b.job.Spec.Team))),
			a.job.Submitted.Compare(b.job.Submitted),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	for _, e := range r.starving {
		if len(p.reservations) >= p.maxReservations() {
			return
		}
		if !p.teamReserved(e.job.Spec.Team) {
			r.reserveFor(e)
		}
	}
}

// teamReserved reports whether capacity is held for a job of the team.
func (p *Planner) teamReserved(team sesamemodel.TeamID) bool {
	return slices.ContainsFunc(p.reservations, func(v *reservation) bool {
		e, ok := p.jobs[v.job]
		return ok && e.job.Spec.Team == team
	})
}

// expectedRelease is an allocation that frees part of a node.
type expectedRelease struct {
	at time.Time
	// overdueAt is when the allocation may be stopped.
	overdueAt time.Time
	partIndex int
	frees     sesamemodel.Resources
}

// forecast finds the domain in which the job can be expected to start first.
func (r *round) forecast(e *jobEntry) *reservation {
	d := r.planner.borrowDemand(e, r.now)
	var best *reservation
	examined := 0
	for _, nodes := range r.planner.cells.domains(d) {
		if best != nil && examined > maxForecastAllocations {
			break
		}
		v, count := r.forecastDomain(e, d, nodes)
		examined += count
		if v != nil && (best == nil || v.start.Before(best.start)) {
			best = v
		}
	}
	return best
}

// forecastDomain frees the allocations of a domain in the order of their
// expected ends until the job fits.
func (r *round) forecastDomain(e *jobEntry, d *demand, parts []gangPart) (*reservation, int) {
	free := make([]sesamemodel.Resources, len(parts))
	var ends []expectedRelease
	total := 0
	for i, part := range parts {
		free[i] = part.target().free
		parts[i].tasks = d.limitNonPreemptible(part.state, part.node, countFitting(free[i], d.task, d.spec.Tasks))
		total += parts[i].tasks
		ends = append(ends, r.expectedReleases(part, i)...)
	}
	slices.SortStableFunc(ends, func(a, b expectedRelease) int {
		return a.at.Compare(b.at)
	})
	start, last := r.now, r.now
	for _, end := range ends {
		if total >= d.spec.Tasks {
			break
		}
		at := end.partIndex
		free[at] = free[at].Plus(end.frees)
		tasks := d.limitNonPreemptible(parts[at].state, parts[at].node, countFitting(free[at], d.task, d.spec.Tasks))
		total += tasks - parts[at].tasks
		parts[at].tasks = tasks
		start = end.at
		last = later(last, end.overdueAt)
	}
	if total < d.spec.Tasks {
		return nil, len(ends)
	}
	v := newReservation(e, d, parts)
	v.made = r.now
	v.start = start
	v.giveUpAfter = later(last, start.Add(start.Sub(r.now)))
	return v, len(ends)
}

func newReservation(e *jobEntry, d *demand, parts []gangPart) *reservation {
	v := &reservation{
		job:  e.job.ID,
		held: map[sesamemodel.TargetID]sesamemodel.Resources{},
	}
	for _, part := range d.trim(parts) {
		v.held[part.target().target.ID] = d.task.Times(part.tasks)
		if !slices.Contains(v.cells, part.state.cell.ID) {
			v.cells = append(v.cells, part.state.cell.ID)
		}
	}
	return v
}

// expectedReleases lists what a node's allocations free and when. A borrower beyond its
// expected end can be stopped at once; other work beyond it is expected to go
// on for half as long again.
func (r *round) expectedReleases(part gangPart, index int) []expectedRelease {
	var ends []expectedRelease
	for _, h := range part.target().allocations {
		a := &part.state.cell.Allocations[h]
		end, overdue := expectedEnd(a), r.planner.overdueAt(a)
		if a.Owed || a.NonPreemptible {
			overdue = end
		}
		if !end.After(r.now) {
			end = r.now
			if a.Owed || a.NonPreemptible || overdue.After(r.now) {
				end = r.now.Add(r.now.Sub(a.Since) / 2)
			}
		}
		ends = append(ends, expectedRelease{
			at:        end,
			overdueAt: overdue,
			partIndex: index,
			frees:     a.Resources,
		})
	}
	return ends
}
