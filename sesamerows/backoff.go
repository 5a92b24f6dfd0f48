package sesamerows

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstBackoff is the mean pause after the first failure of a call. The
	// mean grows with each further failure in a row up to maxBackoff, since
	// every call to the store costs money, even a refused one.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// maxShortBackoff takes the place of maxBackoff where others wait for the
	// store's return.
	maxShortBackoff = 120 * time.Millisecond
)

// Backoff is an exponential back-off with jitter between the repetitions of a
// failing call. It is not safe for concurrent use.
type Backoff struct {
	exponential *backoff.ExponentialBackOff
}

// NewBackoff returns a back-off whose first pause is about firstBackoff.
func NewBackoff() *Backoff {
	return newBackoff(maxBackoff)
}

// NewShortBackoff returns a back-off whose pauses stay short, for the few calls
// on which callers or running work depend.
func NewShortBackoff() *Backoff {
	return newBackoff(maxShortBackoff)
}

// newBackoff returns a back-off whose mean pauses grow up to longest.
func newBackoff(longest time.Duration) *Backoff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = firstBackoff
	exponential.MaxInterval = longest
	exponential.Reset()
	return &Backoff{
		exponential: exponential,
	}
}

// Wait pauses after a failed call, longer after each failure in a row, but no
// longer than until ctx ends.
func (r *Backoff) Wait(ctx context.Context) {
	Sleep(ctx, r.exponential.NextBackOff())
}

// Reset is called after a successful call: the next pause is short again.
func (r *Backoff) Reset() {
	r.exponential.Reset()
}

// Sleep waits for the duration or until ctx ends, and reports whether the
// duration passed first.
func Sleep(ctx context.Context, d time.Duration) bool {
	pause, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-pause.Done()
	return ctx.Err() == nil
}
