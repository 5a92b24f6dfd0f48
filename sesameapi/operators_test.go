package sesameapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

func (e *entry) resolve(id sesamemodel.JobID, token string, q ResolveRequest) *httptest.ResponseRecorder {
	e.t.Helper()
	return e.call(http.MethodPost, "/v1/jobs/"+string(id)+"/resolve", token, q)
}

// unknown returns a job whose outcome is not known.
func (e *entry) unknown() sesamemodel.JobID {
	e.t.Helper()
	id := e.submitted(cork, "k1", executorJob("reconcile")).ID
	e.become(id, func(j sesamemodel.Job) sesamemodel.Job {
		now := e.clock.Now()
		return placed(now)(j).WithStart(now).WithEvent(now, sesamemodel.Unknown, "agent executor-1 is gone")
	})
	return id
}

func TestResolve(t *testing.T) {
	notRun := ResolveRequest{
		State: sesamemodel.Failed,
		Note:  "the bank has no payment",
	}
	t.Run("records who, when and whether it ran", func(t *testing.T) {
		e := newEntry(t)
		id := e.unknown()
		w := e.resolve(id, anna, notRun)
		e.is.Equal(answer[JobStatus](e, w).Outcome, NotRun)
		was := e.row(id).Value.Resolution
		e.is.Equal(was.Operator, "anna")
		e.is.True(was.Time.Equal(e.clock.Now()))
	})
	t.Run("is idempotent for one operator and refused to the next", func(t *testing.T) {
		e := newEntry(t)
		id := e.unknown()
		e.is.Equal(e.resolve(id, anna, notRun).Code, http.StatusOK)
		e.is.Equal(e.resolve(id, anna, notRun).Code, http.StatusOK)
		e.refused(e.resolve(id, berta, notRun), JobEnded)
	})
	t.Run("refuses a job whose outcome is known", func(t *testing.T) {
		e := newEntry(t)
		e.refused(e.resolve(e.done([]byte("x")), anna, notRun), JobEnded)
	})
	t.Run("refuses contradictions by field", func(t *testing.T) {
		e := newEntry(t)
		problem := e.refused(e.resolve(e.unknown(), anna, ResolveRequest{
			State: sesamemodel.Done,
		}), Invalid)
		e.is.Equal(fieldsOf(problem), []string{"ran", "note"})
	})
	t.Run("never makes a job of one key run again", func(t *testing.T) {
		e := newEntry(t)
		id := e.unknown()
		e.resolve(id, anna, notRun)
		w := e.submit(cork, "k1", executorJob("reconcile"))
		e.is.Equal(w.Code, http.StatusOK)
		e.is.Equal(answer[JobStatus](e, w).State, sesamemodel.Failed)
	})
}

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
	e := newEntry(t)
	e.is.NoErr(e.store.Update(context.Background(), sesamestore.Batch{
		Cells: []sesamestore.Versioned[sesamemodel.Cell]{
			{
				Value: cell,
			},
		},
	}))
	list := answer[TargetList](e, e.call(http.MethodGet, "/v1/targets", anna, nil))
	e.is.Equal(list.Targets[0].Health, sesamemodel.Quarantined)
	e.is.Equal(list.Targets[0].Keeper, "entry-1")
	released := answer[TargetStatus](e, e.call(http.MethodPost, "/v1/targets/worker-1/release", anna, nil))
	e.is.Equal(released.Health, sesamemodel.Ready)
	e.is.Equal(released.ConsecutiveQuarantines, 0)
	e.refused(e.call(http.MethodPost, "/v1/targets/worker-9/release", anna, nil), NotFound)
}
