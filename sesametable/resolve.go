package sesametable

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// resolveOutcome decides about a write that lost an answer, once a later attempt got
// a definite one.
func (r *RetryingTable) resolveOutcome(ctx context.Context, w encodedWrite, err error) error {
	if err == nil {
		r.emit(eventOutcomeResolved, w, nil)
		return nil
	}
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return r.giveUp(w, true, err)
	}
	found, readErr := r.readBack(ctx, w)
	if readErr != nil {
		return r.giveUp(w, true, readErr)
	}
	// A version once passed never returns, so no attempt that is still
	// under way can take effect. An absent row may be absent again.
	final := conflict.Expected > 0
	switch {
	case found == statusApplied:
		r.emit(eventOutcomeResolved, w, nil)
		return nil
	case found == statusSuperseded, found == statusNotApplied && final:
		r.emit(eventOutcomeResolved, w, conflict)
		return conflict
	default:
		return r.giveUp(w, true, conflict)
	}
}

// readBack returns the strongest standing that any row of the write shows.
func (r *RetryingTable) readBack(ctx context.Context, w encodedWrite) (writeStatus, error) {
	strongest := statusUnknown
	for key, before := range w.histories {
		found, err := r.readStatus(ctx, key, w.token, before)
		if err != nil {
			return statusUnknown, err
		}
		strongest = max(strongest, found)
		if found == statusApplied {
			return statusApplied, nil
		}
	}
	return strongest, nil
}

func (r *RetryingTable) readStatus(ctx context.Context, key string, token uuid.UUID, before writeHistory) (writeStatus, error) {
	var row Row
	err := r.retry(ctx, r.resolutionBudget(), func() error {
		var err error
		row, err = r.raw.Get(ctx, key)
		return err
	})
	if isA[*NotFoundError](err) {
		return statusUnknown, nil
	}
	if err != nil {
		return statusUnknown, err
	}
	_, h, err := decodeEnvelope(row)
	if err != nil {
		return statusUnknown, err
	}
	return h.statusOf(token, before.newestToken()), nil
}
