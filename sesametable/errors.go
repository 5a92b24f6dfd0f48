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
	// After is when a further try makes sense; 0 means not known.
	After time.Duration
	Cause error
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
// or later.
type OutcomeUnknownError struct {
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Cause
}
