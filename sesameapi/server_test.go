package sesameapi

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// TestServerBounds checks that a guarded server refuses headers above its bound,
// and that the answer says that the request has created nothing.
func TestServerBounds(t *testing.T) {
	e := newTestEntry(t)
	guard := sesameguard.New(sesameguard.Options{
		Connections: 10,
		Bytes:       1 << 20,
		Limits:      ServerLimits,
		Refusal:     Refusal,
		Clock:       clockwork.NewRealClock(),
		Log:         sesamelog.Discard(),
		Scope:       tally.NoopScope,
	})
	listener, err := guard.Listen(e.testContext(), "127.0.0.1:0")
	e.is.NoErr(err)
	server := guard.NewServer(e.handler)
	var group errgroup.Group
	group.Go(func() error {
		return server.Serve(listener)
	})
	t.Cleanup(func() {
		e.is.NoErr(server.Close())
		e.is.Equal(group.Wait(), http.ErrServerClosed)
	})
	r, err := http.NewRequestWithContext(e.testContext(), http.MethodGet, "http://"+listener.Addr().String()+"/v1/jobs", nil)
	e.is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+strings.Repeat("x", 2*maxHeaderBytes))
	w, err := http.DefaultClient.Do(r)
	e.is.NoErr(err)
	var problem Problem
	e.is.NoErr(json.NewDecoder(w.Body).Decode(&problem))
	e.is.NoErr(w.Body.Close())
	e.is.Equal(w.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	e.is.Equal(w.Header.Get("Content-Type"), "application/problem+json")
	e.is.Equal(problem.Type, HeadTooLarge)
	e.is.Equal(problem.Outcome, Unchanged)
}

// TestStalledBodies guards against callers that keep others out because the rest
// of their bodies does not come.
func TestStalledBodies(t *testing.T) {
	e := newTestEntry(t)
	e.handler.options.MaxRequests = 1
	server := httptest.NewServer(e.handler)
	t.Cleanup(server.Close)
	stalled, err := net.Dial("tcp", server.Listener.Addr().String())
	e.is.NoErr(err)
	defer stalled.Close()
	_, err = fmt.Fprintf(stalled, "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
		"Idempotency-Key: stalled\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n", corkToken)
	e.is.NoErr(err)
	// The handler reads the body once it asks for it.
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	e.is.NoErr(err)
	e.is.NoErr(response.Body.Close())
	e.is.Equal(response.StatusCode, http.StatusContinue)
	e.mustSubmit(corkToken, "ordinary", executorJob("pricing"))
}

// TestBodyTimeout guards against a request that is in progress for longer than its
// time because its body does not come.
func TestBodyTimeout(t *testing.T) {
	e := newTestEntry(t)
	e.handler.options.Timeout = 100 * time.Millisecond
	server := httptest.NewServer(e.handler)
	t.Cleanup(server.Close)
	stalled, err := net.Dial("tcp", server.Listener.Addr().String())
	e.is.NoErr(err)
	defer stalled.Close()
	e.is.NoErr(stalled.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(stalled, "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
		"Idempotency-Key: stalled\r\nContent-Length: 9\r\n\r\n{", corkToken)
	e.is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	e.is.NoErr(err)
	var problem Problem
	e.is.NoErr(json.NewDecoder(response.Body).Decode(&problem))
	e.is.NoErr(response.Body.Close())
	e.is.Equal(problem.Type, TimedOut)
	e.is.Equal(problem.Outcome, Unchanged)
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
