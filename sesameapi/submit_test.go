package sesameapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestandin"
)

// TestSubmit checks that a submission creates one job for each team and key.
func TestSubmit(t *testing.T) {
	t.Run("creates a queued job with its payload", func(t *testing.T) {
		e := newTestEntry(t)
		status := e.mustSubmit(corkToken, "k1", executorJob("reconcile"))
		e.is.Equal(status.State, sesamemodel.Queued)
		e.is.True(status.AtMostOnce) // set by the class
		job := e.readJob(status.ID).Value
		e.is.Equal(job.Urgency, sesamemodel.Normal)
		e.is.Equal(e.readPayload(job), "harvest 2031")
		e.is.Equal(e.backend.notified, []JobChange{Submitted})
	})
	t.Run("answers the same job for the same key on any entry", func(t *testing.T) {
		e := newTestEntry(t)
		first := e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		w := e.peer().submit(corkToken, "k1", executorJob("pricing"))
		e.is.Equal(w.Code, http.StatusOK)
		e.is.Equal(decodeAnswer[JobStatus](e, w).ID, first.ID)
	})
	t.Run("answers the same job after it has ended", func(t *testing.T) {
		e := newTestEntry(t)
		first := e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		e.updateJob(first.ID, func(j sesamemodel.Job) sesamemodel.Job {
			return placeOnExecutor(e.clock.Now())(j).WithResults(e.clock.Now(), nil)
		})
		w := e.submit(corkToken, "k1", executorJob("pricing"))
		e.is.Equal(w.Code, http.StatusOK)
		e.is.Equal(decodeAnswer[JobStatus](e, w).Outcome, Ran)
	})
	t.Run("refuses the same key with another body and keeps the first input", func(t *testing.T) {
		e := newTestEntry(t)
		first := e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		other := executorJob("pricing")
		other.Payload = []byte("another harvest")
		e.requireProblem(e.submit(corkToken, "k1", other), KeyConflict)
		e.is.Equal(e.readPayload(e.readJob(first.ID).Value), "harvest 2031")
	})
	t.Run("keeps the keys of teams apart", func(t *testing.T) {
		e := newTestEntry(t)
		first := e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		second := e.mustSubmit(millToken, "k1", executorJob("pricing"))
		e.is.True(first.ID != second.ID)
	})
}

// readPayload returns the stored input of the job.
func (e *testEntry) readPayload(job sesamemodel.Job) string {
	e.t.Helper()
	body, _, err := e.table.GetObject(context.Background(), job.Spec.Payload)
	e.is.NoErr(err)
	defer body.Close()
	text, err := io.ReadAll(body)
	e.is.NoErr(err)
	return string(text)
}

// TestSubmitRefusals checks the problem type for each kind of invalid submission.
func TestSubmitRefusals(t *testing.T) {
	t.Run("token", func(t *testing.T) {
		e := newTestEntry(t)
		e.requireProblem(e.submit("", "k1", executorJob("pricing")), Unauthenticated)
		e.requireProblem(e.submit("nobody", "k1", executorJob("pricing")), Unauthenticated)
		e.requireProblem(e.submit(annaToken, "k1", executorJob("pricing")), Forbidden)
	})
	t.Run("key", func(t *testing.T) {
		e := newTestEntry(t)
		for _, key := range []string{"", "with space", "tab\t", string(make([]byte, maxKeyLength+1))} {
			problem := e.requireProblem(e.submit(corkToken, key, executorJob("pricing")), Invalid)
			e.is.Equal(problem.InvalidFields[0].Field, keyHeader)
		}
	})
	t.Run("fields", func(t *testing.T) {
		e := newTestEntry(t)
		q := executorJob("unknown")
		q.Tasks = MaxTasks + 1
		q.RunTime = "soon"
		problem := e.requireProblem(e.submit(corkToken, "k1", q), Invalid)
		e.is.Equal(fieldsOf(problem), []string{"tasks", "runtime", "class"})
	})
	t.Run("body", func(t *testing.T) {
		e := newTestEntry(t)
		e.requireProblem(e.submit(corkToken, "k1", []byte(`{"class":`)), Malformed)
		e.requireProblem(e.submit(corkToken, "k1", []byte(`{} {}`)), Malformed)
		e.requireProblem(e.submit(corkToken, "k1", []byte(`{"sort":"x"}`)), Invalid)
		e.requireProblem(e.submit(corkToken, "k1", []byte(`{"tasks":"x"}`)), Invalid)
		e.requireProblem(e.submit(corkToken, "k1", bytes.Repeat([]byte(" "), defaultMaxBody+1)), TooLarge)
	})
	t.Run("a job that can never fit", func(t *testing.T) {
		e := newTestEntry(t)
		e.backend.fitsErr = &RangeError{}
		problem := e.requireProblem(e.submit(corkToken, "k1", executorJob("pricing")), NeverFits)
		e.is.Equal(problem.Outcome, Unchanged)
		e.is.Equal(len(e.openJobs(corkToken)), 0)
	})
}

// fieldsOf returns the names of the problem's invalid fields.
func fieldsOf(p Problem) []string {
	var fields []string
	for _, f := range p.InvalidFields {
		fields = append(fields, f.Field)
	}
	return fields
}

// openJobs returns the open jobs of the token's team.
func (e *testEntry) openJobs(token string) []JobStatus {
	e.t.Helper()
	return decodeAnswer[JobList](e, e.call(http.MethodGet, "/v1/jobs", token, nil)).Jobs
}

// TestSubmitUnderFaults checks the outcome of a submission when the store's
// response is lost or the store is down, and that repeating it with the same key
// never creates a second job.
func TestSubmitUnderFaults(t *testing.T) {
	fates := map[string]sesamestandin.WriteFault{
		"answer lost": sesamestandin.AnswerLost,
		"taken later": sesamestandin.AppliedLate,
		"never taken": sesamestandin.WriteDropped,
	}
	for name, fate := range fates {
		t.Run("says that the outcome is unknown: "+name, func(t *testing.T) {
			e := newTestEntry(t)
			e.table.SetFaults(sesamestandin.Faults{
				ApplyDelay: time.Minute,
				OnWrite: func(int) sesamestandin.WriteFault {
					return fate
				},
			})
			problem := e.requireProblem(e.submit(corkToken, "k1", executorJob("reconcile")), OutcomeUnknown)
			e.is.Equal(problem.Outcome, Unsure)
			e.table.SetFaults(sesamestandin.Faults{})
			again := decodeAnswer[JobStatus](e, e.submit(corkToken, "k1", executorJob("reconcile")))
			e.is.Equal(again.ID, problem.Job)
			e.clock.Advance(2 * time.Minute)
			e.is.Equal(len(e.openJobs(corkToken)), 1) // a late write adds no second job
		})
	}
	t.Run("says that nothing was created while the store is down", func(t *testing.T) {
		e := newTestEntry(t)
		e.mustSubmit(corkToken, "k1", executorJob("pricing"))
		e.table.SetFaults(sesamestandin.Faults{
			Down: true,
		})
		problem := e.requireProblem(e.submit(corkToken, "k2", executorJob("pricing")), Unavailable)
		e.is.Equal(problem.Outcome, Unchanged)
		e.table.SetFaults(sesamestandin.Faults{})
		e.is.Equal(len(e.openJobs(corkToken)), 1)
	})
}
