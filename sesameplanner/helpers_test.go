package sesameplanner

import (
	"fmt"
	"math/bits"

	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// startTime is the time at which every test starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// gpuWorker is the capacity of a worker with eight accelerators; memory is in
// MiB.
var gpuWorker = sesamemodel.Resources{
	Cores:        128,
	Memory:       512000,
	Accelerators: 8,
}

// workersPerRack is how many workers newCell puts into one rack.
const workersPerRack = 3

// newCell returns a cell of ready workers of the same capacity, with
// workersPerRack of them to a rack.
func newCell(name, zone string, workers int, capacity sesamemodel.Resources) sesamemodel.Cell {
	cell := sesamemodel.Cell{
		ID:     sesamemodel.CellID("r/" + name),
		Region: "r",
		Zone:   zone,
	}
	for i := range workers {
		cell.Targets = append(cell.Targets, sesamemodel.Target{
			ID:          sesamemodel.TargetID(fmt.Sprintf("%s-w%02d", name, i)),
			Kind:        sesamemodel.Worker,
			Zone:        zone,
			Rack:        fmt.Sprintf("%s-rack%d", name, i/workersPerRack),
			Address:     fmt.Sprintf("10.0.0.%d:7000", i),
			Incarnation: "first",
			Capacity:    capacity,
			Health:      sesamemodel.Ready,
		})
	}
	return cell
}

// newContract returns a contract with one class, "normal", that may borrow that
// many accelerators.
func newContract(team string, weight, borrow int, shapes ...sesamemodel.Shape) sesamemodel.Contract {
	return sesamemodel.Contract{
		Team:       sesamemodel.TeamID(team),
		Weight:     weight,
		Guarantees: shapes,
		Classes: []sesamemodel.Class{
			{Name: "normal", Urgency: sesamemodel.Normal},
		},
		Limits: sesamemodel.Limits{
			OpenJobs:       1000,
			RetriesPerHour: 100,
			Borrow:         borrow,
		},
	}
}

// shape returns a guaranteed shape: workers with that many accelerators on
// each.
func shape(workers, accelerators int, span sesamemodel.Span) sesamemodel.Shape {
	return sesamemodel.Shape{
		Workers:      workers,
		Accelerators: accelerators,
		Span:         span,
	}
}

// newJob returns a queued job with checkpoints and a declared run time of one
// hour; accelerators is the number for each task.
func newJob(id, team string, tasks, accelerators int, span sesamemodel.Span) sesamemodel.Job {
	return sesamemodel.Job{
		ID:     sesamemodel.JobID(id),
		Region: "r",
		Spec: sesamemodel.Spec{
			Team:  sesamemodel.TeamID(team),
			Class: "normal",
			Kind:  sesamemodel.Worker,
			Tasks: tasks,
			Task: sesamemodel.Resources{
				Cores:        accelerators,
				Memory:       1000 * accelerators,
				Accelerators: accelerators,
			},
			Span:        span,
			Checkpoints: true,
			RunTime:     time.Hour,
		},
		Urgency:   sesamemodel.Normal,
		State:     sesamemodel.Queued,
		Submitted: startTime,
	}
}

// newPlanner returns a planner that knows the cells, contracts and jobs.
func newPlanner(cells []sesamemodel.Cell, contracts []sesamemodel.Contract, jobs ...sesamemodel.Job) *Planner {
	p := New(Options{
		Packing: 0.5,
	})
	p.SetContracts(contracts)
	for _, c := range cells {
		p.SetCell(c)
	}
	for _, j := range jobs {
		p.SetJob(j)
	}
	return p
}

// mustAdmit returns the cells with all guarantees of the contracts assigned,
// and fails the test if they do not fit.
func mustAdmit(t rapid.TB, contracts []sesamemodel.Contract, cells []sesamemodel.Cell) []sesamemodel.Cell {
	t.Helper()
	changed, err := Admit(contracts, cells)
	is.New(t).NoErr(err)
	out := append([]sesamemodel.Cell{}, cells...)
	for i := range out {
		for _, c := range changed {
			if c.ID == out[i].ID {
				out[i] = c
			}
		}
	}
	return out
}

// assertConsistent checks that no accelerator is allocated twice, that no
// target is allocated beyond its capacity, and that all tasks of each placed
// gang have an allocation.
func assertConsistent(t rapid.TB, p *Planner) {
	t.Helper()
	is := is.New(t)
	tasks := map[sesamemodel.JobID]int{}
	for _, s := range p.cells.byID {
		busy := map[sesamemodel.TargetID]uint64{}
		for _, a := range s.cell.Allocations {
			is.Equal(busy[a.Target]&a.AcceleratorMask, uint64(0))                   // each accelerator is allocated once
			is.Equal(bits.OnesCount64(a.AcceleratorMask), a.Resources.Accelerators) // the mask matches the count
			busy[a.Target] |= a.AcceleratorMask
			tasks[a.Job] += a.Tasks
		}
		for i := range s.nodes {
			is.True(!s.nodes[i].free.Negative()) // within capacity
		}
	}
	for id, e := range p.jobs {
		if e.job.State == sesamemodel.Placed || e.job.State == sesamemodel.Running {
			is.Equal(tasks[id], e.job.Spec.Tasks) // every task is allocated
			assertRanks(t, e.job)
		}
	}
}

// assertRanks checks that the assignments cover the task ranks 0 to tasks - 1
// in order.
func assertRanks(t rapid.TB, job sesamemodel.Job) {
	t.Helper()
	is := is.New(t)
	next := 0
	for _, a := range job.Assignments {
		is.Equal(a.FirstRank, next) // ranks are consecutive
		next += a.Tasks
	}
	is.Equal(next, job.Spec.Tasks) // every rank is assigned
}

// assertReclaimable checks that every cell can form all its guarantees at once.
func assertReclaimable(t rapid.TB, p *Planner) {
	t.Helper()
	for id, s := range p.cells.byID {
		if failed := s.findPacking().failed; len(failed) > 0 {
			t.Fatalf("cell %s cannot form guarantee %v", id, s.cell.Guarantees[failed[0]])
		}
	}
}
