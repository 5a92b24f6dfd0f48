package sesameapi

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamestore"
	"github.com/sesamestack/sesamestack/sesametable"
)

// keyHeader is the header by which a repeated submission is recognized, and
// authorizationHeader the one with the access token.
const (
	keyHeader           = "Idempotency-Key"
	authorizationHeader = "Authorization"
)

// submission is one request to create a job.
type submission struct {
	// contract is that of the caller's team.
	contract sesamemodel.Contract
	// id is derived from the team and the Idempotency-Key.
	id sesamemodel.JobID
	// digest is the SHA-256 of the body, in hex.
	digest  string
	request JobRequest
	// class is the class of the contract that the request names.
	class sesamemodel.Class
}

// submit serves POST /v1/jobs. The status is 201 if this request created the job
// and 200 if an earlier one with the same key did.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request) error {
	start := h.options.Clock.Now()
	s, err := h.readSubmission(w, r)
	if err != nil {
		return h.submissionProblem(s, err, Unchanged)
	}
	if err := h.admit(s); err != nil {
		return h.submissionProblem(s, err, Unchanged)
	}
	job, created, err := h.createJob(r, s)
	if err != nil {
		return h.submissionProblem(s, err, writeOutcome(err))
	}
	h.metrics.submissionAccepted(s.contract.Team, h.options.Clock.Since(start))
	w.Header().Set("Location", "/v1/jobs/"+string(job.ID))
	status := http.StatusOK
	if created {
		status = http.StatusCreated
		h.notify(Submitted, job)
	}
	writeJSON(w, status, jsonContentType, statusOf(job))
	return nil
}

// submissionProblem counts a refused submission and returns its error as a
// problem with the outcome and the job's ID.
func (h *Handler) submissionProblem(s submission, err error, outcome Outcome) error {
	problem := asProblem(err)
	if s.contract.Team != "" {
		h.metrics.submissionRefused(s.contract.Team, problem.Problem.Type)
	}
	return problem.withOutcome(outcome, s.id)
}

// reportUnchanged sets the outcome Unchanged on an error that has none, because a
// submission that failed before it was read has created nothing.
func reportUnchanged(e endpoint) endpoint {
	return func(w http.ResponseWriter, r *http.Request) error {
		err := e(w, r)
		if err == nil {
			return nil
		}
		problem := asProblem(err)
		if problem.Problem.Outcome == Pending {
			return problem.withOutcome(Unchanged, "")
		}
		return problem
	}
}

// writeOutcome returns the outcome of a submission for which createJob failed. It
// is Unchanged only for errors that are known to leave no row behind; after any
// other error the job may exist.
func writeOutcome(err error) Outcome {
	var (
		problem     *ProblemError
		unavailable *sesametable.UnavailableError
		conflict    *sesametable.ConflictError
	)
	if errors.As(err, &problem) || errors.As(err, &unavailable) || errors.As(err, &conflict) {
		return Unchanged
	}
	return Unsure
}

// readSubmission authenticates the caller, and reads and validates the request.
// On an error it returns what it has read so far.
func (h *Handler) readSubmission(w http.ResponseWriter, r *http.Request) (submission, error) {
	contract, err := h.callerContract(r)
	if err != nil {
		return submission{}, err
	}
	s := submission{
		contract: contract,
	}
	key := r.Header.Get(keyHeader)
	if !validKey(key) {
		return s, invalidProblem([]InvalidField{
			{
				Field:  keyHeader,
				Detail: fmt.Sprintf("must be a header of 1 to %d visible ASCII characters", maxKeyLength),
			},
		})
	}
	s.id = sesamestore.JobIDFor(h.options.Region, contract.Team, key)
	body, err := h.readBody(w, r, h.options.MaxBody)
	if err != nil {
		return s, err
	}
	s.digest = hex.EncodeToString(body.Sum())
	s.request, err = decodeBody[JobRequest](r.Context(), body)
	if err != nil {
		return s, err
	}
	s.class, err = validateSubmission(s.request, contract)
	return s, err
}

// readBody reads a body of at most limit bytes. It fails with TooLarge, Malformed,
// TimedOut or Overloaded. Meanwhile the request does not count as one in progress,
// so that those whose bodies do not come keep no others out.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*sesameguard.Body, error) {
	h.requests.Add(-1)
	body, err := sesameguard.ReadBody(r.Context(), w, r, limit)
	inProgress := h.requests.Add(1)
	if err != nil {
		return nil, guardProblem(err)
	}
	if inProgress > int64(h.options.MaxRequests) {
		return nil, tooManyRequests()
	}
	return body, nil
}

