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

// maxConflictTries is how often a change is tried again after other changes of the
// same rows got in between.
const maxConflictTries = 8

const cancelReason = "cancelled by the caller"

// retryOnConflict runs the change again while it meets a conflict.
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

// cancel answers 200 once the job has ended cancelled and 202 while its
// attempt is being stopped. Whether the work ran is told by the outcome of the
// answer, and later of the job's status.
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

// withCancellation returns the job as a cancellation leaves it, or false when there
// is nothing to change. A queued job has no attempt, so it ends at once; an
// attempt must be stopped first.
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

// checkNotEndedOtherwise fails for a job that checkNotEndedOtherwise in another way than by cancellation.
func checkNotEndedOtherwise(job sesamemodel.Job) error {
	if !job.State.Ended() || job.State == sesamemodel.Cancelled {
		return nil
	}
	problem := newProblem(JobEnded, fmt.Sprintf("the job is %s", job.State))
	return problem.withOutcome(outcomeOf(job), job.ID)
}
