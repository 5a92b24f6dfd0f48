package sesameapi

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// startLongPolls starts n long polls for a job. The returned function waits until
// all have ended and returns their responses.
func (e *testEntry) startLongPolls(n int, id sesamemodel.JobID, wait string) func() []*httptest.ResponseRecorder {
	var group errgroup.Group
	answers := make([]*httptest.ResponseRecorder, n)
	for i := range n {
		r := e.newRequest(http.MethodGet, "/v1/jobs/"+string(id)+"?wait="+wait, corkToken, nil)
		group.Go(func() error {
			answers[i] = e.do(r)
			return nil
		})
	}
	e.is.NoErr(e.clock.BlockUntilContext(e.testContext(), n+1)) // one timer per waiter and the reader's interval
	return func() []*httptest.ResponseRecorder {
		e.is.NoErr(group.Wait())
		return answers
	}
}

// advanceInSteps advances the fake clock by d in small steps. Before each step it
// waits until that many timers are set, so that no timer is missed.
func (e *testEntry) advanceInSteps(d time.Duration, timers int) {
	e.t.Helper()
	const step = 100 * time.Millisecond
	for range d / step {
		e.is.NoErr(e.clock.BlockUntilContext(e.testContext(), timers))
		e.clock.Advance(step)
	}
}

// finishJob places, starts and completes the job, without results.
func (e *testEntry) finishJob(id sesamemodel.JobID) {
	e.updateJob(id, placeOnExecutor(e.clock.Now()))
	e.updateJob(id, func(j sesamemodel.Job) sesamemodel.Job {
		return j.WithStart(e.clock.Now()).WithResults(e.clock.Now(), nil)
	})
}

// TestWait checks when long polls end: on a notification, at the next reading, at
// the end of the wait, and when the entry drains.
func TestWait(t *testing.T) {
	t.Run("answers all waiters early on a hint", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		join := e.startLongPolls(5, id, "30s")
		e.finishJob(id)
		e.handler.RowsChanged([]string{sesamestore.OpenKey(id)})
		for _, w := range join() {
			e.is.Equal(decodeAnswer[JobStatus](e, w).State, sesamemodel.Done)
		}
		e.is.Equal(len(e.handler.polls.jobs), 0)
	})
	t.Run("answers without a hint within one poll", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		join := e.startLongPolls(1, id, "30s")
		e.finishJob(id)
		e.advanceInSteps(minPollInterval+200*time.Millisecond, 1)
		e.is.Equal(decodeAnswer[JobStatus](e, join()[0]).State, sesamemodel.Done)
	})
	t.Run("answers the open job when the wait is over", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		join := e.startLongPolls(1, id, "500ms")
		e.clock.Advance(500 * time.Millisecond)
		e.is.Equal(decodeAnswer[JobStatus](e, join()[0]).State, sesamemodel.Queued)
	})
	t.Run("answers at once when the entry stops", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		join := e.startLongPolls(3, id, "30s")
		e.handler.Drain()
		for _, w := range join() {
			e.is.Equal(w.Code, http.StatusOK)
		}
		e.requireProblem(e.call(http.MethodGet, "/readyz", "", nil), Unavailable)
	})
	t.Run("never passes an old state off as the present one", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		join := e.startLongPolls(1, id, "2s")
		e.finishJob(id)
		e.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		e.handler.RowsChanged([]string{sesamestore.OpenKey(id)})
		e.eventually(func() bool {
			return e.table.Counters().Refused > 0
		})
		e.clock.Advance(2 * time.Second)
		e.requireProblem(join()[0], Unavailable)
	})
	t.Run("bounds the waiters", func(t *testing.T) {
		e := newTestEntry(t)
		e.handler.polls.maxWaiters = 2
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		join := e.startLongPolls(2, id, "30s")
		e.requireProblem(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"?wait=1s", corkToken, nil), Overloaded)
		e.handler.Drain()
		join()
	})
	t.Run("refuses a wait out of bounds", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		for _, wait := range []string{"-1s", "2h", "soon"} {
			e.requireProblem(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"?wait="+wait, corkToken, nil), Invalid)
		}
	})
}

// TestWaitReads checks that the reads of the store depend on the number of awaited
// jobs and the time, not on the number of waiters.
func TestWaitReads(t *testing.T) {
	for _, n := range []int{1, 10, 100} {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		e.call(http.MethodGet, "/readyz", "", nil)
		before := e.table.Counters().Reads
		join := e.startLongPolls(n, id, "30s")
		e.advanceInSteps(30*time.Second, n+1)
		join()
		reads := e.table.Counters().Reads - before
		t.Logf("%d waiters: %d reads in 30 s", n, reads)
		e.is.True(reads <= 12) // one at the start, then at intervals growing from 1 s to 5 s
	}
}
