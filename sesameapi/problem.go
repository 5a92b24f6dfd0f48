package sesameapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// ProblemType is the URN of one kind of error. A published type never changes,
// because callers match on it.
type ProblemType string

// problemPrefix begins the URN of every problem type.
const problemPrefix = "urn:sesamestack:problem:"

// The problem types. docs/API.md describes each; problemInfos has their status
// and title.
const (
	Malformed          ProblemType = problemPrefix + "malformed"
	Invalid            ProblemType = problemPrefix + "invalid"
	Unauthenticated    ProblemType = problemPrefix + "unauthenticated"
	Forbidden          ProblemType = problemPrefix + "forbidden"
	NotFound           ProblemType = problemPrefix + "not-found"
	MethodNotAllowed   ProblemType = problemPrefix + "method-not-allowed"
	KeyConflict        ProblemType = problemPrefix + "key-conflict"
	TooLarge           ProblemType = problemPrefix + "too-large"
	HeadTooLarge       ProblemType = problemPrefix + "head-too-large"
	NeverFits          ProblemType = problemPrefix + "never-fits"
	RateLimited        ProblemType = problemPrefix + "rate-limited"
	TooManyOpen        ProblemType = problemPrefix + "too-many-open"
	Overloaded         ProblemType = problemPrefix + "overloaded"
	Unavailable        ProblemType = problemPrefix + "unavailable"
	OutcomeUnknown     ProblemType = problemPrefix + "outcome-unknown"
	Contended          ProblemType = problemPrefix + "contended"
	TimedOut           ProblemType = problemPrefix + "timed-out"
	NotDone            ProblemType = problemPrefix + "not-done"
	JobEnded           ProblemType = problemPrefix + "job-ended"
	ResultDamaged      ProblemType = problemPrefix + "result-damaged"
	ContractsChanged   ProblemType = problemPrefix + "contracts-changed"
	GuaranteesDoNotFit ProblemType = problemPrefix + "no-room"
	Internal           ProblemType = problemPrefix + "internal"
)

// Outcome says whether the work of a job or submission ran.
type Outcome string

// The outcomes. Pending is the zero value: the work may still run.
const (
	Pending Outcome = ""
	// NotRun means that the work did not run and never will.
	NotRun Outcome = "not-run"
	// Unchanged means that this request created nothing and never will; a
	// job that an earlier request with the same key created goes on.
	Unchanged Outcome = "unchanged"
	// Unsure means that it is unknown whether the work ran or was accepted.
	// Repeating a submission with the same key is safe.
	Unsure Outcome = "unknown"
	// Ran means that the work ran to completion.
	Ran Outcome = "ran"
	// Started means that the work started and was stopped or failed.
	Started Outcome = "started"
)

// InvalidField is one invalid field of a request.
type InvalidField struct {
	// Field is the path of the field, such as changes[0].team, or the name of a
	// header or query parameter.
	Field string `json:"field"`
	// Detail continues a sentence that begins with the field.
	Detail string `json:"detail"`
}

// Problem is the body of an error response, as RFC 9457 defines it.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Outcome is set in response to a submission.
	Outcome Outcome `json:"outcome,omitempty"`
	// Job is the job that the submission's Idempotency-Key identifies.
	Job           sesamemodel.JobID `json:"job,omitempty"`
	InvalidFields []InvalidField    `json:"faults,omitempty"`
	// Number is the newest change of contracts and Changes are those accepted
	// after the base of an operator's request. Set for ContractsChanged.
	Number  uint64               `json:"number,omitempty"`
	Changes []sesamemodel.Change `json:"changes,omitempty"`
	// RetryAfter is how long the caller should wait before it retries; 0 means
	// not known. It is sent as the Retry-After header.
	RetryAfter time.Duration `json:"-"`
}

// ProblemError is a problem as a Go error. The handler returns it for a request
// that it refuses, and the client for a problem in a response.
type ProblemError struct {
	Problem Problem
	// Cause is the entry's error that led to the problem. It is logged, but
	// never sent to the caller.
	Cause error
}

// Error names the title and the detail.
func (e *ProblemError) Error() string {
	if e.Problem.Detail == "" {
		return e.Problem.Title
	}
	return fmt.Sprintf("%s: %s", e.Problem.Title, e.Problem.Detail)
}

// Unwrap returns the cause.
func (e *ProblemError) Unwrap() error {
	return e.Cause
}

// problemInfo is what all problems of one type share: the HTTP status, the title,
// and the Retry-After, which is 0 if none is sent.
type problemInfo struct {
	status     int
	title      string
	retryAfter time.Duration
}

