package sesameapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// The region of the tests, the access tokens of two teams (cork and mill) and of
// two operators (anna and berta), and the time after which a hanging test ends.
const (
	region      = "magdalena"
	corkToken   = "cork-token"
	millToken   = "mill-token"
	annaToken   = "anna-token"
	bertaToken  = "berta-token"
	testTimeout = 30 * time.Second
)

// fakeBackend is a Backend whose answers a test sets. It records notifications.
type fakeBackend struct {
	mu            sync.Mutex
	load          float64
	fitsErr       error
	admitErr      error
	readyErr      error
	notified      []JobChange
	admittedCells []sesamemodel.Cell
}

func (b *fakeBackend) Notify(c JobChange, _ sesamemodel.Job) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notified = append(b.notified, c)
	return nil
}

func (b *fakeBackend) WaitReason(context.Context, sesamemodel.JobID) (string, error) {
	return "waits for 2 workers in one rack", nil
}

func (b *fakeBackend) Load() float64 {
	return b.load
}

func (b *fakeBackend) CheckFits(sesamemodel.Spec) error {
	return b.fitsErr
}

func (b *fakeBackend) Admit([]sesamemodel.Contract, []sesamemodel.Cell) ([]sesamemodel.Cell, error) {
	return b.admittedCells, b.admitErr
}

func (b *fakeBackend) Ready() error {
	return b.readyErr
}

// testEntry is a handler with a fake clock, an in-memory store and a fake backend.
// Test entries made by peer share the store.
type testEntry struct {
	t       testing.TB
	is      *is.I
	clock   *clockwork.FakeClock
	table   *sesamestandin.Store
	store   *sesamestore.Store
	watch   *sesamecontract.Watch
	backend *fakeBackend
	handler *Handler
}

// newTestEntry returns an entry with the contracts of the teams cork and mill in
// force; the newest change has number 2.
func newTestEntry(t testing.TB) *testEntry {
	t.Helper()
	clock := clockwork.NewFakeClock()
	table := sesamestandin.NewStore(clock)
	e := &testEntry{
		t:     t,
		is:    is.New(t),
		clock: clock,
		table: table,
		store: sesamestore.New(table, table),
	}
	e.acceptContracts(0, contract("cork", corkToken), contract("mill", millToken))
	e.startHandler()
	return e
}

// startHandler creates the handler, as after a restart of the entry.
func (e *testEntry) startHandler() {
	e.backend = &fakeBackend{}
	e.watch = sesamecontract.NewWatch(e.store, sesamecontract.NewHolder(), sesamecontract.WatchOptions{
		Clock: e.clock,
	})
	e.handler = New(Options{
		Region:    region,
		Store:     e.store,
		Contracts: e.watch,
		Clock:     e.clock,
		Operators: map[string]string{
			"anna":  sesamecontract.Digest(annaToken),
			"berta": sesamecontract.Digest(bertaToken),
		},
	}, e.backend)
}

// peer returns another entry on the same store.
func (e *testEntry) peer() *testEntry {
	other := *e
	other.startHandler()
	return &other
}

// acceptContracts writes contracts to the store as changes after number base.
func (e *testEntry) acceptContracts(base uint64, contracts ...sesamemodel.Contract) {
	e.t.Helper()
	var changes []sesamemodel.Change
	for _, c := range contracts {
		changes = append(changes, sesamemodel.Change{
			Team:     c.Team,
			Operator: "anna",
			Contract: c,
		})
	}
	_, err := e.store.AcceptChanges(context.Background(), base, changes, nil)
	e.is.NoErr(err)
}

// contract returns a contract with one class for each urgency (pricing is urgent,
// reconcile normal and at most once, train batch) and limits that the tests don't
// reach.
func contract(team sesamemodel.TeamID, token string) sesamemodel.Contract {
	return sesamemodel.Contract{
		Team:   team,
		Weight: 1,
		Classes: []sesamemodel.Class{
			{
				Name:    "pricing",
				Urgency: sesamemodel.Urgent,
			},
			{
				Name:       "reconcile",
				Urgency:    sesamemodel.Normal,
				AtMostOnce: true,
			},
			{
				Name:    "train",
				Urgency: sesamemodel.Batch,
			},
		},
		Limits: sesamemodel.Limits{
			OpenJobs: 100,
			Rate:     1000,
			Burst:    1000,
		},
		TokenDigests: []string{sesamecontract.Digest(token)},
	}
}

