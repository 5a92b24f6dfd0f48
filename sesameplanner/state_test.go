package sesameplanner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// simulation drives a planner as its caller does, for random sequences of
// operations, and keeps the state that the caller would have committed.
type simulation struct {
	planner   *Planner
	contracts []sesamemodel.Contract
	cells     map[sesamemodel.CellID]sesamemodel.Cell
	jobs      map[sesamemodel.JobID]sesamemodel.Job
	now       time.Time
	count     int
	// cellsWithLosses holds the cells that have lost a worker and whose
	// guarantees have not all been formable, with all workers ready, since.
	cellsWithLosses map[sesamemodel.CellID]bool
}

// newSimulation returns a simulation of one or two cells and three teams with
// random guarantees.
func newSimulation(t *rapid.T) *simulation {
	m := &simulation{
		cells:           map[sesamemodel.CellID]sesamemodel.Cell{},
		jobs:            map[sesamemodel.JobID]sesamemodel.Job{},
		now:             startTime,
		cellsWithLosses: map[sesamemodel.CellID]bool{},
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "cells") {
		c := newCell(fmt.Sprint("c", i), "z1", rapid.IntRange(2, 6).Draw(t, "workers"), gpuWorker)
		m.cells[c.ID] = c
	}
	for i := range 3 {
		m.contracts = append(m.contracts, newContract(fmt.Sprint("t", i), i+1, 40))
	}
	m.planner = newPlanner(m.cellList(), m.contracts)
	for range 4 {
		m.changeContract(t)
	}
	return m
}

// runLoad submits jobs, plans, ends some of the running jobs and plans again.
func (m *simulation) runLoad(t *rapid.T) {
	m.submit(t)
	m.plan(t)
	for range rapid.IntRange(0, 3).Draw(t, "ends") {
		m.finish(t)
		m.confirmStop(t)
	}
	m.check(t)
	m.plan(t)
}

// cellList returns the cells sorted by name.
func (m *simulation) cellList() []sesamemodel.Cell {
	return slices.SortedFunc(maps.Values(m.cells), func(a, b sesamemodel.Cell) int {
		return compareCells(&cellState{cell: a}, &cellState{cell: b})
	})
}

// setCells commits changed cells and tells the planner.
func (m *simulation) setCells(cells []sesamemodel.Cell) {
	for _, c := range cells {
		m.cells[c.ID] = c
		m.planner.SetCell(c)
	}
}

// setJob commits a changed job and tells the planner.
func (m *simulation) setJob(j sesamemodel.Job) {
	m.jobs[j.ID] = j
	if j.State.Ended() {
		delete(m.jobs, j.ID)
	}
	m.planner.SetJob(j)
}

// drawJob draws one of the jobs in the given states, if there is any.
func (m *simulation) drawJob(t *rapid.T, states ...sesamemodel.State) (sesamemodel.Job, bool) {
	var ids []sesamemodel.JobID
	for id, j := range m.jobs {
		if slices.Contains(states, j.State) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return sesamemodel.Job{}, false
	}
	slices.Sort(ids)
	return m.jobs[rapid.SampledFrom(ids).Draw(t, "job")], true
}

// submit queues one to six random jobs.
func (m *simulation) submit(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "jobs") {
		m.submitOne(t)
	}
}

// submitOne queues a random job.
func (m *simulation) submitOne(t *rapid.T) {
	m.count++
	j := newJob(fmt.Sprintf("j%03d", m.count), fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "team")),
		rapid.SampledFrom([]int{1, 1, 2, 3, 6}).Draw(t, "tasks"), rapid.SampledFrom([]int{0, 1, 2, 4, 8, 8}).Draw(t, "accelerators"),
		rapid.SampledFrom([]sesamemodel.Span{"", sesamemodel.SpanWorker, sesamemodel.SpanRack, sesamemodel.SpanZone}).Draw(t, "span"))
	j.Spec.Task.Cores = rapid.IntRange(1, 40).Draw(t, "cores")
	j.Spec.AtMostOnce = rapid.Bool().Draw(t, "once")
	j.Spec.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
	j.Spec.RunTime = time.Duration(rapid.IntRange(0, 120).Draw(t, "minutes")) * time.Minute
	j.Submitted = m.now
	m.setJob(j)
}

// plan runs a round, checks its decisions and commits them.
func (m *simulation) plan(t *rapid.T) {
	m.now = m.now.Add(time.Minute)
	limit := rapid.SampledFrom([]int{1, 100}).Draw(t, "limit")
	for _, d := range m.planner.Plan(m.now, limit) {
		for _, v := range d.Victims {
			assertPreemptible(t, m.jobs[v.ID])
			m.jobs[v.ID] = v
		}
		if d.Action == Refuse {
			assertCannotFit(t, m, d.Job)
			delete(m.jobs, d.Job.ID)
		} else {
			m.jobs[d.Job.ID] = d.Job
		}
		for _, c := range d.Cells {
			m.cells[c.ID] = c
		}
	}
	if limit > 1 {
		m.assertOwedStarted(t)
	}
}

