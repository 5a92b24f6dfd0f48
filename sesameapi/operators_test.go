package sesameapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

func (e *testEntry) resolve(id sesamemodel.JobID, token string, q ResolveRequest) *httptest.ResponseRecorder {
	e.t.Helper()
	return e.call(http.MethodPost, "/v1/jobs/"+string(id)+"/resolve", token, q)
}

// unknownJob submits a job and moves it to state unknown, as after the loss of its
// agent.
func (e *testEntry) unknownJob() sesamemodel.JobID {
	e.t.Helper()
	id := e.mustSubmit(corkToken, "k1", executorJob("reconcile")).ID
	e.updateJob(id, func(j sesamemodel.Job) sesamemodel.Job {
		now := e.clock.Now()
		return placeOnExecutor(now)(j).WithStart(now).WithEvent(now, sesamemodel.Unknown, "agent executor-1 is gone")
	})
	return id
}

// TestResolve checks who can settle the outcome of a job in state unknown, and
// that a settled job never runs again.
func TestResolve(t *testing.T) {
	notRun := ResolveRequest{
		State: sesamemodel.Failed,
		Note:  "the bank has no payment",
	}
	t.Run("records who, when and whether it ran", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.unknownJob()
		w := e.resolve(id, annaToken, notRun)
		e.is.Equal(decodeAnswer[JobStatus](e, w).Outcome, NotRun)
		was := e.readJob(id).Value.Resolution
		e.is.Equal(was.Operator, "anna")
		e.is.True(was.Time.Equal(e.clock.Now()))
	})
	t.Run("is idempotent for one operator and refused to the next", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.unknownJob()
		e.is.Equal(e.resolve(id, annaToken, notRun).Code, http.StatusOK)
		e.is.Equal(e.resolve(id, annaToken, notRun).Code, http.StatusOK)
		e.requireProblem(e.resolve(id, bertaToken, notRun), JobEnded)
	})
	t.Run("refuses a job whose outcome is known", func(t *testing.T) {
		e := newTestEntry(t)
		e.requireProblem(e.resolve(e.doneJob([]byte("x")), annaToken, notRun), JobEnded)
	})
	t.Run("refuses contradictions by field", func(t *testing.T) {
		e := newTestEntry(t)
		problem := e.requireProblem(e.resolve(e.unknownJob(), annaToken, ResolveRequest{
			State: sesamemodel.Done,
		}), Invalid)
		e.is.Equal(fieldsOf(problem), []string{"ran", "note"})
	})
	t.Run("never makes a job of one key run again", func(t *testing.T) {
		e := newTestEntry(t)
		id := e.unknownJob()
		e.resolve(id, annaToken, notRun)
		w := e.submit(corkToken, "k1", executorJob("reconcile"))
		e.is.Equal(w.Code, http.StatusOK)
		e.is.Equal(decodeAnswer[JobStatus](e, w).State, sesamemodel.Failed)
	})
}

// TestTargets checks that targets are listed with their cell's keeper (the entry
// that receives their heartbeats), and that a release ends a quarantine.
func TestTargets(t *testing.T) {
	cell := sesamemodel.Cell{
		ID:     region + "/zone-a",
		Keeper: "entry-1",
		Targets: []sesamemodel.Target{
			{
				ID:                     "worker-1",
				Health:                 sesamemodel.Quarantined,
				ConsecutiveQuarantines: 3,
			},
		},
	}
	e := newTestEntry(t)
	e.is.NoErr(e.store.Update(context.Background(), sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			{
				Value: cell,
			},
		},
	}))
	list := decodeAnswer[TargetList](e, e.call(http.MethodGet, "/v1/targets", annaToken, nil))
	e.is.Equal(list.Targets[0].Health, sesamemodel.Quarantined)
	e.is.Equal(list.Targets[0].Keeper, "entry-1")
	released := decodeAnswer[TargetStatus](e, e.call(http.MethodPost, "/v1/targets/worker-1/release", annaToken, nil))
	e.is.Equal(released.Health, sesamemodel.Ready)
	e.is.Equal(released.ConsecutiveQuarantines, 0)
	e.requireProblem(e.call(http.MethodPost, "/v1/targets/worker-9/release", annaToken, nil), NotFound)
}
