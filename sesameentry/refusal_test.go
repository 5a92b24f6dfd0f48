package sesameentry

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// addUnreadWorker writes a cell with one worker of that many accelerators. The
// planners have not read the cell, and get no hint of it.
func (w *planningFixture) addUnreadWorker(is *is.I, accelerators int) {
	is.Helper()
	cell := sesamemodel.Cell{
		ID:     "north/late",
		Region: testRegion,
		Zone:   "late",
	}
	cell = cell.WithTarget(sesamemodel.Target{
		ID:          "late",
		Kind:        sesamemodel.Worker,
		Address:     "late:1",
		Incarnation: "i1",
		Health:      sesamemodel.Ready,
		Capacity: sesamemodel.Resources{
			Accelerators: accelerators,
		},
	})
	is.NoErr(w.store.Update(context.Background(), sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			{
				Value: cell,
			},
		},
	}))
}

// TestRefusal checks that the planner reads all rows again before it refuses a
// job: the job is placed if a large enough worker was added since the last
// read, and refused otherwise.
func TestRefusal(t *testing.T) {
	for _, newWorker := range []bool{true, false} {
		is := is.New(t)
		w := newPlanningFixture(is, 1, 1)
		w.sendHint(is, 0, hint{
			Tick: true,
		})
		if newWorker {
			w.addUnreadWorker(is, 16)
		}
		id := w.submit(is, 16)
		w.sendHint(is, 0, hint{
			Jobs: []sesamemodel.JobID{id},
		})
		job, err := w.store.Job(context.Background(), id)
		is.NoErr(err)
		if newWorker {
			is.Equal(job.Value.State, sesamemodel.Placed) // on a worker unknown until then
		} else {
			is.Equal(job.Value.State, sesamemodel.Refused)
		}
	}
}
