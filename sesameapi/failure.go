package sesameapi

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesametable"
)

// asProblem returns the problem for an error. The caller doesn't see the message
// of an error that isn't a *ProblemError; it is kept as Cause for the log.
func asProblem(err error) *ProblemError {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem
	}
	return problemForCause(err).withCause(err)
}

// problemForCause returns the problem that matches the type of an error; any
// other error is Internal.
func problemForCause(err error) *ProblemError {
	var (
		missing     *sesametable.NotFoundError
		conflict    *sesametable.ConflictError
		unavailable *sesametable.UnavailableError
		unsure      *sesametable.OutcomeUnknownError
		notRead     *sesamecontract.NotReadError
		stale       *sesamecontract.StaleReadError
		tooLarge    *http.MaxBytesError
	)
	switch {
	case errors.As(err, &unsure):
		return newProblem(OutcomeUnknown, "the platform's store did not confirm the write; repeating the request is safe")
	case errors.As(err, &unavailable):
		return unavailableProblem(unavailable)
	case errors.As(err, &missing):
		return newProblem(NotFound, "")
	case errors.As(err, &conflict):
		return newProblem(Contended, "")
	case errors.As(err, &notRead), errors.As(err, &stale):
		return newProblem(Unavailable, "the contracts in force have not been confirmed")
	case errors.As(err, &tooLarge):
		return newProblem(TooLarge, tooLarge.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return newProblem(TimedOut, "")
	}
	return newProblem(Internal, "")
}

// unavailableProblem takes the Retry-After from the store's error if it has one.
func unavailableProblem(err *sesametable.UnavailableError) *ProblemError {
	problem := newProblem(Unavailable, "the platform's store does not answer")
	if err.RetryAfter > 0 {
		return problem.withRetry(err.RetryAfter)
	}
	return problem
}
