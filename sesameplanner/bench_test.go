package sesameplanner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// fleet is a platform with contracts and running jobs, for benchmarks.
type fleet struct {
	cells     []sesamemodel.Cell
	contracts []sesamemodel.Contract
	jobs      []sesamemodel.Job
}

const (
	// fleetCellSize is the number of workers in a cell.
	fleetCellSize = 24
	// fleetZones is the number of zones.
	fleetZones = 20
	// fleetTeams is the number of teams.
	fleetTeams = 280
	// tasksPerWorker is how many tasks run on a worker on average.
	tasksPerWorker = 15
)

// cpuWorker is the capacity of a worker without accelerators; memory is in MiB.
var cpuWorker = sesamemodel.Resources{
	Cores:  128,
	Memory: 512000,
}

// newFleet returns a platform in which one worker in seven holds eight
// accelerators, as on a platform of 13,000 workers with 15,000 accelerators. It
// runs about tasksPerWorker tasks on each worker and guarantees a third of the
// accelerators.
func newFleet(workers int) fleet {
	var f fleet
	cells := (workers + fleetCellSize - 1) / fleetCellSize
	accelerated := max(1, cells/7)
	for i := range cells {
		capacity := cpuWorker
		if i < accelerated {
			capacity = gpuWorker
		}
		size := min(fleetCellSize, workers-i*fleetCellSize)
		f.cells = append(f.cells, newCell(fmt.Sprintf("c%04d", i), fmt.Sprintf("z%02d", i%fleetZones), size, capacity))
	}
	for i := range fleetTeams {
		f.contracts = append(f.contracts, newContract(fmt.Sprintf("t%03d", i), 1+i%3, 20000))
	}
	shapes := accelerated * min(workers, fleetCellSize) / 3
	for i := range min(shapes, fleetTeams) {
		f.contracts[i].Guarantees = []sesamemodel.Shape{shape(1, 8, sesamemodel.SpanWorker)}
	}
	admitted, err := Admit(f.contracts, f.cells)
	if err != nil {
		panic(err)
	}
	for _, c := range admitted {
		for i := range f.cells {
			if f.cells[i].ID == c.ID {
				f.cells[i] = c
			}
		}
	}
	f.fill()
	return f
}

// fill fills every cell with running jobs of eight tasks, each spread over up
// to eight workers.
func (f *fleet) fill() {
	for c := range f.cells {
		cell := &f.cells[c]
		for i := range len(cell.Targets) * tasksPerWorker / 8 {
			id := fmt.Sprintf("r.%04d-%03d", c, i)
			accelerators := 0
			if cell.Targets[0].Capacity.Accelerators > 0 && i%4 == 0 {
				accelerators = 1
			}
			j := newJob(id, fmt.Sprintf("t%03d", (c*31+i)%fleetTeams), 8, accelerators, sesamemodel.SpanZone)
			j.Spec.Task.Cores = 4
			j.Spec.Task.Memory = 8000
			f.addRunningJob(cell, j, i)
		}
	}
}

// addRunningJob adds a running job whose tasks are spread over the cell from a
// position given by the seed.
func (f *fleet) addRunningJob(cell *sesamemodel.Cell, j sesamemodel.Job, seed int) {
	var assignments []sesamemodel.Assignment
	for k := range j.Spec.Tasks {
		target := cell.Targets[(seed*8+k)%len(cell.Targets)]
		var busy uint64
		for _, a := range cell.Allocations {
			if a.Target == target.ID {
				busy |= a.AcceleratorMask
			}
		}
		bits := lowestFreeBits(busy, target.Capacity.Accelerators, j.Spec.Task.Accelerators)
		assignments = append(assignments, sesamemodel.Assignment{
			Target:          target.ID,
			Cell:            cell.ID,
			FirstRank:       k,
			Tasks:           1,
			AcceleratorMask: bits,
		})
		cell.Allocations = append(cell.Allocations, sesamemodel.Allocation{
			Job:             j.ID,
			Attempt:         1,
			Team:            j.Spec.Team,
			Target:          target.ID,
			Tasks:           1,
			Resources:       j.Spec.Task,
			AcceleratorMask: bits,
			Since:           startTime,
			RunTime:         time.Hour,
		})
	}
	f.jobs = append(f.jobs, j.WithPlacement(startTime, assignments, false))
}

