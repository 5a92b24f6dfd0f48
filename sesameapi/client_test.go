package sesameapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// losing serves the first request and cuts the connection before the answer.
func losing(h http.Handler) http.Handler {
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

func (e *entry) listen(h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	e.t.Cleanup(server.Close)
	return server
}

// gone is the address of an entry that was there once.
func (e *entry) gone() *httptest.Server {
	server := httptest.NewServer(e.handler)
	server.Close()
	return server
}

func TestClient(t *testing.T) {
	t.Run("tries another entry", func(t *testing.T) {
		e := newEntry(t)
		c := e.client(cork, e.gone(), e.listen(e.handler))
		job, err := c.Submit(e.budget(), "", executorJob("pricing"))
		e.is.NoErr(err)
		e.is.True(job.Created)
		_, err = c.Status(e.budget(), job.ID)
		e.is.NoErr(err)
	})
	t.Run("creates one job though answers are lost", func(t *testing.T) {
		e := newEntry(t)
		c := e.client(cork, e.listen(losing(e.handler)), e.listen(losing(e.peer().handler)))
		job, err := c.Submit(e.budget(), "k1", executorJob("reconcile"))
		e.is.NoErr(err)
		e.is.Equal(job.Created, false)
		e.is.Equal(len(e.open(cork)), 1)
	})
	t.Run("says not run only of a key that it made up itself", func(t *testing.T) {
		e := newEntry(t)
		e.backend.fits = &RangeError{}
		c := e.client(cork, e.listen(e.handler))
		for key, outcome := range map[string]Outcome{"": NotRun, "k1": Unchanged} {
			_, err := c.Submit(e.budget(), key, executorJob("pricing"))
			var problem *ProblemError
			e.is.True(errors.As(err, &problem))
			e.is.Equal(problem.Problem.Outcome, outcome)
		}
	})
	t.Run("never says not run after a try without an answer", func(t *testing.T) {
		e := newEntry(t)
		e.backend.fits = &RangeError{}
		_, err := e.client(cork, e.listen(losing(e.handler))).Submit(e.budget(), "", executorJob("pricing"))
		var problem *ProblemError
		e.is.True(errors.As(err, &problem))
		e.is.Equal(problem.Problem.Outcome, Unsure)
	})
	t.Run("says not run when no entry was reached", func(t *testing.T) {
		e := newEntry(t)
		c := e.client(cork, e.gone(), e.gone())
		c.options.Tries = 2
		_, err := c.Submit(e.budget(), "", executorJob("pricing"))
		var unreachable *UnreachableError
		e.is.True(errors.As(err, &unreachable))
		e.is.Equal(unreachable.Sent, false)
	})
	t.Run("waits on another entry than it submitted to", func(t *testing.T) {
		e := newEntry(t)
		id := e.done([]byte("x"))
		job, err := e.client(cork, e.listen(e.peer().handler)).Wait(e.budget(), id)
		e.is.NoErr(err)
		e.is.Equal(job.State, sesamemodel.Done)
	})
	t.Run("waits an outage out", func(t *testing.T) {
		e := newEntry(t)
		id := e.submitted(cork, "k1", executorJob("pricing")).ID
		calls := 0
		c := e.client(cork, e.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			switch calls {
			case 1:
				r.URL.RawQuery = "" // the job as it is
			case 2:
				e.table.SetFaults(sesamestandin.Faults{
					Down: true,
				})
			case 4:
				e.table.SetFaults(sesamestandin.Faults{})
				e.finish(id)
			}
			e.handler.ServeHTTP(w, r)
		})))
		c.options.Tries = 1
		job, err := c.Wait(e.budget(), id)
		e.is.NoErr(err)
		e.is.Equal(job.State, sesamemodel.Done)
		e.is.Equal(calls, 4)
	})
	t.Run("changes contracts", func(t *testing.T) {
		e := newEntry(t)
		c := e.client(anna, e.listen(losing(e.handler)))
		result, err := c.Apply(e.budget(), changeOf(2, weighing("cork", cork, 5)))
		e.is.NoErr(err)
		e.is.Equal(result.Number, uint64(3))
		_, err = c.Apply(e.budget(), changeOf(2, weighing("cork", cork, 6)))
		e.is.True(isProblem(err, ContractsChanged))
		changes, err := c.History(e.budget(), 0)
		e.is.NoErr(err)
		e.is.Equal(len(changes), 3)
	})
	t.Run("tries again while the store is away", func(t *testing.T) {
		e := newEntry(t)
		e.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		c := e.client(cork, e.listen(e.handler), e.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			e.table.SetFaults(sesamestandin.Faults{})
			e.handler.ServeHTTP(w, r)
		})))
		_, err := c.Submit(e.budget(), "", executorJob("pricing"))
		e.is.NoErr(err)
	})
}
