package sesamestandin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// RowFault is what becomes of one call to a store of rows.
type RowFault struct {
	// Refused calls have no effect and are answered so.
	Refused bool
	// Dropped calls have no effect and get no answer.
	Dropped bool
	// AnswerLost commits take effect Late after the call, if their conditions still
	// hold then, and get no answer.
	AnswerLost  bool
	CommitDelay time.Duration
	// AnswerDelay is added to the time of an answer.
	AnswerDelay time.Duration
}

// FaultyRows is a store as one process sees it, with faults.
type FaultyRows struct {
	store sesamerows.Store
	clock clockwork.Clock

	mu     sync.Mutex
	decide func(write bool) RowFault
}

var _ sesamerows.Store = (*FaultyRows)(nil)

// NewFaultyRows wraps a store without faults.
func NewFaultyRows(store sesamerows.Store, clock clockwork.Clock) *FaultyRows {
	return &FaultyRows{
		store: store,
		clock: clock,
	}
}

// SetFault decides about the calls from now on; nil serves all.
func (s *FaultyRows) SetFault(fate func(write bool) RowFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = fate
}

func (s *FaultyRows) nextFault(write bool) RowFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decide == nil {
		return RowFault{}
	}
	return s.decide(write)
}

// answerTimeout is how long a caller waits for an answer that doesn't come.
const answerTimeout = 1200 * time.Millisecond

// applyFault lets a call's fate take its time, and returns why it fails.
func (s *FaultyRows) applyFault(ctx context.Context, fate RowFault, operation string) error {
	wait := fate.AnswerDelay
	if fate.Dropped || fate.AnswerLost {
		wait = answerTimeout
	}
	if wait > 0 {
		select {
		case <-s.clock.After(wait):
		case <-ctx.Done():
		}
	}
	if fate.Refused || fate.Dropped || ctx.Err() != nil {
		return &sesamerows.UnavailableError{
			Operation: operation,
			Cause:     &NoAnswerError{},
		}
	}
	return nil
}

// Read returns rows of a range; see sesamerows.Store.
func (s *FaultyRows) Read(ctx context.Context, r sesamerows.Range) (sesamerows.Page, error) {
	if err := s.applyFault(ctx, s.nextFault(false), "read"); err != nil {
		return sesamerows.Page{}, err
	}
	return s.store.Read(ctx, r)
}

// Parts returns the parts of a table; see sesamerows.Store.
func (s *FaultyRows) Parts(ctx context.Context, table string) ([]string, error) {
	if err := s.applyFault(ctx, s.nextFault(false), "parts"); err != nil {
		return nil, err
	}
	return s.store.Parts(ctx, table)
}

// Changes waits for changes; see sesamerows.Store.
func (s *FaultyRows) Changes(
	ctx context.Context, table string, after sesamerows.Version, wait time.Duration,
) (sesamerows.Page, error) {
	if err := s.applyFault(ctx, s.nextFault(false), "changes"); err != nil {
		return sesamerows.Page{}, err
	}
	return s.store.Changes(ctx, table, after, wait)
}

// Commit applies a transaction; see sesamerows.Store.
func (s *FaultyRows) Commit(ctx context.Context, t sesamerows.Transaction) (sesamerows.Version, error) {
	fate := s.nextFault(true)
	if fate.AnswerLost {
		s.clock.AfterFunc(fate.CommitDelay, func() {
			if _, err := s.store.Commit(context.WithoutCancel(ctx), t); err != nil {
				// Its conditions don't hold any more.
				return
			}
		})
	}
	err := s.applyFault(ctx, fate, "commit")
	if fate.AnswerLost || err != nil && fate.Dropped {
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
