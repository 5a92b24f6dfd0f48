package sesameapi

import (
	"net/http"
	"testing"
)

// TestForeignJobs checks that the response for a job of another team is the same
// as for a job that does not exist, and takes no read of the store, so that its
// timing doesn't reveal the job either.
func TestForeignJobs(t *testing.T) {
	requests := []struct {
		method string
		rest   string
	}{
		{method: http.MethodGet, rest: ""},
		{method: http.MethodGet, rest: "?wait=1s"},
		{method: http.MethodGet, rest: "/result"},
		{method: http.MethodGet, rest: "/explain"},
		{method: http.MethodDelete, rest: ""},
	}
	for _, q := range requests {
		t.Run(q.method+q.rest, func(t *testing.T) {
			e := newTestEntry(t)
			id := string(e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID)
			reads := e.table.Counters().Reads
			foreign := e.call(q.method, "/v1/jobs/"+id+q.rest, millToken, nil)
			e.requireProblem(foreign, NotFound)
			e.is.Equal(e.table.Counters().Reads, reads) // otherwise the response time would reveal the job
			absent := e.call(q.method, "/v1/jobs/"+region+".0123"+q.rest, millToken, nil)
			e.is.Equal(foreign.Body.String(), absent.Body.String())
			e.is.Equal(e.readJob(e.openJobs(corkToken)[0].ID).Version, uint64(1))
		})
	}
	t.Run("lists own jobs only", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		e.is.Equal(len(e.openJobs(corkToken)), 1)
		e.is.Equal(len(e.openJobs(millToken)), 0)
	})
}

// TestOperatorsApart checks that operators' endpoints refuse teams' tokens, and
// that operators can see a job's state, but not read its result or cancel it.
func TestOperatorsApart(t *testing.T) {
	requests := []struct {
		method string
		path   string
	}{
		{method: http.MethodGet, path: "/v1/contracts"},
		{method: http.MethodPost, path: "/v1/contracts"},
		{method: http.MethodGet, path: "/v1/contracts/history"},
		{method: http.MethodPost, path: "/v1/contracts/rollback"},
		{method: http.MethodGet, path: "/v1/targets"},
		{method: http.MethodPost, path: "/v1/targets/w1/release"},
		{method: http.MethodPost, path: "/v1/jobs/x/resolve"},
	}
	for _, q := range requests {
		t.Run(q.method+" "+q.path, func(t *testing.T) {
			e := newTestEntry(t)
			e.mustSubmit(corkToken, "k1", executorJob("pricing"))
			e.requireProblem(e.call(q.method, q.path, "", nil), Unauthenticated)
			e.requireProblem(e.call(q.method, q.path, "nobody", nil), Unauthenticated)
			e.requireProblem(e.call(q.method, q.path, corkToken, nil), Forbidden)
		})
	}
	t.Run("operators see a job and why, not its result", func(t *testing.T) {
		e := newTestEntry(t)
		path := "/v1/jobs/" + string(e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID)
		e.is.Equal(e.call(http.MethodGet, path, annaToken, nil).Code, http.StatusOK)
		e.is.Equal(e.call(http.MethodGet, path+"/explain", annaToken, nil).Code, http.StatusOK)
		e.requireProblem(e.call(http.MethodGet, path+"/result", annaToken, nil), Forbidden)
		e.requireProblem(e.call(http.MethodDelete, path, annaToken, nil), Forbidden)
	})
}
