package sesameintake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// retryAfter is when a caller should come back after a refusal: most trouble of
// the store that one process meets is over for another one by then.
const retryAfter = time.Second

// boundedRetryStore gives up refused commits after a moment, unless an earlier attempt of
// the same transaction may have taken effect.
type boundedRetryStore struct {
	sesamerows.Store
	clock            sesameclock.Clock
	retryUntil       time.Duration
	mayHaveCommitted bool
}

// Commit tries once; see sesamerows.Store.
func (h *boundedRetryStore) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	version, err := h.Store.Commit(ctx, t)
	if errors.HasType(err, (*sesamerows.UnknownError)(nil)) {
		h.mayHaveCommitted = true
	}
	refused := errors.HasType(err, (*sesamerows.UnavailableError)(nil))
	if refused && !h.mayHaveCommitted && h.clock.Steady() > h.retryUntil {
		return 0, &NotReadyError{
			Reason:     err.Error(),
			RetryAfter: retryAfter,
		}
	}
	return version, err
}