// assertOwedStarted checks that no job of a single task is left waiting that
// fits into an entirely unused guarantee of its team.
func (m *simulation) assertOwedStarted(t *rapid.T) {
	unused := map[sesamemodel.TeamID]int{}
	for _, c := range m.cells {
		for _, g := range c.Guarantees {
			unused[g.Team] = max(unused[g.Team], perWorker(g.Shape))
		}
	}
	for _, r := range m.planner.GuaranteesAtRisk() {
		delete(unused, r.Guarantee.Team)
	}
	for _, c := range m.cells {
		for _, a := range c.Allocations {
			if a.Owed {
				delete(unused, a.Team)
			}
		}
	}
	for id, j := range m.jobs {
		need := j.Spec.Task
		covered := need.Accelerators <= unused[j.Spec.Team] && need.Cores <= unused[j.Spec.Team]*gpuWorker.Cores/gpuWorker.Accelerators
		if j.State == sesamemodel.Queued && j.Spec.Tasks == 1 && covered {
			t.Fatalf("job %s waits beside %d unused guaranteed accelerators: %s", id, unused[j.Spec.Team], m.planner.Why(id))
		}
	}
}

// releaseAllocations removes the allocations of a job's current attempt.
func (m *simulation) releaseAllocations(j sesamemodel.Job) {
	for _, id := range j.Cells() {
		m.setCells([]sesamemodel.Cell{m.cells[id].WithoutAttempt(j.ID, j.Attempt, "")})
	}
}

// finish ends a random placed or running job as done.
func (m *simulation) finish(t *rapid.T) {
	if j, ok := m.drawJob(t, sesamemodel.Placed, sesamemodel.Running); ok {
		m.releaseAllocations(j)
		m.setJob(j.WithResults(m.now, nil))
	}
}

// confirmStop queues a random stopping job again.
func (m *simulation) confirmStop(t *rapid.T) {
	if j, ok := m.drawJob(t, sesamemodel.Stopping); ok {
		m.releaseAllocations(j)
		m.setJob(j.WithRequeue(m.now, ""))
	}
}

// cancel cancels a random queued job.
func (m *simulation) cancel(t *rapid.T) {
	if j, ok := m.drawJob(t, sesamemodel.Queued); ok {
		m.setJob(j.WithEvent(m.now, sesamemodel.Cancelled, "asked"))
	}
}

// changeContract draws new guarantees for one team and applies them if they are
// admitted.
func (m *simulation) changeContract(t *rapid.T) {
	contracts := slices.Clone(m.contracts)
	i := rapid.IntRange(0, 2).Draw(t, "changed")
	contracts[i].Guarantees = rapid.SliceOfN(rapid.SampledFrom([]sesamemodel.Shape{
		shape(1, 8, sesamemodel.SpanWorker),
		shape(1, 4, sesamemodel.SpanWorker),
		shape(2, 8, sesamemodel.SpanRack),
		shape(3, 2, sesamemodel.SpanRack),
		shape(3, 8, sesamemodel.SpanZone),
	}), 0, 4).Draw(t, "guarantees")
	cells, err := Admit(contracts, m.cellList())
	if err != nil {
		return
	}
	m.contracts = contracts
	m.planner.SetContracts(contracts)
	m.setCells(cells)
}

// toggleWorker makes a random worker lost, or ready again if it was lost, and
// repairs the guarantees.
func (m *simulation) toggleWorker(t *rapid.T) {
	c := rapid.SampledFrom(m.cellList()).Draw(t, "cell")
	target := rapid.SampledFrom(c.Targets).Draw(t, "target")
	if target.Health == sesamemodel.Ready {
		target.Health = sesamemodel.Lost
	} else {
		target.Health = sesamemodel.Ready
	}
	m.cellsWithLosses[c.ID] = true
	m.setCells([]sesamemodel.Cell{c.WithTarget(target)})
	for _, changed := range m.planner.RepairGuarantees() {
		m.cells[changed.ID] = changed
	}
}

// check checks all invariants, and that the planner's index equals one that is
// built anew from the cells.
func (m *simulation) check(t *rapid.T) {
	assertConsistent(t, m.planner)
	m.assertReclaimable(t)
	fresh := newPlanner(m.cellList(), m.contracts)
	for id, s := range fresh.cells.byID {
		is.New(t).Equal(s.summary, m.planner.cells.byID[id].summary) // the index equals one built from the cells
	}
}

