package sesametable

import "github.com/cockroachdb/errors"

func isNotFound(err error) bool {
	var missing *NotFoundError
	return errors.As(err, &missing)
}

func isUnavailable(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable)
}

func isOutcomeUnknown(err error) bool {
	var unknown *OutcomeUnknownError
	return errors.As(err, &unknown)
}

func isBreakerOpen(err error) bool {
	var open *BreakerOpenError
	return errors.As(err, &open)
}

// isDefinite reports whether an attempt was answered.
func isDefinite(err error) bool {
	return !isUnavailable(err) && !isOutcomeUnknown(err)
}
