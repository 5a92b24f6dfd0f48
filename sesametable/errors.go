package sesametable

import (
	"fmt"
	"time"
)

// NotFoundError says that a row or an object does not exist.
type NotFoundError struct {
	Key string
}

// Error names the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%q does not exist", e.Key)
}

// ConflictError says that a transaction did not take effect because a row had
// another version than expected.
type ConflictError struct {
	Key      string
	Expected uint64
	Found    uint64
}

// Error names the row and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Found, e.Expected)
}

// UnavailableError says that the platform did not serve a call, and that a
// write certainly did not take effect.
type UnavailableError struct {
	Operation string
	// RetryAfter is when a further try makes sense; 0 means not known.
	RetryAfter time.Duration
	Cause      error
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable for %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// OutcomeUnknownError says that a write may or may not have taken effect, now
// or later. It does not unwrap to its cause: that may be a *ConflictError or
// an *UnavailableError of one attempt, which say that there was no effect.
type OutcomeUnknownError struct {
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// InvalidError says that a call was malformed and certainly had no effect.
type InvalidError struct {
	Operation string
	Detail    string
}

// Error names the operation and what is wrong.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid %s: %s", e.Operation, e.Detail)
}

// BreakerOpenError is the cause of an *UnavailableError while the circuit
// breaker lets no call through.
type BreakerOpenError struct {
	Service string
}

// Error names the service.
func (e *BreakerOpenError) Error() string {
	return fmt.Sprintf("circuit breaker of %s is open", e.Service)
}

// ThrottledError is the cause of an *UnavailableError when a rate limit, of
// this process or of the platform, holds the call back.
type ThrottledError struct {
	Limiter string
}

// Error names who limits.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("rate limit of %s reached", e.Limiter)
}

// StatusError is an HTTP answer that the client did not expect.
type StatusError struct {
	Code int
	Body string
}

// Error names the code and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, e.Body)
}

// EnvelopeError says that a row does not hold what this client writes.
type EnvelopeError struct {
	Key   string
	Cause error
}

// Error names the row and the cause.
func (e *EnvelopeError) Error() string {
	return fmt.Sprintf("row %q holds no envelope: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *EnvelopeError) Unwrap() error {
	return e.Cause
}