// assertReclaimable checks by brute force that every cell can form its
// guarantees at once. Exempt are those that the planner reports at risk, which
// may only happen in cells that have lost workers.
func (m *simulation) assertReclaimable(t *rapid.T) {
	risky := map[sesamemodel.Guarantee]bool{}
	atRisk := map[sesamemodel.CellID]bool{}
	for _, r := range m.planner.GuaranteesAtRisk() {
		if !m.cellsWithLosses[r.Cell] {
			t.Fatalf("cell %s lost no worker and cannot form %v", r.Cell, r.Guarantee)
		}
		risky[r.Guarantee] = true
		atRisk[r.Cell] = true
	}
	for _, c := range m.cells {
		if !atRisk[c.ID] && allReady(c) {
			delete(m.cellsWithLosses, c.ID)
		}
		var open []sesamemodel.Guarantee
		for _, g := range c.Guarantees {
			if !risky[g] {
				open = append(open, g)
			}
		}
		if !formable(newPacker(newCellState(c)), open) {
			t.Fatalf("cell %s cannot form %v", c.ID, open)
		}
	}
}

// allReady reports whether all targets of the cell are ready.
func allReady(c sesamemodel.Cell) bool {
	return !slices.ContainsFunc(c.Targets, func(t sesamemodel.Target) bool {
		return t.Health != sesamemodel.Ready
	})
}

// formable reports whether the guarantees can all be placed, by trying every
// placement of the first and then of the others.
func formable(p *packer, open []sesamemodel.Guarantee) bool {
	if len(open) == 0 {
		return true
	}
	for _, nodes := range placements(p, open[0]) {
		next := &packer{
			state:         p.state,
			spare:         slices.Clone(p.spare),
			uncoveredOwed: map[sesamemodel.TeamID][]int{},
		}
		for team, own := range p.uncoveredOwed {
			next.uncoveredOwed[team] = slices.Clone(own)
		}
		next.addSlots(0, open[0], nodes)
		if formable(next, open[1:]) {
			return true
		}
	}
	return false
}

// placements returns every choice of nodes that can form the guarantee.
func placements(p *packer, g sesamemodel.Guarantee) [][]int {
	var found [][]int
	var extend func(chosen []int, from int)
	extend = func(chosen []int, from int) {
		if len(chosen) == workerCount(g.Shape) {
			found = append(found, slices.Clone(chosen))
			return
		}
		for i := from; i < len(p.state.nodes); i++ {
			sameRack := len(chosen) == 0 || p.state.nodes[chosen[0]].rackIndex == p.state.nodes[i].rackIndex
			if p.hasRoom(g, i) && (sameRack || g.Shape.Span != sesamemodel.SpanRack) {
				extend(append(chosen, i), i+1)
			}
		}
	}
	extend(nil, 0)
	return found
}

// assertPreemptible checks that a victim was neither owed nor non-preemptible.
func assertPreemptible(t *rapid.T, j sesamemodel.Job) {
	if j.Owed || nonPreemptible(j.Spec) {
		t.Fatalf("job %s, owed %v, was stopped", j.ID, j.Owed)
	}
}

// assertCannotFit checks that a refused job exceeds its contract or fits
// nowhere, even with all targets idle and ready.
func assertCannotFit(t *rapid.T, m *simulation, j sesamemodel.Job) {
	contract := m.contracts[slices.IndexFunc(m.contracts, func(c sesamemodel.Contract) bool {
		return c.Team == j.Spec.Team
	})]
	if j.Spec.TotalResources().Accelerators > contract.GuaranteedAccelerators()+contract.Limits.Borrow {
		return
	}
	idle := newPlanner(nil, []sesamemodel.Contract{newContract(string(j.Spec.Team), 1, 1000)})
	for _, c := range m.cells {
		c.Allocations = nil
		c.Guarantees = nil
		for _, target := range c.Targets {
			target.Health = sesamemodel.Ready
			c = c.WithTarget(target)
		}
		idle.SetCell(c)
	}
	if idle.cells.find(idle.borrowDemand(idle.newJobEntry(j), startTime)) != nil {
		t.Fatalf("job %s was refused and fits: %s", j.ID, j.Reason)
	}
}

// TestPlannerKeepsInvariants runs random sequences of submissions, rounds,
// ends, preemptions, cancellations, contract changes and worker losses, and
// checks the planner's invariants after each step.
func TestPlannerKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"busy":    m.runLoad,
			"busier":  m.runLoad,
			"submit":  m.submit,
			"finish":  m.finish,
			"confirm": m.confirmStop,
			"cancel":  m.cancel,
			"change":  m.changeContract,
			"lose":    m.toggleWorker,
			"":        m.check,
		})
	})
}
