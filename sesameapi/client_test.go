package sesameapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// loseFirstAnswer serves the first request but closes the connection without a
// response; later requests get theirs.
func loseFirstAnswer(h http.Handler) http.Handler {
	lost := false
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lost {
			h.ServeHTTP(w, r)
			return
		}
		lost = true
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// listen starts an HTTP server for the handler.
func (e *testEntry) listen(h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	e.t.Cleanup(server.Close)
	return server
}

// closedServer returns a server that no longer accepts connections.
func (e *testEntry) closedServer() *httptest.Server {
	server := httptest.NewServer(e.handler)
	server.Close()
	return server
}

// TestClient checks the client's retries on other entries, and which outcome it
// reports after lost responses and outages.
func TestClient(t *testing.T) {
	t.Run("tries another entry", func(t *testing.T) {
		e := newTestEntry(t)
		c := e.client(corkToken, e.closedServer(), e.listen(e.handler))
		job, err := c.Submit(e.testContext(), "", executorJob("pricing"))
		e.is.NoErr(err)
		e.is.True(job.Created)
		_, err = c.Status(e.testContext(), job.ID)
		e.is.NoErr(err)
	})
	t.Run("creates one job though answers are lost", func(t *testing.T) {
		e := newTestEntry(t)
		c := e.client(corkToken, e.listen(loseFirstAnswer(e.handler)), e.listen(loseFirstAnswer(e.peer().handler)))
		job, err := c.Submit(e.testContext(), "k1", executorJob("reconcile"))
		e.is.NoErr(err)
		e.is.Equal(job.Created, false)
		e.is.Equal(len(e.openJobs(corkToken)), 1)
	})
	t.Run("says not run only of a key that it made up itself", func(t *testing.T) {
		e := newTestEntry(t)
		e.backend.fitsErr = &RangeError{}
		c := e.client(corkToken, e.listen(e.handler))
		for key, outcome := range map[string]Outcome{"": NotRun, "k1": Unchanged} {
			_, err := c.Submit(e.testContext(), key, executorJob("pricing"))
			var problem *ProblemError
			e.is.True(errors.As(err, &problem))
			e.is.Equal(problem.Problem.Outcome, outcome)
		}
	})
	t.Run("never says not run after a try without an answer", func(t *testing.T) {
		e := newTestEntry(t)
		e.backend.fitsErr = &RangeError{}
		_, err := e.client(corkToken, e.listen(loseFirstAnswer(e.handler))).Submit(e.testContext(), "", executorJob("pricing"))
		var problem *ProblemError
		e.is.True(errors.As(err, &problem))
		e.is.Equal(problem.Problem.Outcome, Unsure)
	})
	t.Run("says not run when no entry was reached", func(t *testing.T) {
		e := newTestEntry(t)
		c := e.client(corkToken, e.closedServer(), e.closedServer())
		c.options.MaxTries = 2
		_, err := c.Submit(e.testContext(), "", executorJob("pricing"))
		var unreachable *UnreachableError
		e.is.True(errors.As(err, &unreachable))
		e.is.Equal(unreachable.MaybeReceived, false)
	})
	t.Run("names the entry that was tried last", func(t *testing.T) {
		e := newTestEntry(t)
		c := e.client(corkToken, e.closedServer(), e.closedServer())
		c.options.MaxTries = 1
		_, err := c.Submit(e.testContext(), "", executorJob("pricing"))
		var unreachable *UnreachableError
		e.is.True(errors.As(err, &unreachable))
		e.is.Equal(unreachable.Address, c.options.Addresses[0])
	})
	t.Run("waits on another entry than it submitted to", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.doneJob([]byte("x"))
		job, err := e.client(corkToken, e.listen(e.peer().handler)).Wait(e.testContext(), id)
		e.is.NoErr(err)
		e.is.Equal(job.State, sesamemodel.Done)
	})
	t.Run("waits an outage out", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
		calls := 0
		c := e.client(corkToken, e.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			switch calls {
			case 1:
				r.URL.RawQuery = "" // no long poll: the first response comes at once
			case 2:
				e.table.SetFaults(sesamestandin.Faults{
					Down: true,
				})
			case 4:
				e.table.SetFaults(sesamestandin.Faults{})
				e.finishJob(id)
			}
			e.handler.ServeHTTP(w, r)
		})))
		c.options.MaxTries = 1
		job, err := c.Wait(e.testContext(), id)
		e.is.NoErr(err)
		e.is.Equal(job.State, sesamemodel.Done)
		e.is.Equal(calls, 4)
	})
	t.Run("changes contracts", func(t *testing.T) {
		e := newTestEntry(t)
		c := e.client(annaToken, e.listen(loseFirstAnswer(e.handler)))
		result, err := c.ApplyContracts(e.testContext(), changeRequest(2, contractWithWeight("cork", corkToken, 5)))
		e.is.NoErr(err)
		e.is.Equal(result.Number, uint64(3))
		_, err = c.ApplyContracts(e.testContext(), changeRequest(2, contractWithWeight("cork", corkToken, 6)))
		e.is.True(isProblem(err, ContractsChanged))
		changes, err := c.ContractHistory(e.testContext(), 0)
		e.is.NoErr(err)
		e.is.Equal(len(changes), 3)
	})
	t.Run("tries again while the store is away", func(t *testing.T) {
		e := newTestEntry(t)
		e.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		c := e.client(corkToken, e.listen(e.handler), e.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.table.SetFaults(sesamestandin.Faults{})
			e.handler.ServeHTTP(w, r)
		})))
		_, err := c.Submit(e.testContext(), "", executorJob("pricing"))
		e.is.NoErr(err)
	})
}
