package sesameintake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// retryAfter is when a caller should try again after a refusal: most trouble
// that one process has with the store is over for another one by then.
const retryAfter = time.Second

// boundedRetryStore is a Store whose Commit stops the caller's retries after
// retryUntil if the store refuses the transaction. It lets them go on when an
// earlier attempt of the same transaction may have taken effect: the outcome is
// then still open.
type boundedRetryStore struct {
	sesamerows.Store
	clock sesameclock.Clock
	// retryUntil is when retries of a refused transaction end, on clock.
	retryUntil time.Duration
	// mayHaveCommitted is true once the outcome of an attempt was unknown.
	mayHaveCommitted bool
}

// Commit tries once. It returns a *NotReadyError when the transaction was
// refused, can't have taken effect and is out of time, and otherwise the result
// of the underlying store.
func (s *boundedRetryStore) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	version, err := s.Store.Commit(ctx, t)
	if errors.HasType(err, (*sesamerows.UnknownError)(nil)) {
		s.mayHaveCommitted = true
	}
	refused := errors.HasType(err, (*sesamerows.UnavailableError)(nil))
	if refused && !s.mayHaveCommitted && s.clock.Steady() > s.retryUntil {
		return 0, &NotReadyError{
			Reason:     err.Error(),
			RetryAfter: retryAfter,
		}
	}
	return version, err
}
