package sesamerows

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstRetry is the pause after the first failure of a call in a row, and
	// maxRetry the longest: every call to the store is paid for, the refused
	// ones too.
	firstRetry = 50 * time.Millisecond
	maxRetry   = 600 * time.Millisecond
)

// Retry paces the repetitions of a call that fails.
type Retry struct {
	waits *backoff.ExponentialBackOff
}

// NewRetry returns a pace that starts quickly.
func NewRetry() *Retry {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstRetry
	waits.MaxInterval = maxRetry
	waits.Reset()
	return &Retry{
		waits: waits,
	}
}

// Failed waits before the next try, longer after each failure in a row.
func (r *Retry) Failed(ctx context.Context) {
	Sleep(ctx, r.waits.NextBackOff())
}

// Succeeded makes the next failure the first in a row.
func (r *Retry) Succeeded() {
	r.waits.Reset()
}

// Sleep reports whether the pause went by before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	pause, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-pause.Done()
	return ctx.Err() == nil
}
