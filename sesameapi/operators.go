package sesameapi

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
)

// ResolveRequest is the body with which an operator settles the outcome of a job
// in state unknown.
type ResolveRequest struct {
	// State is the job's new state, done or failed.
	State sesamemodel.State `json:"state"`
	// Ran is true when the work ran, wholly or in part.
	Ran bool `json:"ran"`
	// Note says how the operator found out; it is stored with the job.
	Note string `json:"note"`
}

// maxNoteLength bounds ResolveRequest.Note.
const maxNoteLength = 1024 // bytes

// Validate returns the invalid fields.
func (q ResolveRequest) Validate() []InvalidField {
	var f invalidFields
	switch q.State {
	case sesamemodel.Done:
		if !q.Ran {
			f.add("ran", "must be true for a job that is done")
		}
	case sesamemodel.Failed:
	default:
		f.add("state", "is %q, must be done or failed", q.State)
	}
	if q.Note == "" || len(q.Note) > maxNoteLength {
		f.add("note", "must have 1 to %d bytes", maxNoteLength)
	}
	return f
}

// resolve serves POST /v1/jobs/{id}/resolve.
func (h *Handler) resolve(w http.ResponseWriter, r *http.Request) error {
	name, err := h.operator(r)
	if err != nil {
		return err
	}
	request, err := readValidated[ResolveRequest](h, w, r)
	if err != nil {
		return err
	}
	var job sesamemodel.Job
	err = retryOnConflict(func() error {
		var err error
		job, err = h.resolveOnce(r.Context(), jobID(r), name, request)
		return err
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, jsonContentType, statusOf(job))
	return nil
}

// resolveOnce writes the operator's outcome to the job's row, unless the same
// operator wrote the same outcome before. It fails with JobEnded for a job whose
// state isn't unknown and with a *sesametable.ConflictError when the row changed
// meanwhile.
func (h *Handler) resolveOnce(ctx context.Context, id sesamemodel.JobID, name string, q ResolveRequest) (sesamemodel.Job, error) {
	job, err := h.job(ctx, id, viewer{
		operator: true,
	})
	if err != nil {
		return sesamemodel.Job{}, err
	}
	if alreadyResolved(job.Value, name, q) {
		return job.Value, nil
	}
	if job.Value.State != sesamemodel.Unknown {
		return sesamemodel.Job{}, newProblem(JobEnded, fmt.Sprintf("the job is %s, only an unknown outcome can be resolved", job.Value.State))
	}
	resolved := job.Value.WithResolution(q.State, sesamemodel.Resolution{
		Operator: name,
		Time:     h.options.Clock.Now(),
		Ran:      q.Ran,
		Note:     q.Note,
	})
	if err := h.options.Store.Resolve(ctx, job.With(resolved)); err != nil {
		return sesamemodel.Job{}, err
	}
	h.notify(Resolved, resolved)
	h.options.Log.Emit(eventResolved, sesamelog.Fields{
		"job":      string(id),
		"operator": name,
		"state":    string(q.State),
		"ran":      q.Ran,
	})
	return resolved, nil
}

// alreadyResolved reports whether the same operator has resolved the job in the
// same way before. This makes a retry idempotent after a lost response.
func alreadyResolved(job sesamemodel.Job, name string, q ResolveRequest) bool {
	resolution := job.Resolution
	return job.State == q.State && resolution.Operator == name && resolution.Ran == q.Ran && resolution.Note == q.Note
}

// validator is a request body that can list its invalid fields.
type validator interface {
	Validate() []InvalidField
}

// maxOperatorBody, in bytes, is enough for the contracts of a few thousand teams.
const maxOperatorBody = 4 << 20

// readValidated reads and decodes an operator's request body, and fails with an
// Invalid problem that lists its invalid fields.
func readValidated[T validator](h *Handler, w http.ResponseWriter, r *http.Request) (T, error) {
	var value T
	body, err := h.readBody(w, r, maxOperatorBody)
	if err != nil {
		return value, err
	}
	value, err = decodeBody[T](r.Context(), body)
	if err != nil {
		return value, err
	}
	if f := value.Validate(); len(f) > 0 {
		return value, invalidProblem(f)
	}
	return value, nil
}

// TargetStatus is a target with the cell that it belongs to and that cell's
// keeper.
type TargetStatus struct {
	sesamemodel.Target
	Cell   sesamemodel.CellID `json:"cell"`
	Keeper string             `json:"keeper"`
	// Allocated is the sum of what the attempts on the target have reserved.
	Allocated sesamemodel.Resources `json:"used"`
}

// TargetList is the response to a request for all targets (workers and
// executors) of the region.
type TargetList struct {
	Targets []TargetStatus `json:"targets"`
}

// targets serves GET /v1/targets.
func (h *Handler) targets(w http.ResponseWriter, r *http.Request) error {
	if _, err := h.operator(r); err != nil {
		return err
	}
	cells, err := h.options.Store.Cells(r.Context(), h.options.Region)
	if err != nil {
		return err
	}
	list := TargetList{
		Targets: []TargetStatus{},
	}
	for _, cell := range cells {
		for _, target := range cell.Value.Targets {
			list.Targets = append(list.Targets, targetStatus(cell.Value, target))
		}
	}
	writeJSON(w, http.StatusOK, jsonContentType, list)
	return nil
}

// targetStatus returns the target with the sum of its allocations in the cell.
func targetStatus(cell sesamemodel.Cell, target sesamemodel.Target) TargetStatus {
	var used sesamemodel.Resources
	for _, a := range cell.Allocations {
		if a.Target == target.ID {
			used = used.Plus(a.Resources)
		}
	}
	return TargetStatus{
		Target:    target,
		Cell:      cell.ID,
		Keeper:    cell.Keeper,
		Allocated: used,
	}
}

// release serves POST /v1/targets/{id}/release, which ends a quarantine.
func (h *Handler) release(w http.ResponseWriter, r *http.Request) error {
	name, err := h.operator(r)
	if err != nil {
		return err
	}
	id := sesamemodel.TargetID(chi.URLParam(r, "id"))
	var released TargetStatus
	err = retryOnConflict(func() error {
		var err error
		released, err = h.releaseOnce(r.Context(), id)
		return err
	})
	if err != nil {
		return err
	}
	h.options.Log.Emit(eventTargetReleased, sesamelog.Fields{
		"target":   string(id),
		"operator": name,
	})
	writeJSON(w, http.StatusOK, jsonContentType, released)
	return nil
}

// releaseOnce makes a quarantined target ready and resets its failure counters.
// A target in another state is left unchanged. It fails with a
// *sesametable.ConflictError when the cell's row changed meanwhile.
func (h *Handler) releaseOnce(ctx context.Context, id sesamemodel.TargetID) (TargetStatus, error) {
	cells, err := h.options.Store.Cells(ctx, h.options.Region)
	if err != nil {
		return TargetStatus{}, err
	}
	for _, cell := range cells {
		target, ok := cell.Value.Target(id)
		if !ok {
			continue
		}
		if target.Health != sesamemodel.Quarantined {
			return targetStatus(cell.Value, target), nil
		}
		target.Health = sesamemodel.Ready
		target.ConsecutiveQuarantines = 0
		target.SuspectFailures = 0
		changed := cell.Value.WithTarget(target)
		return targetStatus(changed, target), h.options.Store.Update(ctx, sesamestore.Batch{
			Cells: []sesamestore.Versioned[sesamemodel.Cell]{
				cell.With(changed),
			},
		})
	}
	return TargetStatus{}, newProblem(NotFound, fmt.Sprintf("there is no target %q", id))
}
