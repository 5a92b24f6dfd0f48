package sesamestandin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// RowFault is the fault of one call to a row store.
type RowFault struct {
	// Refused calls have no effect and are answered with a refusal.
	Refused bool
	// Dropped calls have no effect and get no answer.
	Dropped bool
	// AnswerLost commits are applied CommitDelay after the call, if their
	// conditions still hold then, and get no answer.
	AnswerLost  bool
	CommitDelay time.Duration
	// AnswerDelay is added to the time until the answer.
	AnswerDelay time.Duration
}

// FaultyRows is a row store as one process sees it: it injects faults between
// this process and the wrapped store, which other processes may share.
type FaultyRows struct {
	store sesamerows.Store
	clock clockwork.Clock

	mu sync.Mutex
	// decide returns the fault of the next call, where write is true for a
	// commit; nil means that no call has a fault.
	decide func(write bool) RowFault
}

var _ sesamerows.Store = (*FaultyRows)(nil)

// NewFaultyRows wraps a store, at first without faults.
func NewFaultyRows(store sesamerows.Store, clock clockwork.Clock) *FaultyRows {
	return &FaultyRows{
		store: store,
		clock: clock,
	}
}

// SetFault sets the function that chooses the fault of each later call, where
// write is true for a commit; nil removes all faults.
func (s *FaultyRows) SetFault(decide func(write bool) RowFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = decide
}

// nextFault returns the fault of the next call.
func (s *FaultyRows) nextFault(write bool) RowFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decide == nil {
		return RowFault{}
	}
	return s.decide(write)
}

// answerTimeout is how long a caller waits for an answer that is lost.
const answerTimeout = 1200 * time.Millisecond

// applyFault waits as the fault says and returns a
// *sesamerows.UnavailableError if the call fails. For an AnswerLost commit it
// only waits; Commit returns the error.
func (s *FaultyRows) applyFault(ctx context.Context, fault RowFault, operation string) error {
	wait := fault.AnswerDelay
	if fault.Dropped || fault.AnswerLost {
		wait = answerTimeout
	}
	if wait > 0 {
		select {
		case <-s.clock.After(wait):
		case <-ctx.Done():
		}
	}
	if fault.Refused || fault.Dropped || ctx.Err() != nil {
		return &sesamerows.UnavailableError{
			Operation: operation,
			Cause:     &NoAnswerError{},
		}
	}
	return nil
}

// Read implements sesamerows.Store.
func (s *FaultyRows) Read(ctx context.Context, r sesamerows.Range) (sesamerows.Page, error) {
	if err := s.applyFault(ctx, s.nextFault(false), "read"); err != nil {
		return sesamerows.Page{}, err
	}
	return s.store.Read(ctx, r)
}

// Parts implements sesamerows.Store.
func (s *FaultyRows) Parts(ctx context.Context, table string) ([]string, error) {
	if err := s.applyFault(ctx, s.nextFault(false), "parts"); err != nil {
		return nil, err
	}
	return s.store.Parts(ctx, table)
}

// Changes implements sesamerows.Store.
func (s *FaultyRows) Changes(
	ctx context.Context, table string, after sesamerows.Version, wait time.Duration,
) (sesamerows.Page, error) {
	if err := s.applyFault(ctx, s.nextFault(false), "changes"); err != nil {
		return sesamerows.Page{}, err
	}
	return s.store.Changes(ctx, table, after, wait)
}

// Commit implements sesamerows.Store. When the answer is lost, the error is a
// *sesamerows.UnknownError.
func (s *FaultyRows) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	fault := s.nextFault(true)
	if fault.AnswerLost {
		s.clock.AfterFunc(fault.CommitDelay, func() {
			if _, err := s.store.Commit(context.WithoutCancel(ctx), t); err != nil {
				// Its conditions no longer hold.
				return
			}
		})
	}
	err := s.applyFault(ctx, fault, "commit")
	if fault.AnswerLost || err != nil && fault.Dropped {
		return 0, &sesamerows.UnknownError{
			Operation: "commit",
			Cause:     &NoAnswerError{},
		}
	}
	if err != nil {
		return 0, err
	}
	return s.store.Commit(ctx, t)
}
