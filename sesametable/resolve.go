package sesametable

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// resolveOutcome decides the outcome of a write that lost an answer, once a
// later attempt returned err, which is definite (see isDefinite). It returns nil
// when the write took effect, the *ConflictError when it did not, or an
// *OutcomeUnknownError. A conflict alone decides nothing: it may be
// caused by this write's own earlier attempt. So the rows are read back for the
// write's token.
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
	// Versions only grow, so once an expected version is passed, no attempt that
	// is still in flight can take effect. A row that was expected to be absent
	// (version 0) may be deleted and be absent again, so then a late attempt may
	// still take effect.
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

// readBack reads the rows that the write puts and returns the strongest status
// that any of them shows. Each row is retried within a resolution budget of its
// own.
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

// readStatus reads one row and returns the status in its history of the write
// with that token; before is the history that the write expected. For a row that
// doesn't exist it returns statusUnknown.
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
