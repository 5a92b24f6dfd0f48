package sesametable

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// settle decides about a write that lost an answer, once a later attempt got
// a definite one.
func (r *Retrying) settle(ctx context.Context, w write, err error) error {
	if err == nil {
		r.emit(eventResolved, w, nil)
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
	over := conflict.Expected > 0
	switch {
	case found == applied:
		r.emit(eventResolved, w, nil)
		return nil
	case found == superseded, found == absent && over:
		r.emit(eventResolved, w, conflict)
		return conflict
	default:
		return r.giveUp(w, true, conflict)
	}
}

// readBack returns the strongest standing that any row of the write shows.
func (r *Retrying) readBack(ctx context.Context, w write) (standing, error) {
	strongest := unclear
	for key, before := range w.histories {
		found, err := r.standing(ctx, key, w.token, before)
		if err != nil {
			return unclear, err
		}
		strongest = max(strongest, found)
		if found == applied {
			return applied, nil
		}
	}
	return strongest, nil
}

func (r *Retrying) standing(ctx context.Context, key string, token uuid.UUID, before history) (standing, error) {
	var row Row
	err := r.repeat(ctx, r.persistent(), func() error {
		var err error
		row, err = r.raw.Get(ctx, key)
		return err
	})
	if isA[*NotFoundError](err) {
		return unclear, nil
	}
	if err != nil {
		return unclear, err
	}
	_, h, err := open(row)
	if err != nil {
		return unclear, err
	}
	return h.standingOf(token, before.newest()), nil
}
