package sesamedispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
)

const (
	// firstRejectedPause is how long a write that the store has refused as such is
	// left out. It doubles with each refusal in a row up to maxRejectedPause.
	firstRejectedPause = 5 * time.Second
	maxRejectedPause   = time.Minute
)

// rejections tell how often in a row the store has refused a write as such, as when
// it is too large. A repetition is of use only if the write has become another one.
type rejections struct {
	pause time.Duration
	// until is when the write may be tried again, on the steady clock.
	until time.Duration
}

// add counts a refusal at the time now, on the steady clock.
func (r *rejections) add(now time.Duration) {
	r.pause = max(firstRejectedPause, min(2*r.pause, maxRejectedPause))
	r.until = now + r.pause
}

// isInForce reports whether the write is left out at the time now, on the steady
// clock.
func (r rejections) isInForce(now time.Duration) bool {
	return now < r.until
}

// commitParts commits the changes in one transaction; see commit. When the store
// refuses the transaction as such, it commits the changes in smaller ones, so that
// only the refused changes are left out. It then returns true if all others are
// written.
func (r *term) commitParts(ctx context.Context, parts ...change) (bool, error) {
	var merged change
	for _, part := range parts {
		merged = merged.with(part)
	}
	written, err := r.commit(ctx, merged)
	var rejected *sesamerows.RejectedError
	if !errors.As(err, &rejected) {
		return written, err
	}
	if len(parts) == 1 {
		for _, update := range merged.onReject {
			update(err)
		}
		return true, nil
	}
	half := len(parts) / 2
	first, err := r.commitParts(ctx, parts[:half]...)
	if err != nil {
		return false, err
	}
	second, err := r.commitParts(ctx, parts[half:]...)
	return first && second, err
}

// logRejected logs and counts a change that the store has refused as such. kind
// says what it would have written of the subject.
func (r *term) logRejected(kind, subject string, c sesamerows.Change, err error) {
	largest := 0
	for _, w := range c.Writes {
		largest = max(largest, len(w.Value))
	}
	t := sesamerows.Transaction(c)
	r.o.Log.Emit(eventRejected, sesamelog.Fields{
		"kind":    kind,
		"subject": subject,
		"entries": t.Entries(),
		"bytes":   t.Bytes(),
		"largest": largest,
		"error":   err,
	})
	r.o.Scope.Tagged(map[string]string{
		"kind": kind,
	}).Counter("rejected_writes").Inc(1)
}
