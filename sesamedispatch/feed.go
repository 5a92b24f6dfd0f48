package sesamedispatch

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// SilentFeedError says that the feed has not answered for longer than
// maxFeedSilence, though the store answers commits.
type SilentFeedError struct {
	// For is the time since the feed's last answer.
	For time.Duration
}

// Error tells the duration of the silence.
func (e *SilentFeedError) Error() string {
	return "the feed has not answered for " + e.For.String()
}

// feedSilence returns for how long the feed has not answered.
func (r *term) feedSilence() time.Duration {
	return r.o.Clock.Steady() - r.feedAnsweredAt
}

// awaitFeed pauses planning while the feed has been silent for longer than
// maxFeedSilence. It first commits, which takes as long as an outage of the store
// lasts. When the feed does not answer within feedRecoveryTime after that, the
// error is a *SilentFeedError; others are those of commit and apply.
func (r *term) awaitFeed(ctx context.Context, batches <-chan sesamerows.Batch) error {
	if r.feedSilence() <= maxFeedSilence {
		return nil
	}
	if _, err := r.commit(ctx, change{}); err != nil {
		return err
	}
	recovery, cancel := context.WithTimeout(ctx, feedRecoveryTime)
	defer cancel()
	select {
	case batch := <-batches:
		_, err := r.applyAll(ctx, batch, batches)
		return err
	case <-recovery.Done():
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &SilentFeedError{
		For: r.feedSilence(),
	}
}
