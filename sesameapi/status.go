package sesameapi

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// versionedJob is a job with the version of its row.
type versionedJob = sesamestore.Versioned[sesamemodel.Job]

// job returns the job of that ID if the viewer may see it. A job of another
// team gets the same response as one that does not exist, so that job IDs of
// other teams can't be probed.
func (h *Handler) job(ctx context.Context, id sesamemodel.JobID, viewer viewer) (versionedJob, error) {
	if err := h.checkVisible(id, viewer); err != nil {
		return versionedJob{}, err
	}
	job, err := h.options.Store.Job(ctx, id)
	if err != nil {
		return job, err
	}
	return job, checkOwner(job.Value, viewer)
}

// checkVisible refuses an ID that can't belong to one of the viewer's jobs,
// without reading the store. The problem is NotFound.
func (h *Handler) checkVisible(id sesamemodel.JobID, viewer viewer) error {
	if !sesamestore.ValidJobID(h.options.Region, id) {
		return newProblem(NotFound, "")
	}
	if !viewer.operator && !sesamestore.OwnedBy(id, viewer.team) {
		return newProblem(NotFound, "")
	}
	return nil
}

// checkOwner fails with NotFound unless the viewer may see the job.
func checkOwner(job sesamemodel.Job, viewer viewer) error {
	if viewer.operator || job.Spec.Team == viewer.team {
		return nil
	}
	return newProblem(NotFound, "")
}

// jobID returns the job ID in the request's path.
func jobID(r *http.Request) sesamemodel.JobID {
	return sesamemodel.JobID(chi.URLParam(r, "id"))
}

// status serves GET /v1/jobs/{id}, as a long poll when wait is set.
func (h *Handler) status(w http.ResponseWriter, r *http.Request) error {
	wait, err := h.parseWait(r)
	if err != nil {
		return err
	}
	viewer, err := h.viewer(r)
	if err != nil {
		return err
	}
	job, err := h.await(r, viewer, wait)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, jsonContentType, statusOf(job))
	return nil
}

// parseWait returns the query's wait, 0 if it is missing. It fails with Invalid
// unless wait is a duration from 0 to Options.MaxWait.
func (h *Handler) parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	wait, err := parseDuration(text, h.options.MaxWait)
	if err != nil {
		return 0, invalidProblem([]InvalidField{
			{
				Field:  "wait",
				Detail: fmt.Sprintf("is %q, must be a duration from 0s to %s", text, h.options.MaxWait),
			},
		})
	}
	return wait, nil
}

// await returns the job once it has ended or the wait is over. Without a wait,
// and while the entry drains, it reads the job once.
func (h *Handler) await(r *http.Request, viewer viewer, wait time.Duration) (sesamemodel.Job, error) {
	id := jobID(r)
	if wait == 0 || h.draining() {
		ctx, cancel := context.WithTimeout(r.Context(), h.options.Timeout)
		defer cancel()
		job, err := h.job(ctx, id, viewer)
		return job.Value, err
	}
	if err := h.checkVisible(id, viewer); err != nil {
		return sesamemodel.Job{}, err
	}
	job, err := h.polls.awaitEnd(r.Context(), id, wait)
	if err != nil {
		return sesamemodel.Job{}, err
	}
	if err := checkOwner(job, viewer); err != nil {
		return sesamemodel.Job{}, err
	}
	if job.State.Ended() {
		h.metrics.jobEnded(job)
	}
	return job, nil
}

// list serves GET /v1/jobs.
func (h *Handler) list(w http.ResponseWriter, r *http.Request) error {
	contract, err := h.callerContract(r)
	if err != nil {
		return err
	}
	jobs, err := h.options.Store.TeamJobs(r.Context(), h.options.Region, contract.Team)
	if err != nil {
		return err
	}
	list := JobList{
		Jobs: []JobStatus{},
	}
	for _, job := range jobs {
		if job.Value.Spec.Team == contract.Team {
			list.Jobs = append(list.Jobs, statusOf(job.Value))
		}
	}
	sort.SliceStable(list.Jobs, func(i, k int) bool {
		return list.Jobs[i].Submitted.Before(list.Jobs[k].Submitted)
	})
	writeJSON(w, http.StatusOK, jsonContentType, list)
	return nil
}

// explain serves GET /v1/jobs/{id}/explain.
func (h *Handler) explain(w http.ResponseWriter, r *http.Request) error {
	viewer, err := h.viewer(r)
	if err != nil {
		return err
	}
	job, err := h.job(r.Context(), jobID(r), viewer)
	if err != nil {
		return err
	}
	reason, err := h.reason(r.Context(), job.Value)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, jsonContentType, Explanation{
		Job:     job.Value.ID,
		State:   job.Value.State,
		Outcome: outcomeOf(job.Value),
		Reason:  reason,
		Events:  job.Value.Events,
	})
	return nil
}

// reason says why the job is in its state. For a queued job it asks the
// planner first; for any other, or if the planner doesn't know, it uses the
// job's row.
func (h *Handler) reason(ctx context.Context, job sesamemodel.Job) (string, error) {
	if job.State == sesamemodel.Queued {
		why, err := h.backend.WaitReason(ctx, job.ID)
		if err != nil || why != "" {
			return why, err
		}
	}
	if job.Reason != "" {
		return job.Reason, nil
	}
	return stateReason(job), nil
}

// stateReason describes a job's state when its row gives no reason.
func stateReason(job sesamemodel.Job) string {
	switch job.State {
	case sesamemodel.Queued:
		return "the planner has not considered the job yet"
	case sesamemodel.Placed:
		return fmt.Sprintf("attempt %d is being prepared on %d targets", job.Attempt, len(job.Assignments))
	case sesamemodel.Running:
		return fmt.Sprintf("attempt %d runs on %d targets", job.Attempt, len(job.Assignments))
	case sesamemodel.Stopping:
		return fmt.Sprintf("attempt %d is being stopped, to become %s", job.Attempt, job.Next)
	case sesamemodel.Done:
		return fmt.Sprintf("attempt %d finished with %d results", job.Attempt, len(job.Results))
	}
	return fmt.Sprintf("the job is %s", job.State)
}
