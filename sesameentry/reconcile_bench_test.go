package sesameentry

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// BenchmarkReconcile measures one reconciliation, which reads all rows of a
// region with one cell and 100 to 10000 open jobs that wait for it. It reports
// the store's reads for each.
func BenchmarkReconcile(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			is := is.New(b)
			w := newPlanningFixture(is, 1, 3)
			for range jobs {
				w.submit(is, 8)
			}
			p := w.planners[0]
			is.NoErr(p.load(context.Background()))
			before := w.table.Counters().Reads
			b.ReportAllocs()
			for b.Loop() {
				is.NoErr(p.load(context.Background()))
			}
			b.ReportMetric(float64(w.table.Counters().Reads-before)/float64(b.N), "reads/op")
		})
	}
}

// TestRowSizes logs the sizes in bytes of job and cell rows as JSON.
func TestRowSizes(t *testing.T) {
	for _, targets := range []int{1, 16, 128} {
		job := sesamemodel.Job{
			ID: "north.27461ccfdb5503af584fe332bd65570f92aaedc65c16684a",
		}
		for i := range targets {
			job.Assignments = append(job.Assignments, sesamemodel.Assignment{
				Target:          sesamemodel.TargetID(fmt.Sprintf("worker-%05d", i)),
				Cell:            testCellID,
				Address:         "10.20.30.40:7100",
				Incarnation:     "1a44bcb5-926d-4e7c-bc5d-60daaf14708a",
				FirstRank:       i * 8,
				Tasks:           8,
				AcceleratorMask: 255,
			})
		}
		t.Logf("job on %d targets: %d bytes", targets, jsonSize(t, job))
	}
	for _, workers := range []int{8, 16, 32} {
		t.Logf("cell of %d workers with 15 tasks each: %d bytes", workers, jsonSize(t, busyCell(workers)))
	}
}

// busyCell returns a cell whose workers run tasksPerWorker attempts each.
func busyCell(workers int) sesamemodel.Cell {
	const tasksPerWorker = 15
	cell := sesamemodel.Cell{
		ID: testCellID,
	}
	for i := range workers {
		id := sesamemodel.TargetID(fmt.Sprintf("worker-%05d", i))
		cell = cell.WithTarget(sesamemodel.Target{
			ID:          id,
			Kind:        sesamemodel.Worker,
			Zone:        "a",
			Rack:        "a17",
			Address:     "10.20.30.40:7100",
			Incarnation: "1a44bcb5-926d-4e7c-bc5d-60daaf14708a",
			Health:      sesamemodel.Ready,
		})
		for range tasksPerWorker {
			cell = cell.WithAllocations(sesamemodel.Allocation{
				Job:     "north.27461ccfdb5503af584fe332bd65570f92aaedc65c16684a",
				Attempt: 1,
				Team:    "team-123",
				Target:  id,
				Tasks:   1,
				Resources: sesamemodel.Resources{
					Cores:  4,
					Memory: 16384,
				},
			})
		}
	}
	return cell
}

// jsonSize returns the length in bytes of the value as JSON.
func jsonSize(t *testing.T, value any) int {
	t.Helper()
	row, err := json.Marshal(value)
	is.New(t).NoErr(err)
	return len(row)
}
