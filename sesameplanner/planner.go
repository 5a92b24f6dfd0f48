package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Planner decides which job runs where. It is not safe for concurrent use.
type Planner struct {
	options Options
	// contractsSet is true once SetContracts was called; Plan decides nothing
	// before.
	contractsSet bool
	// teams holds the teams that a contract, cell or job has named.
	teams map[sesamemodel.TeamID]*team
	// jobs holds all open jobs, queued or not.
	jobs  map[sesamemodel.JobID]*jobEntry
	cells *index
	// cachedFits holds what queued jobs with the same requirements share.
	cachedFits map[signature]*cachedFit
	// histories holds observed run times and usage by class.
	histories map[classKey]*history
	// suspects holds the targets with failures since their last success.
	suspects map[sesamemodel.TargetID]*suspect
	// unchecked holds the queued jobs to check for whether they can ever run.
	unchecked map[sesamemodel.JobID]*jobEntry
	// generation changes whenever cells or capacity change, so that what fits
	// must be checked again.
	generation uint64
	// roundCount counts the calls of Plan; it numbers the rounds from 1.
	roundCount uint64
	// reservations are in the order in which they were made.
	reservations []*reservation
	// reservationByTarget holds the reservation of each target that has one. A
	// target has at most one.
	reservationByTarget map[sesamemodel.TargetID]*reservation
	// candidates is a buffer that is reused when victims are chosen.
	candidates []candidate
}

// New returns a planner without contracts, cells or jobs.
func New(o Options) *Planner {
	return &Planner{
		options:             o,
		teams:               map[sesamemodel.TeamID]*team{},
		jobs:                map[sesamemodel.JobID]*jobEntry{},
		cells:               newIndex(),
		cachedFits:          map[signature]*cachedFit{},
		histories:           map[classKey]*history{},
		suspects:            map[sesamemodel.TargetID]*suspect{},
		unchecked:           map[sesamemodel.JobID]*jobEntry{},
		reservationByTarget: map[sesamemodel.TargetID]*reservation{},
	}
}

// SetContracts replaces all contracts and schedules every queued job for a new
// check against them. The planner keeps the slice, which must not be changed.
func (p *Planner) SetContracts(contracts []sesamemodel.Contract) {
	p.contractsSet = true
	for _, t := range p.teams {
		t.contract = nil
	}
	for i := range contracts {
		t := p.ensureTeam(contracts[i].Team)
		t.contract = &contracts[i]
	}
	for id, e := range p.jobs {
		if e.job.State == sesamemodel.Queued {
			p.unchecked[id] = e
		}
	}
}

// SetCell adds or replaces a cell. Cells of other regions than Options.Region
// are ignored.
func (p *Planner) SetCell(cell sesamemodel.Cell) {
	if p.options.Region != "" && cell.Region != p.options.Region {
		return
	}
	p.setCellState(newCellState(cell))
}

// setCellState replaces a cell's state. The new state inherits the packing of
// the old one, and queued jobs are checked again if targets or capacity
// changed.
func (p *Planner) setCellState(s *cellState) {
	old := p.cells.get(s.cell.ID)
	if old != nil {
		p.addToTeamTotals(old, -1)
		s.inheritPacking(old)
	}
	s.pinned = p.options.Disabled.Floating
	p.addToTeamTotals(s, 1)
	if old == nil || !sameTargets(old.cell.Targets, s.cell.Targets) {
		p.recheckQueued()
	}
	p.cells.set(s)
}

// sameTargets reports whether both lists have the same targets with the same
// capacity, in the same order.
func sameTargets(a, b []sesamemodel.Target) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].Capacity != b[i].Capacity {
			return false
		}
	}
	return true
}

// recheckQueued starts a new generation and schedules all queued jobs for a new
// check of whether they can ever run.
func (p *Planner) recheckQueued() {
	p.generation++
	for _, t := range p.teams {
		for _, e := range t.queue {
			if !e.dequeued {
				p.unchecked[e.job.ID] = e
			}
		}
	}
}

// RemoveCell removes a cell with all its targets; an unknown cell is ignored.
func (p *Planner) RemoveCell(id sesamemodel.CellID) {
	s := p.cells.get(id)
	if s == nil {
		return
	}
	p.addToTeamTotals(s, -1)
	p.cells.remove(s)
	p.recheckQueued()
}

// addToTeamTotals adds the cell's allocations and guarantees to the totals of
// their teams if sign is 1, and subtracts them if it is -1.
func (p *Planner) addToTeamTotals(s *cellState, sign int) {
	for i := range s.cell.Allocations {
		a := &s.cell.Allocations[i]
		t := p.ensureTeam(a.Team)
		t.usedAccelerators += sign * a.Resources.Accelerators
		if !a.Owed {
			t.borrowed = t.borrowed.Plus(a.Resources.Times(sign))
		}
	}
	for _, g := range s.cell.Guarantees {
		t := p.ensureTeam(g.Team)
		t.guaranteesByCell[s.cell.ID] += sign
		if t.guaranteesByCell[s.cell.ID] == 0 {
			delete(t.guaranteesByCell, s.cell.ID)
		}
	}
}

// SetJob adds or replaces an open job. A job that has ended, or that belongs to
// another region than Options.Region, is removed.
func (p *Planner) SetJob(job sesamemodel.Job) {
	p.RemoveJob(job.ID)
	if job.State.Ended() || p.options.Region != "" && job.Region != p.options.Region {
		return
	}
	e := p.newJobEntry(job)
	p.jobs[job.ID] = e
	if job.State == sesamemodel.Queued {
		p.ensureTeam(job.Spec.Team).enqueue(e)
		p.unchecked[job.ID] = e
	}
}

// RemoveJob removes a job; an unknown job is ignored.
func (p *Planner) RemoveJob(id sesamemodel.JobID) {
	e, ok := p.jobs[id]
	if !ok {
		return
	}
	delete(p.jobs, id)
	delete(p.unchecked, id)
	if e.job.State == sesamemodel.Queued {
		p.ensureTeam(e.job.Spec.Team).dequeue(e)
		p.releaseCachedFit(e.cachedFit)
	}
}

// Plan returns at most limit decisions, in the order in which they must take
// effect. The planner's own state changes as if all were committed; a caller
// whose commit fails must set the affected cells and jobs to their real state.
//
// A round refuses jobs that can never run, then places owed work, then jobs
// with reservations, then work that borrows, and last makes new reservations
// for starving jobs.
func (p *Planner) Plan(now time.Time, limit int) []Decision {
	if !p.contractsSet {
		return nil
	}
	p.roundCount++
	r := &round{
		planner: p,
		number:  p.roundCount,
		now:     now,
		limit:   limit,
	}
	for _, t := range p.teams {
		t.compact()
	}
	r.refuseImpossible()
	r.placeOwed()
	r.placeReserved()
	r.placeBorrowing()
	r.reserveForStarving()
	return r.decisions
}

// Why explains in a sentence why a queued job waits. It is empty if the job is
// unknown or not queued.
func (p *Planner) Why(id sesamemodel.JobID) string {
	e, ok := p.jobs[id]
	if !ok || e.job.State != sesamemodel.Queued {
		return ""
	}
	if e.waitReason != "" {
		return e.waitReason
	}
	return p.describeQueuePosition(e)
}
