package sesamestandin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// maxQueueTime is how long a transaction may wait in the queue of a part
// before the platform's store refuses it; PROTOCOL states one second.
const maxQueueTime = time.Second

// SerializedRows is a row store that applies the transactions of one part one
// after another, as the platform's store does.
type SerializedRows struct {
	sesamerows.Store
	clock clockwork.Clock

	mu sync.Mutex
	// commitTime is how long a transaction of one part takes.
	commitTime time.Duration
	// busyUntil is the end of the last queued transaction of each part.
	busyUntil map[string]time.Time
}

// NewSerializedRows wraps a store. Transactions take no time until
// SetCommitTime is called.
func NewSerializedRows(store sesamerows.Store, clock clockwork.Clock) *SerializedRows {
	return &SerializedRows{
		Store:     store,
		clock:     clock,
		busyUntil: map[string]time.Time{},
	}
}

// SetCommitTime sets how long one transaction takes; a transaction over
// several parts takes twice as long.
func (s *SerializedRows) SetCommitTime(commitTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitTime = commitTime
}

// Commit applies the transaction when those queued before it are over. The
// error is a *sesamerows.UnavailableError when the queue is too long, and a
// *sesamerows.UnknownError after answerTimeout or when ctx ends, in which case
// the transaction is applied nevertheless.
func (s *SerializedRows) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	wait, ok := s.enqueue(t)
	if !ok {
		return 0, &sesamerows.UnavailableError{
			Operation: "commit",
			Cause:     &NoAnswerError{},
		}
	}
	if wait <= 0 {
		return s.Store.Commit(ctx, t)
	}
	type outcome struct {
		version sesamerows.Version
		err     error
	}
	done := make(chan outcome, 1)
	s.clock.AfterFunc(wait, func() {
		version, err := s.Store.Commit(context.WithoutCancel(ctx), t)
		done <- outcome{
			version: version,
			err:     err,
		}
	})
	select {
	case o := <-done:
		return o.version, o.err
	case <-s.clock.After(answerTimeout):
	case <-ctx.Done():
	}
	return 0, &sesamerows.UnknownError{
		Operation: "commit",
		Cause:     &NoAnswerError{},
	}
}

// enqueue queues the transaction and returns how long it takes until it is applied.
// It returns false, and queues nothing, when a part's queue is longer than
// maxQueueTime.
func (s *SerializedRows) enqueue(t sesamerows.Transaction) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commitTime == 0 {
		return 0, true
	}
	now := s.clock.Now()
	begin := now
	parts := partsOf(t)
	for part := range parts {
		if s.busyUntil[part].After(begin) {
			begin = s.busyUntil[part]
		}
	}
	if begin.Sub(now) > maxQueueTime {
		return 0, false
	}
	end := begin.Add(s.commitTime)
	if len(parts) > 1 {
		end = end.Add(s.commitTime)
	}
	for part := range parts {
		s.busyUntil[part] = end
	}
	return end.Sub(now), true
}

// partsOf returns the parts of all keys of a transaction.
func partsOf(t sesamerows.Transaction) map[string]bool {
	parts := map[string]bool{}
	for _, e := range t.Expects {
		parts[e.Key.Part] = true
	}
	for _, w := range t.Writes {
		parts[w.Key.Part] = true
	}
	for _, key := range t.Removes {
		parts[key.Part] = true
	}
	return parts
}
