package sesameplanner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// release frees what the running job holds in the planner's cells and removes
// the job.
func release(p *Planner, id sesamemodel.JobID) {
	job := p.jobs[id].job
	p.RemoveJob(id)
	for _, cell := range job.Cells() {
		p.SetCell(p.cells.get(cell).cell.WithoutAttempt(id, job.Attempt, ""))
	}
}

// assertPlaces runs a round and checks that it places just these jobs.
func assertPlaces(is *is.I, p *Planner, now time.Time, jobs ...sesamemodel.JobID) {
	is.Helper()
	var placed []sesamemodel.JobID
	for _, d := range p.Plan(now, 100) {
		if d.Action == Place {
			placed = append(placed, d.Job.ID)
		}
	}
	is.Equal(placed, jobs)
}

// TestReservationAtBorrowingLimit lets a job wait that has a reservation, while
// its team's contract changes so that the team may borrow no more. The reserved
// worker must serve others meanwhile: only the team's own work is in the way.
func TestReservationAtBorrowingLimit(t *testing.T) {
	is := is.New(t)
	cells := []sesamemodel.Cell{newCell("a", "z1", 2, gpuWorker)}
	first := newJob("a1", "a", 1, 8, "")
	first.Spec.RunTime = 5 * time.Hour // so that the other worker is reserved
	p := newPlanner(cells, []sesamemodel.Contract{newContract("a", 1, 16), newContract("b", 1, 100)},
		first, newJob("b1", "b", 1, 8, ""))
	is.Equal(len(p.Plan(startTime, 100)), 2)
	p.SetJob(newJob("a2", "a", 1, 8, ""))
	now := startTime.Add(DefaultReserveAfter + time.Minute)
	assertPlaces(is, p, now)
	is.Equal(len(p.reservations), 1)

	p.SetContracts([]sesamemodel.Contract{newContract("a", 1, 8), newContract("b", 1, 100)})
	release(p, "b1")
	long := newJob("b2", "b", 1, 8, "")
	long.Spec.RunTime = 10 * time.Hour
	p.SetJob(long)
	now = now.Add(time.Minute)
	assertPlaces(is, p, now, "b2")

	release(p, "a1")
	assertPlaces(is, p, now.Add(time.Minute), "a2")
}

// TestReservationWithoutContract checks that a team whose contract is withdrawn
// loses its reservations.
func TestReservationWithoutContract(t *testing.T) {
	is := is.New(t)
	p := newPlanner([]sesamemodel.Cell{newCell("a", "z1", 1, gpuWorker)},
		[]sesamemodel.Contract{newContract("a", 1, 16), newContract("b", 1, 100)}, newJob("b1", "b", 1, 8, ""))
	assertPlaces(is, p, startTime, "b1")
	p.SetJob(newJob("a1", "a", 1, 8, ""))
	now := startTime.Add(DefaultReserveAfter + time.Minute)
	assertPlaces(is, p, now)
	is.Equal(len(p.reservations), 1)
	p.SetContracts([]sesamemodel.Contract{newContract("b", 1, 100)})
	assertPlaces(is, p, now.Add(2*time.Hour))
	is.Equal(len(p.reservations), 0)
}

// TestOwedTaskKeepsCorrection checks that a job for which its guarantee has no
// room keeps the resources that were corrected by observed usage, with which it
// may borrow in the same round.
func TestOwedTaskKeepsCorrection(t *testing.T) {
	is := is.New(t)
	contracts := []sesamemodel.Contract{newContract("a", 1, 100, shape(1, 8, sesamemodel.SpanWorker))}
	cells := mustAdmit(t, contracts, []sesamemodel.Cell{newCell("a", "z1", 1, gpuWorker)})
	// The allocation's job is unknown, so it can't be stopped to make room.
	cells[0] = cells[0].WithAllocations(sesamemodel.Allocation{
		Job:             "unknown",
		Attempt:         1,
		Team:            "b",
		Target:          cells[0].Targets[0].ID,
		Tasks:           1,
		Resources:       gpuWorker,
		AcceleratorMask: 0xff,
	})
	p := newPlanner(cells, contracts, newJob("j", "a", 1, 8, ""))
	e := p.jobs["j"]
	corrected := e.task.Plus(sesamemodel.Resources{
		Cores: 3,
	})
	e.task = corrected
	r := &round{
		planner: p,
		now:     startTime,
		limit:   1,
	}
	is.True(!r.placeWithinGuarantee(e))
	is.Equal(e.task, corrected)
}