// decodeBody decodes a body as decode does. It also fails with Overloaded, if too
// many others are being decoded.
func decodeBody[T any](ctx context.Context, body *sesameguard.Body) (T, error) {
	var value T
	err := body.DecodeWith(ctx, func(whole []byte) error {
		var err error
		value, err = decode[T](whole)
		return err
	})
	if sesameguard.Status(err) != 0 {
		return value, guardProblem(err)
	}
	return value, err
}

// validateSubmission returns the class that the request names in the contract, or
// an Invalid problem with all invalid fields.
func validateSubmission(q JobRequest, contract sesamemodel.Contract) (sesamemodel.Class, error) {
	f := invalidFields(q.Validate())
	class, ok := contract.Class(q.Class)
	if !ok && q.Class != "" {
		f.add("class", "is %q, which the contract of team %q does not have", q.Class, contract.Team)
	}
	if len(f) > 0 {
		return class, invalidProblem(f)
	}
	return class, nil
}

// admit refuses a submission because of the entry's load or the team's rate,
// before any call of the store.
func (h *Handler) admit(s submission) error {
	if err := h.shedLoad(s); err != nil {
		return err
	}
	return h.limits.takeToken(s.contract)
}

// createJob writes the job and returns it with true, or returns the job that the
// same key created before with false. It fails with NeverFits, TooManyOpen,
// KeyConflict (see existingJob) or why the job could not be written.
func (h *Handler) createJob(r *http.Request, s submission) (sesamemodel.Job, bool, error) {
	job := h.newJob(s)
	if err := h.backend.CheckFits(job.Spec); err != nil {
		return h.existingJob(r, s, newProblem(NeverFits, err.Error()))
	}
	openJobs, err := h.limits.reserve(r.Context(), s.contract)
	if err != nil {
		return h.existingJob(r, s, err)
	}
	err = h.writeJob(r.Context(), s, job)
	openJobs.release(err == nil)
	var conflict *sesametable.ConflictError
	if errors.As(err, &conflict) {
		return h.existingJob(r, s, err)
	}
	return job, err == nil, err
}

// writeJob stores the payload before the job's row, so that a job always has its
// input.
func (h *Handler) writeJob(ctx context.Context, s submission, job sesamemodel.Job) error {
	if job.Spec.Payload != "" {
		if err := h.options.Store.Objects().PutObject(ctx, job.Spec.Payload, s.request.Payload); err != nil {
			return payloadProblem(err)
		}
	}
	if err := h.options.Store.Submit(ctx, job); err != nil {
		return err
	}
	h.options.Log.Emit(eventSubmitted, sesamelog.Fields{
		"job":   string(job.ID),
		"team":  string(job.Spec.Team),
		"class": job.Spec.Class,
	})
	return nil
}

// payloadProblem returns the problem for a payload whose write failed. Whether or
// not the payload was stored, the job's row was not written, so there is no job.
func payloadProblem(err error) error {
	return newProblem(Unavailable, "the payload could not be stored").withCause(err)
}

// newJob returns the queued job for a submission, not stored yet.
func (h *Handler) newJob(s submission) sesamemodel.Job {
	spec := s.request.spec(s.contract.Team, s.class)
	if len(s.request.Payload) > 0 {
		spec.Payload = sesamestore.PayloadKey(s.id, s.digest)
	}
	now := h.options.Clock.Now()
	job := sesamemodel.Job{
		ID:            s.id,
		Spec:          spec,
		RequestDigest: s.digest,
		Region:        h.options.Region,
		Urgency:       s.class.Urgency,
		Submitted:     now,
	}
	return job.WithEvent(now, sesamemodel.Queued, "")
}

// existingJob returns the job that the submission's key created before. If there
// is none, it fails with the refusal, and if that job had another request body,
// with KeyConflict.
func (h *Handler) existingJob(r *http.Request, s submission, refusal error) (sesamemodel.Job, bool, error) {
	job, err := h.options.Store.Job(r.Context(), s.id)
	var missing *sesametable.NotFoundError
	if errors.As(err, &missing) {
		return sesamemodel.Job{}, false, refusal
	}
	if err != nil {
		return sesamemodel.Job{}, false, err
	}
	if job.Value.RequestDigest != s.digest {
		detail := fmt.Sprintf("job %q was submitted with another request body", s.id)
		return sesamemodel.Job{}, false, newProblem(KeyConflict, detail)
	}
	return job.Value, false, nil
}

// notify tells the planner that the job's row changed. A failure is only logged:
// the row is written, and the planner finds it at its next poll.
func (h *Handler) notify(change JobChange, job sesamemodel.Job) {
	if err := h.backend.Notify(change, job); err != nil {
		h.options.Log.Emit(eventHintLost, sesamelog.Fields{
			"job":   string(job.ID),
			"error": err,
		})
	}
}
