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

func (e *entry) cancel(id sesamemodel.JobID) JobStatus {
	e.t.Helper()
	w := e.call(http.MethodDelete, "/v1/jobs/"+string(id), cork, nil)
	e.is.True(w.Code == http.StatusOK || w.Code == http.StatusAccepted)
	return answer[JobStatus](e, w)
}

func TestCancel(t *testing.T) {
	t.Run("ends a queued job", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		e.is.Equal(e.cancel(id).Outcome, NotRun)
		e.is.Equal(e.cancel(id).Outcome, NotRun) // again
		e.is.Equal(e.backend.notified, []Change{Submitted, Cancelled})
	})
	t.Run("stops a placed job and does not yet say that it did not run", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		e.become(id, placed(e.clock.Now()))
		status := e.cancel(id)
		e.is.Equal(status.State, sesamemodel.Stopping)
		e.is.Equal(status.Outcome, Pending)
		e.is.Equal(e.row(id).Value.Next, sesamemodel.Cancelled)
	})
	t.Run("does not say that a preempted job did not run", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		e.become(id, func(j sesamemodel.Job) sesamemodel.Job {
			now := e.clock.Now()
			return placed(now)(j).WithStart(now).WithRequeue(now, "made room")
		})
		e.is.Equal(e.cancel(id).Outcome, Started)
	})
	t.Run("turns a requeue into a cancellation", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		e.become(id, func(j sesamemodel.Job) sesamemodel.Job {
			return placed(e.clock.Now())(j).WithStop(e.clock.Now(), sesamemodel.Queued, "makes room")
		})
		e.cancel(id)
		e.is.Equal(e.row(id).Value.Next, sesamemodel.Cancelled)
	})
	t.Run("says how a job ended before", func(t *testing.T) {
		e := newEntry(t)
		id := e.done([]byte("x"))
		problem := e.refused(e.call(http.MethodDelete, "/v1/jobs/"+string(id), cork, nil), JobEnded)
		e.is.Equal(problem.Outcome, Ran)
	})
}

// racing lets another writer act after each of the handler's readings and
// before each of its writes.
type racing struct {
	sesametable.Table
	act func()
}

func (r *racing) Get(ctx context.Context, key string) (sesametable.Row, error) {
	row, err := r.Table.Get(ctx, key)
	r.act()
	return row, err
}

func (r *racing) Commit(ctx context.Context, t sesametable.Transaction) error {
	r.act()
	return r.Table.Commit(ctx, t)
}

// TestCancelRacesPlacement lets a planner and a gang's steps change the job
// between any read and write of a cancellation. When the caller is told that
// the work did not run, no later step may start it.
func TestCancelRacesPlacement(t *testing.T) {
	e := newEntry(t)
	count := 0
	rapid.Check(t, func(rt *rapid.T) {
		count++
		id := e.submitted(cork, "race"+time.Duration(count).String(), executorJob("pricing")).ID
		starts := 0
		step := func() {
			if rapid.IntRange(0, 2).Draw(rt, "act") == 0 {
				return
			}
			starts += e.advance(id)
		}
		race := &racing{
			Table: e.table,
			act:   step,
		}
		other := *e
		other.store = sesamestore.New(race, e.table)
		other.start()
		w := other.call(http.MethodDelete, "/v1/jobs/"+string(id), cork, nil)
		told := answer[JobStatus](&other, w).Outcome
		for range 4 {
			starts += e.advance(id)
		}
		if told == NotRun && starts > 0 {
			rt.Fatalf("told %q, started %d times", told, starts)
		}
		if final := e.row(id).Value; final.NeverRan() && starts > 0 {
			rt.Fatalf("row says that the job did not run, it started %d times", starts)
		}
	})
}

// advance takes the job's next step, as planner and gang do, and returns how
// many starts it made.
func (e *entry) advance(id sesamemodel.JobID) int {
	job := e.row(id)
	now := e.clock.Now()
	var next sesamemodel.Job
	starts := 0
	switch job.Value.State {
	case sesamemodel.Queued:
		next = placed(now)(job.Value)
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
