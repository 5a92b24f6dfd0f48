package sesametable

import (
	"fmt"
	"time"
)

// NotFoundError says that a row or an object does not exist.
type NotFoundError struct {
	// Key is the key of the row or object.
	Key string
}

// Error names the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%q does not exist", e.Key)
}

// ConflictError says that a transaction did not take effect because a row had
// another version than expected.
type ConflictError struct {
	// Key is the key of the row.
	Key string
	// Expected is the version that the transaction named; 0 means absent.
	Expected uint64
	// Found is the version that the row has now; 0 means that it is absent.
	Found uint64
}

// Error names the row, the expected version and the version found.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Found, e.Expected)
}

// UnavailableError says that the platform did not serve a call. A write that
// fails with it certainly did not take effect; the exception is
// Client.PutObject, which returns it also when the outcome is unknown.
type UnavailableError struct {
	// Operation is the name of the call, such as "get" or "commit".
	Operation string
	// RetryAfter is how long to wait before the next attempt; 0 means that it is
	// not known.
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

// OutcomeUnknownError says that a write may have taken effect, or may still
// take effect later. It does not unwrap to its cause: that may be a
// *ConflictError or an *UnavailableError of a single attempt, and callers would
// take those to mean that the write had no effect.
type OutcomeUnknownError struct {
	// Operation is the name of the call, "commit" or "putobject".
	Operation string
	// Cause is the error of the last attempt or of reading a row back.
	Cause error
}

// Error names the operation and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// InvalidError says that a call was malformed and certainly had no effect.
type InvalidError struct {
	// Operation is the name of the call, such as "get" or "commit".
	Operation string
	// Detail is the reason, for operators.
	Detail string
}

// Error names the operation and why it is invalid.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid %s: %s", e.Operation, e.Detail)
}

// BreakerOpenError is the cause of an *UnavailableError when the circuit
// breaker is open and lets no call through.
type BreakerOpenError struct {
	// Service names what the breaker protects.
	Service string
}

// Error names the service.
func (e *BreakerOpenError) Error() string {
	return fmt.Sprintf("circuit breaker of %s is open", e.Service)
}

// ThrottledError is the cause of an *UnavailableError when a rate limit, either
// this process's own or the platform's, rejects the call.
type ThrottledError struct {
	// Limiter names whose limit it is, for messages.
	Limiter string
}

// Error names whose limit was reached.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("rate limit of %s reached", e.Limiter)
}

// StatusError is an HTTP reply with a status that the client doesn't expect.
type StatusError struct {
	// Code is the HTTP status.
	Code int
	// Body is the start of the reply's body, at most maxErrorBody bytes.
	Body string
}

// Error names the status code and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, e.Body)
}

// EnvelopeError says that a row's stored bytes are not an envelope as
// RetryingTable writes it, or that one could not be encoded.
type EnvelopeError struct {
	// Key is the key of the row.
	Key   string
	Cause error
}

// Error names the row and the cause.
func (e *EnvelopeError) Error() string {
	return fmt.Sprintf("row %q has no valid envelope: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *EnvelopeError) Unwrap() error {
	return e.Cause
}
