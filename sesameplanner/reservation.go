package sesameplanner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// reservation holds capacity of targets for one job that has waited long. Other
// work may still be backfilled there if it is expected to end before start.
type reservation struct {
	job sesamemodel.JobID
	// made is when the reservation was made. start is when all resources that
	// it holds are expected to be free.
	made, start time.Time
	// giveUpAfter is when the reservation is dropped if the job still does not
	// fit: when all preemptible work in the way should have become overdue, but
	// no sooner than as long after start as start was forecast ahead.
	giveUpAfter time.Time
	// backfillClosed is true once backfill is no longer allowed, because start
	// has passed and the job still could not be placed.
	backfillClosed bool
	// held is the amount reserved on each target.
	held map[sesamemodel.TargetID]sesamemodel.Resources
	// cells are the cells of the held targets.
	cells []sesamemodel.CellID
}

// targetsPerReservation is how many targets the platform needs for each
// reservation beyond minReservations.
const targetsPerReservation = 50

// maxForecastAllocations ends the search for the place where a waiting job can
// start first. Once some place is known and more allocations than this were
// examined in all, the remaining topology domains (such as racks) are skipped.
const maxForecastAllocations = 5000

// minReservations is how many reservations may exist at a time on a platform
// with fewer than targetsPerReservation targets.
const minReservations = 2

// maxReservations returns how many reservations may exist at a time.
func (p *Planner) maxReservations() int {
	return minReservations + p.cells.targets/targetsPerReservation
}

// addReservation registers a reservation and its targets.
func (p *Planner) addReservation(v *reservation) {
	p.reservations = append(p.reservations, v)
	for id := range v.held {
		p.reservationByTarget[id] = v
	}
}

// dropReservation removes a job's reservation and releases its targets.
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

// placeReserved tries to place the jobs that hold reservations, before any
// other job may borrow. From the reserved start on, overdue borrowers are
// preempted and the reservation is closed to backfill. A reservation that is
// still blocked at giveUpAfter, by work that must not be stopped, is replaced
// by one elsewhere. A reservation of a team that may borrow no more is dropped:
// it would keep the capacity from others while only the team's own work is in
// the way.
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
		if r.borrow(e) || p.isOverBorrowingLimit(e) {
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

// isOverBorrowingLimit reports whether the job's team may not borrow what the job
// needs in addition to what the team uses. A team without a contract may not
// borrow at all.
func (p *Planner) isOverBorrowingLimit(e *jobEntry) bool {
	t := p.ensureTeam(e.job.Spec.Team)
	return t.contract == nil || !t.mayBorrow(e.job.Spec.TotalResources().Accelerators)
}

// reserveFor makes a reservation for a job where it is expected to start first,
// if there is such a place. It takes effect at once, before other jobs can take
// the capacity.
func (r *round) reserveFor(e *jobEntry) {
	if v := r.forecast(e); v != nil {
		r.planner.addReservation(v)
	}
}

// placeOnReservation places a job on its reserved targets, preempting overdue
// borrowers there, and reports whether it could.
func (r *round) placeOnReservation(e *jobEntry, v *reservation) bool {
	p := r.planner
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

// reservedParts returns the reserved targets with room for tasks of the job.
func (r *round) reservedParts(d *demand, v *reservation) []gangPart {
	var parts []gangPart
	for _, id := range v.cells {
		s := r.planner.cells.get(id)
		if s == nil {
			continue
		}
		for _, i := range s.nodesByRack {
			if _, ok := v.held[s.nodes[i].target.ID]; ok {
				parts, _ = d.appendFitting(parts, s, []int{i})
			}
		}
	}
	return parts
}

// freeWithOverdue returns what is free on node i plus what overdue, preemptible
// borrowers hold there.
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

// stoppableJob returns the job of an allocation, and whether the planner may
// stop it: the job is known, active and still at the allocation's attempt
// (placement).
func (p *Planner) stoppableJob(a *sesamemodel.Allocation) (*jobEntry, bool) {
	e, ok := p.jobs[a.Job]
	return e, ok && e.job.State.Active() && e.job.Attempt == a.Attempt
}

// mayStop reports whether the planner may stop the job of an allocation.
func (p *Planner) mayStop(a *sesamemodel.Allocation) bool {
	_, ok := p.stoppableJob(a)
	return ok
}

// expectedEnd returns when an allocation is expected to end; one without a run
// time is taken to run for defaultRunTime.
func expectedEnd(a *sesamemodel.Allocation) time.Time {
	if a.RunTime <= 0 {
		return a.Since.Add(defaultRunTime)
	}
	return a.Since.Add(a.RunTime)
}

// overrunFactor is how many times its expected run time work without
// checkpoints may run before it is overdue. Such work gets more time because
// stopping it loses all its progress.
const overrunFactor = 2

// overdueAt returns when an allocation becomes overdue, that is, when it may be
// stopped for a reservation: at its expected end or, without checkpoints, after
// overrunFactor times its expected run time.
func (p *Planner) overdueAt(a *sesamemodel.Allocation) time.Time {
	end := expectedEnd(a)
	if e := p.jobs[a.Job]; e != nil && !e.job.Spec.Checkpoints {
		return a.Since.Add(overrunFactor * end.Sub(a.Since))
	}
	return end
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reserveForStarving makes reservations for starving jobs, at most one for each
// team and in total at most maxReservations. The team with the smallest
// weighted share comes first, and within a team the job that was submitted
// first.
func (r *round) reserveForStarving() {
	p := r.planner
	if p.options.Disabled.Reservation {
		return
	}
	slices.SortFunc(r.starving, func(a, b *jobEntry) int {
		return cmp.Or(
			cmp.Compare(p.weightedShare(p.ensureTeam(a.job.Spec.Team)), p.weightedShare(p.ensureTeam(b.job.Spec.Team))),
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

// teamReserved reports whether a job of the team holds a reservation.
func (p *Planner) teamReserved(team sesamemodel.TeamID) bool {
	return slices.ContainsFunc(p.reservations, func(v *reservation) bool {
		e, ok := p.jobs[v.job]
		return ok && e.job.Spec.Team == team
	})
}

// expectedRelease is an allocation that is expected to end and free part of a
// node.
type expectedRelease struct {
	// at is the expected end.
	at time.Time
	// overdueAt is when the allocation may be stopped for a reservation.
	overdueAt time.Time
	// partIndex is the position of the node's part among the parts of the domain
	// for which the forecast is made.
	partIndex int
	// frees is what the allocation holds.
	frees sesamemodel.Resources
}

// forecast returns a reservation in the topology domain in which the job is
// expected to be able to start first; nil if it fits in none.
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

// forecastDomain releases the allocations of one domain in the order of their
// expected ends until the job fits, and returns the reservation for that time;
// nil if the job never fits. It also returns how many allocations it examined.
// The tasks of the parts are overwritten.
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

// newReservation returns a reservation, still without times, on as few of the
// parts' targets as the job needs.
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

// expectedReleases lists when the allocations of a part's target are expected
// to end and what they free; partIndex is the part's position in its domain. An
// overdue borrower can be stopped at once. Other work beyond its expected end is
// assumed to run for half as long again as it has run so far.
func (r *round) expectedReleases(part gangPart, partIndex int) []expectedRelease {
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
			partIndex: partIndex,
			frees:     a.Resources,
		})
	}
	return ends
}