// The Retry-After of problems for which no better value is known.
const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// problemInfos has the status, title and Retry-After of every problem type.
var problemInfos = map[ProblemType]problemInfo{
	Malformed:          {status: http.StatusBadRequest, title: "The request cannot be read"},
	Invalid:            {status: http.StatusUnprocessableEntity, title: "The request is invalid"},
	Unauthenticated:    {status: http.StatusUnauthorized, title: "The access token is missing or unknown"},
	Forbidden:          {status: http.StatusForbidden, title: "The access token does not allow this"},
	NotFound:           {status: http.StatusNotFound, title: "There is no such resource"},
	MethodNotAllowed:   {status: http.StatusMethodNotAllowed, title: "The resource does not have this method"},
	KeyConflict:        {status: http.StatusConflict, title: "The Idempotency-Key was used with another body"},
	TooLarge:           {status: http.StatusRequestEntityTooLarge, title: "The request body is too large"},
	HeadTooLarge:       {status: http.StatusRequestHeaderFieldsTooLarge, title: "The request headers are too large"},
	NeverFits:          {status: http.StatusUnprocessableEntity, title: "The job can never run"},
	RateLimited:        {status: http.StatusTooManyRequests, title: "The team submits faster than its contract allows", retryAfter: shortRetryAfter},
	TooManyOpen:        {status: http.StatusTooManyRequests, title: "The team has as many open jobs as its contract allows", retryAfter: longRetryAfter},
	Overloaded:         {status: http.StatusServiceUnavailable, title: "The entry is near its capacity", retryAfter: shortRetryAfter},
	Unavailable:        {status: http.StatusServiceUnavailable, title: "The entry cannot serve now", retryAfter: longRetryAfter},
	OutcomeUnknown:     {status: http.StatusServiceUnavailable, title: "The outcome of the write is unknown", retryAfter: shortRetryAfter},
	Contended:          {status: http.StatusServiceUnavailable, title: "Concurrent changes of the same data kept conflicting", retryAfter: shortRetryAfter},
	TimedOut:           {status: http.StatusGatewayTimeout, title: "The request took too long"},
	NotDone:            {status: http.StatusConflict, title: "The job has no result"},
	JobEnded:           {status: http.StatusConflict, title: "The job has ended"},
	ResultDamaged:      {status: http.StatusBadGateway, title: "The stored result differs from the recorded one"},
	ContractsChanged:   {status: http.StatusConflict, title: "Other changes of contracts were accepted"},
	GuaranteesDoNotFit: {status: http.StatusUnprocessableEntity, title: "The guarantees cannot be kept"},
	Internal:           {status: http.StatusInternalServerError, title: "The entry failed"},
}

// newProblem returns a problem of that type with the status, title and
// Retry-After of problemInfos.
func newProblem(t ProblemType, detail string) *ProblemError {
	k := problemInfos[t]
	return &ProblemError{
		Problem: Problem{
			Type:       t,
			Title:      k.title,
			Status:     k.status,
			Detail:     detail,
			RetryAfter: k.retryAfter,
		},
	}
}

// invalidProblem returns a problem of type Invalid whose detail describes the
// first invalid field.
func invalidProblem(faults []InvalidField) *ProblemError {
	p := newProblem(Invalid, "")
	p.Problem.InvalidFields = faults
	if len(faults) > 0 {
		p.Problem.Detail = fmt.Sprintf("field %q %s", faults[0].Field, faults[0].Detail)
	}
	return p
}

// withCause returns a copy of the problem with that cause.
func (e *ProblemError) withCause(err error) *ProblemError {
	changed := *e
	changed.Cause = err
	return &changed
}

// withOutcome returns a copy of the problem with that outcome and job.
func (e *ProblemError) withOutcome(o Outcome, id sesamemodel.JobID) *ProblemError {
	changed := *e
	changed.Problem.Outcome = o
	changed.Problem.Job = id
	return &changed
}

// withRetry returns a copy of the problem with that Retry-After.
func (e *ProblemError) withRetry(d time.Duration) *ProblemError {
	changed := *e
	changed.Problem.RetryAfter = d
	return &changed
}

// retrySeconds returns the Retry-After in whole seconds. It rounds up, because a
// caller that retries too early is refused again.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// write sends the problem as the error response.
func (p Problem) write(w http.ResponseWriter) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(p.RetryAfter)))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, p.Status, problemContentType, p)
}

// writeJSON sends a response with the value as its JSON body. An error of the
// write is ignored: the caller is gone.
func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
