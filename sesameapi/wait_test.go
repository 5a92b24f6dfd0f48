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

// waiters starts long polls and returns their answers once all have ended.
func (e *entry) waiters(n int, id sesamemodel.JobID, wait string) func() []*httptest.ResponseRecorder {
	var group errgroup.Group
	answers := make([]*httptest.ResponseRecorder, n)
	for i := range n {
		r := e.request(http.MethodGet, "/v1/jobs/"+string(id)+"?wait="+wait, cork, nil)
		group.Go(func() error {
			answers[i] = e.do(r)
			return nil
		})
	}
	e.is.NoErr(e.clock.BlockUntilContext(e.budget(), n+1)) // one timer a waiter, one of the reader
	return func() []*httptest.ResponseRecorder {
		e.is.NoErr(group.Wait())
		return answers
	}
}

// pass lets the time pass in small steps, each once that many timers are set.
func (e *entry) pass(d time.Duration, timers int) {
	e.t.Helper()
	const step = 100 * time.Millisecond
	for range d / step {
		e.is.NoErr(e.clock.BlockUntilContext(e.budget(), timers))
		e.clock.Advance(step)
	}
}

func (e *entry) finish(id sesamemodel.JobID) {
	e.become(id, placed(e.clock.Now()))
	e.become(id, func(j sesamemodel.Job) sesamemodel.Job {
		return j.WithStart(e.clock.Now()).WithResults(e.clock.Now(), nil)
	})
}

func TestWait(t *testing.T) {
	t.Run("answers all waiters early on a hint", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		join := e.waiters(5, id, "30s")
		e.finish(id)
		e.handler.Wake([]string{sesamestore.OpenKey(id)})
		for _, w := range join() {
			e.is.Equal(answer[JobStatus](e, w).State, sesamemodel.Done)
		}
		e.is.Equal(len(e.handler.polls.jobs), 0)
	})
	t.Run("answers without a hint within one poll", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		join := e.waiters(1, id, "30s")
		e.finish(id)
		e.pass(firstPoll+200*time.Millisecond, 1)
		e.is.Equal(answer[JobStatus](e, join()[0]).State, sesamemodel.Done)
	})
	t.Run("answers the open job when the wait is over", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		join := e.waiters(1, id, "500ms")
		e.clock.Advance(500 * time.Millisecond)
		e.is.Equal(answer[JobStatus](e, join()[0]).State, sesamemodel.Queued)
	})
	t.Run("answers at once when the entry stops", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		join := e.waiters(3, id, "30s")
		e.handler.Drain()
		for _, w := range join() {
			e.is.Equal(w.Code, http.StatusOK)
		}
		e.refused(e.call(http.MethodGet, "/readyz", "", nil), Unavailable)
	})
	t.Run("never passes an old state off as the present one", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		join := e.waiters(1, id, "2s")
		e.finish(id)
		e.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		e.handler.Wake([]string{sesamestore.OpenKey(id)})
		e.eventually(func() bool {
			return e.table.Counters().Refused > 0
		})
		e.clock.Advance(2 * time.Second)
		e.refused(join()[0], Unavailable)
	})
	t.Run("bounds the waiters", func(t *testing.T) {
		e := newEntry(t)
		e.handler.polls.most = 2
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		join := e.waiters(2, id, "30s")
		e.refused(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"?wait=1s", cork, nil), Overloaded)
		e.handler.Drain()
		join()
	})
	t.Run("refuses a wait out of bounds", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		for _, wait := range []string{"-1s", "2h", "soon"} {
			e.refused(e.call(http.MethodGet, "/v1/jobs/"+string(id)+"?wait="+wait, cork, nil), Invalid)
		}
	})
}

// TestWaitReads shows that the store's reads depend on the awaited jobs and
// the time, and not on the number of waiters.
func TestWaitReads(t *testing.T) {
	for _, n := range []int{1, 10, 100} {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		e.call(http.MethodGet, "/readyz", "", nil)
		before := e.table.Counters().Reads
		join := e.waiters(n, id, "30s")
		e.pass(30*time.Second, n+1)
		join()
		reads := e.table.Counters().Reads - before
		t.Logf("%d waiters: %d reads in 30 s", n, reads)
		e.is.True(reads <= 12) // one at once, then at 1 s to 5 s
	}
}
