package sesamerows

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstBackoff is the pause after the first failure of a call in a row, and
	// maxBackoff the longest: every call to the store is paid for, the refused
	// ones too.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
)

// Backoff paces the repetitions of a call that fails.
type Backoff struct {
	exponential *backoff.ExponentialBackOff
}

// NewBackoff returns a pace that starts quickly.
func NewBackoff() *Backoff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = firstBackoff
	exponential.MaxInterval = maxBackoff
	exponential.Reset()
	return &Backoff{
		exponential: exponential,
	}
}

// Wait waits before the next try, longer after each failure in a row.
func (r *Backoff) Wait(ctx context.Context) {
	Sleep(ctx, r.exponential.NextBackOff())
}

// Reset makes the next failure the first in a row.
func (r *Backoff) Reset() {
	r.exponential.Reset()
}

// Sleep reports whether the pause went by before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	pause, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-pause.Done()
	return ctx.Err() == nil
}
