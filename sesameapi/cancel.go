package sesameapi

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// maxConflictTries is how often a change is tried when other changes of the same
// rows keep conflicting with it.
const maxConflictTries = 8

// cancelReason is the reason that a cancelled job's row gives.
const cancelReason = "cancelled by the caller"

// retryOnConflict runs the change, and runs it again while it fails with a
// *sesametable.ConflictError. After maxConflictTries it fails with a Contended
// problem.
func retryOnConflict(change func() error) error {
	var err error
	for range maxConflictTries {
		err = change()
		var conflict *sesametable.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return newProblem(Contended, "").withCause(err)
}

// cancel serves DELETE /v1/jobs/{id}. The status is 200 if the job has ended as
// cancelled and 202 while its attempt is still being stopped. The outcome in
// this response, or later in the job's status, says whether the work ran.
func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) error {
	viewer, err := h.teamViewer(r)
	if err != nil {
		return err
	}
	var job sesamemodel.Job
	err = retryOnConflict(func() error {
		var err error
		job, err = h.cancelOnce(r.Context(), jobID(r), viewer)
		return err
	})
	if err != nil {
		return err
	}
	status := http.StatusAccepted
	if job.State.Ended() {
		status = http.StatusOK
	}
	writeJSON(w, status, jsonContentType, statusOf(job))
	return nil
}

// cancelOnce writes the cancellation to the job's row and returns the job; one that
// is already cancelled or being cancelled is returned unchanged. It fails with
// JobEnded if the job ended in another way, and with a *sesametable.ConflictError
// if the row changed meanwhile.
func (h *Handler) cancelOnce(ctx context.Context, id sesamemodel.JobID, viewer viewer) (sesamemodel.Job, error) {
	job, err := h.job(ctx, id, viewer)
	if err != nil {
		return sesamemodel.Job{}, err
	}
	changed, ok := h.withCancellation(job.Value)
	if !ok {
		return job.Value, checkNotEndedOtherwise(job.Value)
	}
	err = h.options.Store.Update(ctx, sesamestore.Batch{
		Jobs: []versionedJob{
			job.With(changed),
		},
	})
	if err != nil {
		return sesamemodel.Job{}, err
	}
	h.notify(Cancelled, changed)
	h.options.Log.Emit(eventCancelled, sesamelog.Fields{
		"job":   string(id),
		"state": string(changed.State),
	})
	return changed, nil
}

// withCancellation returns the job as it is after a cancellation, or false when
// there is nothing to change. A queued job has no attempt (placement on
// targets), so it ends at once; otherwise the attempt must be stopped first.
func (h *Handler) withCancellation(job sesamemodel.Job) (sesamemodel.Job, bool) {
	now := h.options.Clock.Now()
	switch job.State {
	case sesamemodel.Queued:
		return job.WithEvent(now, sesamemodel.Cancelled, cancelReason), true
	case sesamemodel.Placed, sesamemodel.Running:
		return job.WithStop(now, sesamemodel.Cancelled, cancelReason), true
	case sesamemodel.Stopping:
		if job.Next == sesamemodel.Queued {
			return job.WithStop(now, sesamemodel.Cancelled, cancelReason), true
		}
	}
	return job, false
}

// checkNotEndedOtherwise fails with JobEnded if the job ended, unless it ended as
// cancelled.
func checkNotEndedOtherwise(job sesamemodel.Job) error {
	if !job.State.Ended() || job.State == sesamemodel.Cancelled {
		return nil
	}
	problem := newProblem(JobEnded, fmt.Sprintf("the job is %s", job.State))
	return problem.withOutcome(outcomeOf(job), job.ID)
}
