package sesameguard

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// NoRoomError says that a request was refused, and not handled, because
// connections, memory or decoding are in use by others.
type NoRoomError struct {
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Error says that other callers use what the request needs.
func (e *NoRoomError) Error() string {
	return "no room for the request, other callers use it"
}

// StalledBodyError says that a request's body did not arrive within the time
// that the request has.
type StalledBodyError struct {
	// Received is how many bytes of the body have arrived.
	Received int64
}

// Error says how much of the body has arrived.
func (e *StalledBodyError) Error() string {
	return fmt.Sprintf("the body did not arrive in time, %d bytes did", e.Received)
}

// BodyTooLargeError says that a request's body is longer than Limit, in bytes.
type BodyTooLargeError struct {
	Limit int64
}

// Error names the limit.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes", e.Limit)
}

// BodyError says that a body can't be read, or that its chunks are malformed.
type BodyError struct {
	Cause error
}

// Error quotes the cause.
func (e *BodyError) Error() string {
	return "cannot read request body: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error {
	return e.Cause
}

// HeadTooLargeError says that a request's head takes Size bytes or more, where
// Limit are allowed.
type HeadTooLargeError struct {
	Size, Limit int
}

// Error states both sizes.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("request headers take %d bytes, the limit is %d", e.Size, e.Limit)
}

// Status returns the HTTP status for an error of this package, or 0 for another
// error.
func Status(err error) int {
	switch {
	case errors.HasType(err, (*NoRoomError)(nil)):
		return http.StatusServiceUnavailable
	case errors.HasType(err, (*StalledBodyError)(nil)):
		return http.StatusRequestTimeout
	case errors.HasType(err, (*BodyTooLargeError)(nil)):
		return http.StatusRequestEntityTooLarge
	case errors.HasType(err, (*BodyError)(nil)):
		return http.StatusBadRequest
	case errors.HasType(err, (*HeadTooLargeError)(nil)):
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return 0
	}
}
