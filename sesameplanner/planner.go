package sesameplanner

import (
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// Planner decides which job runs where. It is owned by one goroutine.
type Planner struct {
	options Options
	// contractsSet is true once contracts have been set.
	contractsSet bool
	teams        map[sesamemodel.TeamID]*team
	jobs         map[sesamemodel.JobID]*jobEntry
	cells        *index
	cachedFits   map[signature]*cachedFit
	histories    map[classKey]*history
	suspects     map[sesamemodel.TargetID]*suspect
	// unchecked are queued jobs that may turn out never to fit.
	unchecked map[sesamemodel.JobID]*jobEntry
	// generation grows whenever other jobs may fit the known targets.
	generation   uint64
	roundCount   uint64
	reservations []*reservation
	// reservationByTarget are the reservations by target.
	reservationByTarget map[sesamemodel.TargetID]*reservation
	// candidates is scratch space for the choice of victims.
	candidates []candidate
}

// New returns a planner that knows no contracts, cells or jobs.
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

// SetContracts replaces the contracts in force.
func (p *Planner) SetContracts(contracts []sesamemodel.Contract) {
	p.contractsSet = true
	for _, t := range p.teams {
		t.contract = nil
	}
	for i := range contracts {
		t := p.team(contracts[i].Team)
		t.contract = &contracts[i]
	}
	for id, e := range p.jobs {
		if e.job.State == sesamemodel.Queued {
			p.unchecked[id] = e
		}
	}
}

// SetCell adds or replaces one cell.
func (p *Planner) SetCell(cell sesamemodel.Cell) {
	if p.options.Region != "" && cell.Region != p.options.Region {
		return
	}
	p.setCellState(newCellState(cell))
}

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

// sameTargets reports whether the same targets offer the same capacity.
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

// recheckQueued forgets what fits the targets that were known before.
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

// RemoveCell forgets a cell.
func (p *Planner) RemoveCell(id sesamemodel.CellID) {
	s := p.cells.get(id)
	if s == nil {
		return
	}
	p.addToTeamTotals(s, -1)
	p.cells.remove(s)
	p.recheckQueued()
}

// addToTeamTotals adds the cell's allocations and guarantees to the teams' sums, sign
// times.
func (p *Planner) addToTeamTotals(s *cellState, sign int) {
	for i := range s.cell.Allocations {
		a := &s.cell.Allocations[i]
		t := p.team(a.Team)
		t.usedAccelerators += sign * a.Resources.Accelerators
		if !a.Owed {
			t.borrowed = t.borrowed.Plus(a.Resources.Times(sign))
		}
	}
	for _, g := range s.cell.Guarantees {
		t := p.team(g.Team)
		t.guaranteesByCell[s.cell.ID] += sign
		if t.guaranteesByCell[s.cell.ID] == 0 {
			delete(t.guaranteesByCell, s.cell.ID)
		}
	}
}

// SetJob adds or replaces an open job; a job that has ended is removed.
func (p *Planner) SetJob(job sesamemodel.Job) {
	p.RemoveJob(job.ID)
	if job.State.Ended() || p.options.Region != "" && job.Region != p.options.Region {
		return
	}
	e := p.newJobEntry(job)
	p.jobs[job.ID] = e
	if job.State == sesamemodel.Queued {
		p.team(job.Spec.Team).enqueue(e)
		p.unchecked[job.ID] = e
	}
}

// RemoveJob forgets a job.
func (p *Planner) RemoveJob(id sesamemodel.JobID) {
	e, ok := p.jobs[id]
	if !ok {
		return
	}
	delete(p.jobs, id)
	delete(p.unchecked, id)
	if e.job.State == sesamemodel.Queued {
		p.team(e.job.Spec.Team).dequeue(e)
		p.releaseCachedFit(e.cachedFit)
	}
}

// Plan returns at most limit decisions, in the order in which they must take
// effect. The planner goes on as if they had; a caller whose commit failed
// sets the cells and jobs again as they really are.
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

// Why says in a sentence why a queued job waits; it is empty for a job that
// the planner does not know or that does not wait.
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
