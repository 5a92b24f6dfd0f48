package sesametable

import "github.com/cockroachdb/errors"

// isA reports whether err is or wraps an error of type T.
func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// isDefinite reports whether the result of an attempt is definite: the platform
// answered, so it is neither unavailable nor is the outcome unknown. Nil is
// definite.
func isDefinite(err error) bool {
	return !isA[*UnavailableError](err) && !isA[*OutcomeUnknownError](err)
}
