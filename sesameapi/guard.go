package sesameapi

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameguard"
)

// guardProblem returns the problem for an error of sesameguard. Whatever it says,
// the request was not handled.
func guardProblem(err error) *ProblemError {
	var (
		noRoom   *sesameguard.NoRoomError
		tooLarge *sesameguard.BodyTooLargeError
	)
	switch {
	case errors.As(err, &noRoom):
		return newProblem(Overloaded, noRoom.Error()).withRetry(noRoom.RetryAfter)
	case errors.As(err, &tooLarge):
		return newProblem(TooLarge, tooLarge.Error())
	case errors.HasType(err, (*sesameguard.HeadTooLargeError)(nil)):
		return newProblem(HeadTooLarge, err.Error())
	case errors.HasType(err, (*sesameguard.StalledBodyError)(nil)):
		return newProblem(TimedOut, err.Error())
	default:
		return newProblem(Malformed, "the body could not be read to its end").withCause(err)
	}
}

// Refusal returns the answer to a request that the guard of the handler's server
// refuses before the handler gets it.
func Refusal(err error) (contentType string, body []byte) {
	problem := guardProblem(err).withOutcome(Unchanged, "").Problem
	// A problem can always be encoded.
	body, _ = json.Marshal(problem)
	return problemContentType, body
}