// planner returns a planner that knows the fleet.
func (f fleet) planner() *Planner {
	return newPlanner(f.cells, f.contracts, f.jobs...)
}

// fleetSizes are the numbers of workers that each benchmark runs with.
var fleetSizes = []int{10, 100, 1000, 13000}

// benchmarkPlace measures the placement of one job. Each placement is undone
// outside the timer, so that all start from the same state.
func benchmarkPlace(b *testing.B, newOne func(n int) sesamemodel.Job) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFleet(workers)
			p := f.planner()
			p.Plan(startTime, 1)
			before := map[sesamemodel.CellID]sesamemodel.Cell{}
			for _, c := range f.cells {
				before[c.ID] = c
			}
			running := map[sesamemodel.JobID]sesamemodel.Job{}
			for _, j := range f.jobs {
				running[j.ID] = j
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				j := newOne(i)
				p.SetJob(j)
				decisions := p.Plan(startTime.Add(time.Minute), 1)
				b.StopTimer()
				if len(decisions) != 1 || decisions[0].Action != Place {
					b.Skipf("not placed: %s", p.Why(j.ID))
				}
				for _, c := range decisions[0].Cells {
					p.SetCell(before[c.ID])
				}
				for _, v := range decisions[0].Victims {
					p.SetJob(running[v.ID])
				}
				p.RemoveJob(j.ID)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkSmallJob places a job of one task with one accelerator.
func BenchmarkSmallJob(b *testing.B) {
	benchmarkPlace(b, func(n int) sesamemodel.Job {
		j := newJob(fmt.Sprint("n", n), "t279", 1, 1, "")
		return j
	})
}

// BenchmarkOwedJob places a job of a whole worker within its team's guarantee.
func BenchmarkOwedJob(b *testing.B) {
	benchmarkPlace(b, func(n int) sesamemodel.Job {
		return newJob(fmt.Sprint("n", n), "t000", 1, 8, sesamemodel.SpanWorker)
	})
}

// BenchmarkGang1024 places a gang of 1024 tasks with one accelerator each.
func BenchmarkGang1024(b *testing.B) {
	benchmarkPlace(b, func(n int) sesamemodel.Job {
		return newJob(fmt.Sprint("n", n), "t279", 1024, 1, sesamemodel.SpanRegion)
	})
}

// BenchmarkGang1024OfCores places a gang of 1024 tasks with eight cores each
// and no accelerators.
func BenchmarkGang1024OfCores(b *testing.B) {
	benchmarkPlace(b, func(n int) sesamemodel.Job {
		j := newJob(fmt.Sprint("n", n), "t279", 1024, 0, sesamemodel.SpanRegion)
		j.Spec.Task.Cores = 8
		return j
	})
}

// BenchmarkNoRoom measures a round that finds no room for its only job.
func BenchmarkNoRoom(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := newFleet(workers).planner()
			j := newJob("n", "t279", 1, 8, sesamemodel.SpanWorker)
			p.SetJob(j)
			p.Plan(startTime, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if len(p.Plan(startTime.Add(time.Minute), 1)) != 0 {
					b.Fatal("placed")
				}
			}
		})
	}
}

// BenchmarkSetCell measures the replacement of one cell.
func BenchmarkSetCell(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFleet(workers)
			p := f.planner()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p.SetCell(f.cells[i%len(f.cells)])
			}
		})
	}
}

// BenchmarkIndexMemory reports the memory of the planner itself (index-MiB) and
// of the cells, contracts and jobs that it was given (values-MiB).
func BenchmarkIndexMemory(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFleet(workers)
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := f.planner()
				p.Plan(startTime, 1)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(p)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024/1024, "index-MiB")
			b.ReportMetric(float64(before.HeapAlloc)/1024/1024, "values-MiB")
		})
	}
}
