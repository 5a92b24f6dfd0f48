package sesamestandin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesametable"
)

// Counters counts the calls to a store, including refused ones.
type Counters struct {
	// Reads counts each row or object read, and one for every 100 rows scanned
	// or part of them.
	Reads int `json:"reads"`
	// Writes counts transactions, Rows the rows that they write or delete.
	Writes int `json:"writes"`
	Rows   int `json:"rows"`
	// ObjectReads and ObjectWrites count the objects read and written.
	ObjectReads  int `json:"objectReads"`
	ObjectWrites int `json:"objectWrites"`
	// Refused counts the calls that were refused.
	Refused int `json:"refused"`
	// PeakReads and PeakWrites are the highest counts in one second of the
	// clock, of rows and objects together.
	PeakReads  int `json:"peakReads"`
	PeakWrites int `json:"peakWrites"`
}

// Store is a table and an object store in memory that injects faults.
type Store struct {
	clock clockwork.Clock

	mu      sync.Mutex
	rows    rows
	objects map[string][]byte // by key
	faults  Faults
	// commits counts the transactions since the faults were set.
	commits    int
	lateWrites []lateWrite
	counters   Counters
	load       load
	// observe is called with each transaction that is applied.
	observe func(sesametable.Transaction)
}

var (
	_ sesametable.Table   = (*Store)(nil)
	_ sesametable.Objects = (*Store)(nil)
)

// lateWrite is a transaction that is applied before the first read or write of rows
// from the time due on, if its conditions hold then.
type lateWrite struct {
	due         time.Time
	transaction sesametable.Transaction
}

// NewStore returns an empty store without faults.
func NewStore(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		rows:    newRows(),
		objects: map[string][]byte{},
	}
}

// SetFaults replaces the faults. Late writes that are already scheduled stay
// scheduled.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.commits = 0
}

// Observe makes the store call f, under its lock, with each transaction that
// is applied.
func (s *Store) Observe(f func(sesametable.Transaction)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = f
}

// Counters returns how many calls, rows and objects were read, written and
// refused since the store was created.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Get implements sesametable.Table.
func (s *Store) Get(ctx context.Context, key string) (sesametable.Row, error) {
	if err := s.admitRead(ctx, "get"); err != nil {
		return sesametable.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLateWrites()
	row, ok := s.rows.live[key]
	if !ok {
		return sesametable.Row{}, &sesametable.NotFoundError{
			Key: key,
		}
	}
	return cloneRow(row), nil
}

// Scan implements sesametable.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]sesametable.Row, error) {
	if err := s.admitRead(ctx, "scan"); err != nil {
		return nil, err
	}
	if limit <= 0 || limit > sesametable.MaxScanRows {
		limit = sesametable.MaxScanRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLateWrites()
	page := s.rows.scan(prefix, after, limit)
	if more := (len(page) - 1) / sesametable.RowsPerRead; more > 0 {
		s.countReads(more)
	}
	return page, nil
}

// Commit implements sesametable.Table. When the caller gives up during the
// latency, the transaction is applied after Faults.ApplyDelay nevertheless.
func (s *Store) Commit(ctx context.Context, t sesametable.Transaction) error {
	if err := validate(t); err != nil {
		return err
	}
	fault, err := s.admitWrite("commit", len(t.Puts)+len(t.Deletes))
	if err != nil {
		return err
	}
	if fault == WriteDropped {
		return lostAnswer("commit", fault)
	}
	if fault == AppliedLate {
		s.schedule(t, s.delay())
		return lostAnswer("commit", fault)
	}
	if err := s.waitLatency(ctx); err != nil {
		s.schedule(t, s.delay())
		return &sesametable.OutcomeUnknownError{
			Operation: "commit",
			Cause:     err,
		}
	}
	err = s.apply(t)
	if fault == AnswerLost {
		return lostAnswer("commit", fault)
	}
	return err
}

// apply applies a transaction after the late writes that are due.
func (s *Store) apply(t sesametable.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLateWrites()
	return s.applyLocked(t)
}

// applyLocked applies a transaction. The caller holds the lock.
func (s *Store) applyLocked(t sesametable.Transaction) error {
	err := s.rows.apply(t)
	if err == nil && s.observe != nil {
		s.observe(t)
	}
	return err
}

// schedule makes the transaction a late write that is applied after the delay.
func (s *Store) schedule(t sesametable.Transaction, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWrites = append(s.lateWrites, lateWrite{
		due:         s.clock.Now().Add(delay),
		transaction: t,
	})
}

// delay returns the delay of late writes.
func (s *Store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.ApplyDelay
}

// applyLateWrites applies the late writes that are due. Their conflicts are
// ignored, because no caller waits for them any more. The caller holds the
// lock.
func (s *Store) applyLateWrites() {
	now := s.clock.Now()
	waiting := s.lateWrites[:0]
	for _, w := range s.lateWrites {
		if w.due.After(now) {
			waiting = append(waiting, w)
			continue
		}
		_ = s.applyLocked(w.transaction)
	}
	s.lateWrites = waiting
}

// PutObject implements sesametable.Objects.
func (s *Store) PutObject(ctx context.Context, key string, body []byte) error {
	if err := s.admitObjectWrite(); err != nil {
		return err
	}
	if err := s.waitLatency(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = bytes.Clone(body)
	return nil
}

// GetObject implements sesametable.Objects.
func (s *Store) GetObject(ctx context.Context, key string) (io.ReadCloser, int64, error) {
	if err := s.admitRead(ctx, "getobject"); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, 0, &sesametable.NotFoundError{
			Key: key,
		}
	}
	return io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
}

// LostAnswerError is the cause of an outcome that is unknown because of a
// fault.
type LostAnswerError struct {
	// Fault is the fault that lost the answer.
	Fault WriteFault
}

// Error names the fault by its number.
func (e *LostAnswerError) Error() string {
	return fmt.Sprintf("answer lost by fault %d", e.Fault)
}

// lostAnswer returns the error of a write whose answer the fault has lost.
func lostAnswer(operation string, fault WriteFault) error {
	return &sesametable.OutcomeUnknownError{
		Operation: operation,
		Cause: &LostAnswerError{
			Fault: fault,
		},
	}
}
