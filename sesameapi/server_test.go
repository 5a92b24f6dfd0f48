package sesameapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// TestServerBounds checks that the server refuses headers above its bound and
// allows more time for a response than the longest poll takes.
func TestServerBounds(t *testing.T) {
	e := newTestEntry(t)
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer("", e.handler)
	server.Start()
	t.Cleanup(server.Close)
	r, err := http.NewRequestWithContext(e.testContext(), http.MethodGet, server.URL+"/v1/jobs", nil)
	e.is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+strings.Repeat("x", 2*maxHeaderBytes))
	w, err := http.DefaultClient.Do(r)
	e.is.NoErr(err)
	e.is.NoErr(w.Body.Close())
	e.is.Equal(w.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	e.is.True(server.Config.ReadTimeout > 0 && server.Config.WriteTimeout > defaultMaxWait)
}

func TestUnknownPaths(t *testing.T) {
	e := newTestEntry(t)
	e.requireProblem(e.call(http.MethodGet, "/v2/jobs", corkToken, nil), NotFound)
	e.requireProblem(e.call(http.MethodPut, "/v1/jobs", corkToken, nil), MethodNotAllowed)
	e.is.Equal(e.call(http.MethodGet, "/healthz", "", nil).Code, http.StatusOK)
}

// TestReady checks that an entry is not ready before it has read the contracts,
// nor while its backend is not.
func TestReady(t *testing.T) {
	e := newTestEntry(t)
	e.requireProblem(e.call(http.MethodGet, "/readyz", "", nil), Unavailable)
	e.is.NoErr(e.watch.Poll(e.testContext()))
	e.is.Equal(e.call(http.MethodGet, "/readyz", "", nil).Code, http.StatusOK)
	e.backend.readyErr = &RangeError{}
	e.requireProblem(e.call(http.MethodGet, "/readyz", "", nil), Unavailable)
}

// TestHistogramsByTeam checks that the latency histograms are tagged with the
// team.
func TestHistogramsByTeam(t *testing.T) {
	e := newTestEntry(t)
	scope := tally.NewTestScope("", nil)
	e.handler.metrics = newMetrics(scope)
	id := e.mustSubmit(corkToken, "k1", executorJob("pricing")).ID
	e.mustSubmit(millToken, "k1", executorJob("pricing"))
	e.finishJob(id)
	e.call(http.MethodGet, "/v1/jobs/"+string(id)+"?wait=1s", corkToken, nil)
	histograms := scope.Snapshot().Histograms()
	for _, name := range []string{
		"api.submission_latency+team=cork",
		"api.submission_latency+team=mill",
		"api.wait_to_end+team=cork",
	} {
		_, ok := histograms[name]
		e.is.True(ok)
	}
	e.is.Equal(e.readJob(id).Value.State, sesamemodel.Done)
}
