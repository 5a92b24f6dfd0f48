package sesameapi

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// cancel cancels a job of team cork and returns its status.
func (e *testEntry) cancel(id sesamemodel.JobID) JobStatus {
	e.t.Helper()
	w := e.call(http.MethodDelete, "/v1/jobs/"+string(id), corkToken, nil)
	e.is.True(w.Code == http.StatusOK || w.Code == http.StatusAccepted)
	return decodeAnswer[JobStatus](e, w)
}

// TestCancel checks the state and outcome after a cancellation in each state of a
// job. The outcome is NotRun only if the work can't have run.
func TestCancel(t *testing.T) {
	t.Run("ends a queued job", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		e.is.Equal(e.cancel(id).Outcome, NotRun)
		e.is.Equal(e.cancel(id).Outcome, NotRun) // again
		e.is.Equal(e.backend.notified, []JobChange{Submitted, Cancelled})
	})
	t.Run("stops a placed job and does not yet say that it did not run", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		e.updateJob(id, placeOnExecutor(e.clock.Now()))
		status := e.cancel(id)
		e.is.Equal(status.State, sesamemodel.Stopping)
		e.is.Equal(status.Outcome, Pending)
		e.is.Equal(e.readJob(id).Value.Next, sesamemodel.Cancelled)
	})
	t.Run("does not say that a preempted job did not run", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		e.updateJob(id, func(j sesamemodel.Job) sesamemodel.Job {
			now := e.clock.Now()
			return placeOnExecutor(now)(j).WithStart(now).WithRequeue(now, "made room")
		})
		e.is.Equal(e.cancel(id).Outcome, Started)
	})
	t.Run("turns a requeue into a cancellation", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		e.updateJob(id, func(j sesamemodel.Job) sesamemodel.Job {
			return placeOnExecutor(e.clock.Now())(j).WithStop(e.clock.Now(), sesamemodel.Queued, "makes room")
		})
		e.cancel(id)
		e.is.Equal(e.readJob(id).Value.Next, sesamemodel.Cancelled)
	})
	t.Run("says how a job ended before", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.doneJob([]byte("x"))
		problem := e.requireProblem(e.call(http.MethodDelete, "/v1/jobs/"+string(id), corkToken, nil), JobEnded)
		e.is.Equal(problem.Outcome, Ran)
	})
}

// interleavedTable is a table that calls otherWriter after each read and before
// each write, to produce races with another writer in one goroutine.
type interleavedTable struct {
	sesametable.Table
	otherWriter func()
}

func (r *interleavedTable) Get(ctx context.Context, key string) (sesametable.Row, error) {
	row, err := r.Table.Get(ctx, key)
	r.otherWriter()
	return row, err
}

func (r *interleavedTable) Commit(ctx context.Context, t sesametable.Transaction) error {
	r.otherWriter()
	return r.Table.Commit(ctx, t)
}

// TestCancelRacesPlacement changes the job's row, as the planner and the targets
// do, between any read and write of a cancellation. If the response says that the
// work did not run, it must not have started and no later step may start it.
func TestCancelRacesPlacement(t *testing.T) {
	e := newTestEntry(t)
	count := 0
	rapid.Check(t, func(rt *rapid.T) {
		count++
		id := e.mustSubmit(corkToken, "race"+time.Duration(count).String(), executorJob("pricing")).ID
		starts := 0
		step := func() {
			if rapid.IntRange(0, 2).Draw(rt, "act") == 0 {
				return
			}
			starts += e.advanceJob(id)
		}
		race := &interleavedTable{
			Table:       e.table,
			otherWriter: step,
		}
		other := *e
		other.store = sesamestore.New(race, e.table)
		other.startHandler()
		w := other.call(http.MethodDelete, "/v1/jobs/"+string(id), corkToken, nil)
		outcome := decodeAnswer[JobStatus](&other, w).Outcome
		for range 4 {
			starts += e.advanceJob(id)
		}
		if outcome == NotRun && starts > 0 {
			rt.Fatalf("the response has outcome %q, but the job started %d times", outcome, starts)
		}
		if final := e.readJob(id).Value; final.NeverRan() && starts > 0 {
			rt.Fatalf("the row says that the job did not run, but it started %d times", starts)
		}
	})
}

// advanceJob moves the job to its next state, as the planner and the targets do,
// and returns the number of starts that this made (0 or 1).
func (e *testEntry) advanceJob(id sesamemodel.JobID) int {
	job := e.readJob(id)
	now := e.clock.Now()
	var next sesamemodel.Job
	starts := 0
	switch job.Value.State {
	case sesamemodel.Queued:
		next = placeOnExecutor(now)(job.Value)
	case sesamemodel.Placed:
		next, starts = job.Value.WithStart(now), 1
	case sesamemodel.Running:
		next = job.Value.WithResults(now, nil)
	case sesamemodel.Stopping:
		next = job.Value.WithEvent(now, job.Value.Next, "stopped")
	default:
		return 0
	}
	err := e.store.Update(context.Background(), sesamestore.Batch{
		Jobs: []versionedJob{
			job.With(next),
		},
	})
	e.is.NoErr(err)
	return starts
}