// executorJob returns a request for one task on an executor.
func executorJob(class string) JobRequest {
	return JobRequest{
		Class: class,
		Kind:  sesamemodel.Executor,
		Tasks: 1,
		Task: sesamemodel.Resources{
			Slots: 1,
		},
		Payload: []byte("harvest 2031"),
	}
}

// newRequest returns a request whose body is the given bytes, or the value as
// JSON.
func (e *testEntry) newRequest(method, path, token string, body any) *http.Request {
	e.t.Helper()
	text, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		text, err = json.Marshal(body)
		e.is.NoErr(err)
	}
	r := httptest.NewRequest(method, path, bytes.NewReader(text))
	r = r.WithContext(e.testContext())
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return r
}

// testContext returns a context that ends after testTimeout, so that a hanging
// call fails the test.
func (e *testEntry) testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	e.t.Cleanup(cancel)
	return ctx
}

// do serves the request in the handler and returns the response.
func (e *testEntry) do(r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return w
}

// call serves a request with that method, path, access token and body.
func (e *testEntry) call(method, path, token string, body any) *httptest.ResponseRecorder {
	e.t.Helper()
	return e.do(e.newRequest(method, path, token, body))
}

// submit sends a submission with that token and Idempotency-Key.
func (e *testEntry) submit(token, key string, body any) *httptest.ResponseRecorder {
	e.t.Helper()
	r := e.newRequest(http.MethodPost, "/v1/jobs", token, body)
	r.Header.Set(keyHeader, key)
	return e.do(r)
}

// mustSubmit submits a job, asserts that it was created and returns it.
func (e *testEntry) mustSubmit(token, key string, q JobRequest) JobStatus {
	e.t.Helper()
	w := e.submit(token, key, q)
	e.is.Equal(w.Code, http.StatusCreated)
	return decodeAnswer[JobStatus](e, w)
}

func decodeAnswer[T any](e *testEntry, w *httptest.ResponseRecorder) T {
	e.t.Helper()
	var value T
	e.is.NoErr(json.Unmarshal(w.Body.Bytes(), &value))
	return value
}

// requireProblem asserts that the response is a problem of that type, with its
// status and a Retry-After where the caller is to retry, and returns it.
func (e *testEntry) requireProblem(w *httptest.ResponseRecorder, t ProblemType) Problem {
	e.t.Helper()
	e.is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
	problem := decodeAnswer[Problem](e, w)
	e.is.Equal(problem.Type, t)
	e.is.Equal(problem.Status, w.Code)
	e.is.Equal(w.Code, problemInfos[t].status)
	if w.Code == http.StatusTooManyRequests || w.Code == http.StatusServiceUnavailable {
		e.is.True(w.Header().Get("Retry-After") != "") // 429 and 503 say when to retry
	}
	return problem
}

// readJob returns the job's row in the store.
func (e *testEntry) readJob(id sesamemodel.JobID) versionedJob {
	e.t.Helper()
	job, err := e.store.Job(context.Background(), id)
	e.is.NoErr(err)
	return job
}

// updateJob replaces the job's row by its changed value.
func (e *testEntry) updateJob(id sesamemodel.JobID, change func(sesamemodel.Job) sesamemodel.Job) {
	e.t.Helper()
	job := e.readJob(id)
	e.is.NoErr(e.store.Update(context.Background(), sesamestore.Batch{
		Jobs: []versionedJob{
			job.With(change(job.Value)),
		},
	}))
}

// placeOnExecutor returns the change that places a job on one executor, as the
// planner does.
func placeOnExecutor(now time.Time) func(sesamemodel.Job) sesamemodel.Job {
	return func(j sesamemodel.Job) sesamemodel.Job {
		return j.WithPlacement(now, []sesamemodel.Assignment{
			{
				Target: "executor-1",
				Tasks:  1,
			},
		}, true)
	}
}

// eventually waits until a condition holds that depends on another goroutine.
func (e *testEntry) eventually(condition func() bool) {
	e.t.Helper()
	ctx := e.testContext()
	for !condition() {
		if ctx.Err() != nil {
			e.t.Fatal("the condition did not hold within testTimeout")
		}
	}
}

// isProblem reports whether the error is a problem of that type.
func isProblem(err error, t ProblemType) bool {
	var problem *ProblemError
	return errors.As(err, &problem) && problem.Problem.Type == t
}
