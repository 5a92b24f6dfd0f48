package sesameapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// ProblemType names one kind of error; it never changes once published.
type ProblemType string

const problemPrefix = "urn:sesamestack:problem:"

// The problem types. docs/API.md describes each.
const (
	Malformed          ProblemType = problemPrefix + "malformed"
	Invalid            ProblemType = problemPrefix + "invalid"
	Unauthenticated    ProblemType = problemPrefix + "unauthenticated"
	Forbidden          ProblemType = problemPrefix + "forbidden"
	NotFound           ProblemType = problemPrefix + "not-found"
	MethodNotAllowed   ProblemType = problemPrefix + "method-not-allowed"
	KeyConflict        ProblemType = problemPrefix + "key-conflict"
	TooLarge           ProblemType = problemPrefix + "too-large"
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

// Outcome says what is known of the work that a request asked for.
type Outcome string

// The outcomes. Pending is the zero value: the work may still run.
const (
	Pending Outcome = ""
	// NotRun means that the work did not run and never will.
	NotRun Outcome = "not-run"
	// Unchanged means that this request created nothing and never will; a
	// job that an earlier request with the same key created goes on.
	Unchanged Outcome = "unchanged"
	// Unsure means that the work may or may not have run or been accepted.
	// Repeating a submission with the same key is safe.
	Unsure Outcome = "unknown"
	// Ran means that the work ran to its end.
	Ran Outcome = "ran"
	// Started means that the work started and was stopped or failed.
	Started Outcome = "started"
)

// InvalidField is one invalid field of a request.
type InvalidField struct {
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// Problem is an RFC 9457 problem.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Outcome is set when the problem answers a submission.
	Outcome Outcome `json:"outcome,omitempty"`
	// Job is the job that a submission stands for.
	Job           sesamemodel.JobID `json:"job,omitempty"`
	InvalidFields []InvalidField    `json:"faults,omitempty"`
	// Number and Changes show what was accepted since an operator's base.
	Number  uint64               `json:"number,omitempty"`
	Changes []sesamemodel.Change `json:"changes,omitempty"`
	// RetryAfter is when a further try makes sense; 0 means not known.
	RetryAfter time.Duration `json:"-"`
}

// ProblemError is a problem as a Go error, on both sides of the interface.
type ProblemError struct {
	Problem Problem
	// Cause is the failure behind the problem on the entry; never sent.
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

// problemInfo is what all problems of one type share.
type problemInfo struct {
	status     int
	title      string
	retryAfter time.Duration
}

const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

var problemInfos = map[ProblemType]problemInfo{
	Malformed:          {status: http.StatusBadRequest, title: "The request cannot be read"},
	Invalid:            {status: http.StatusUnprocessableEntity, title: "The request is invalid"},
	Unauthenticated:    {status: http.StatusUnauthorized, title: "The access token is missing or unknown"},
	Forbidden:          {status: http.StatusForbidden, title: "The access token does not allow this"},
	NotFound:           {status: http.StatusNotFound, title: "There is no such resource"},
	MethodNotAllowed:   {status: http.StatusMethodNotAllowed, title: "The resource does not have this method"},
	KeyConflict:        {status: http.StatusConflict, title: "The Idempotency-Key was used with another body"},
	TooLarge:           {status: http.StatusRequestEntityTooLarge, title: "The request body is too large"},
	NeverFits:          {status: http.StatusUnprocessableEntity, title: "The job can never run"},
	RateLimited:        {status: http.StatusTooManyRequests, title: "The team submits faster than its contract allows", retryAfter: shortRetryAfter},
	TooManyOpen:        {status: http.StatusTooManyRequests, title: "The team has as many open jobs as its contract allows", retryAfter: longRetryAfter},
	Overloaded:         {status: http.StatusServiceUnavailable, title: "The entry is near its bounds", retryAfter: shortRetryAfter},
	Unavailable:        {status: http.StatusServiceUnavailable, title: "The entry cannot serve now", retryAfter: longRetryAfter},
	OutcomeUnknown:     {status: http.StatusServiceUnavailable, title: "The outcome of the write is unknown", retryAfter: shortRetryAfter},
	Contended:          {status: http.StatusServiceUnavailable, title: "Other changes kept getting in between", retryAfter: shortRetryAfter},
	TimedOut:           {status: http.StatusGatewayTimeout, title: "The request took too long"},
	NotDone:            {status: http.StatusConflict, title: "The job has no result"},
	JobEnded:           {status: http.StatusConflict, title: "The job has ended"},
	ResultDamaged:      {status: http.StatusBadGateway, title: "The stored result differs from the recorded one"},
	ContractsChanged:   {status: http.StatusConflict, title: "Other changes of contracts were accepted"},
	GuaranteesDoNotFit: {status: http.StatusUnprocessableEntity, title: "The guarantees cannot be kept"},
	Internal:           {status: http.StatusInternalServerError, title: "The entry failed"},
}

// newProblem returns an error of that type.
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

func invalidProblem(faults []InvalidField) *ProblemError {
	p := newProblem(Invalid, "")
	p.Problem.InvalidFields = faults
	if len(faults) > 0 {
		p.Problem.Detail = fmt.Sprintf("field %q %s", faults[0].Field, faults[0].Detail)
	}
	return p
}

func (e *ProblemError) withCause(err error) *ProblemError {
	changed := *e
	changed.Cause = err
	return &changed
}

func (e *ProblemError) withOutcome(o Outcome, id sesamemodel.JobID) *ProblemError {
	changed := *e
	changed.Problem.Outcome = o
	changed.Problem.Job = id
	return &changed
}

func (e *ProblemError) withRetry(d time.Duration) *ProblemError {
	changed := *e
	changed.Problem.RetryAfter = d
	return &changed
}

// retrySeconds rounds up, since a caller that comes too early is turned away.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func (p Problem) write(w http.ResponseWriter) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(p.RetryAfter)))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, p.Status, "application/problem+json", p)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
