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

// Counters count the calls that a store has seen, refused ones included.
type Counters struct {
	// Reads counts one for each row read and each started 100 rows scanned.
	Reads int `json:"reads"`
	// Writes counts transactions, Rows the rows that they put or delete.
	Writes int `json:"writes"`
	Rows   int `json:"rows"`
	// ObjectReads and ObjectWrites count objects.
	ObjectReads  int `json:"objectReads"`
	ObjectWrites int `json:"objectWrites"`
	// Refused counts the calls that were not served.
	Refused int `json:"refused"`
	// PeakReads and PeakWrites are the most in one second of the clock, rows
	// and objects together.
	PeakReads  int `json:"peakReads"`
	PeakWrites int `json:"peakWrites"`
}

// Store is a table and an object store in memory.
type Store struct {
	clock clockwork.Clock

	mu         sync.Mutex
	rows       rows
	objects    map[string][]byte
	faults     Faults
	commits    int
	lateWrites []lateWrite
	counters   Counters
	load       load
	observe    func(sesametable.Transaction)
}

var (
	_ sesametable.Table   = (*Store)(nil)
	_ sesametable.Objects = (*Store)(nil)
)

// lateWrite takes effect at its time, if its conditions hold then.
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

// SetFaults replaces the faults. Late writes that are under way stay so.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.commits = 0
}

// Observe calls f, under the store's lock, with each transaction that takes
// effect.
func (s *Store) Observe(f func(sesametable.Transaction)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = f
}

// Counters returns the calls so far.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Get returns one row; see sesametable.Table.
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

// Scan returns rows by prefix; see sesametable.Table.
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

// Commit applies the transaction; see sesametable.Table.
func (s *Store) Commit(ctx context.Context, t sesametable.Transaction) error {
	if err := validate(t); err != nil {
		return err
	}
	fate, err := s.admitWrite("commit", len(t.Puts)+len(t.Deletes))
	if err != nil {
		return err
	}
	if fate == WriteDropped {
		return lostAnswer("commit", fate)
	}
	if fate == AppliedLate {
		s.schedule(t, s.delay())
		return lostAnswer("commit", fate)
	}
	if err := s.waitLatency(ctx); err != nil {
		s.schedule(t, s.delay())
		return &sesametable.OutcomeUnknownError{
			Operation: "commit",
			Cause:     err,
		}
	}
	err = s.apply(t)
	if fate == AnswerLost {
		return lostAnswer("commit", fate)
	}
	return err
}

func (s *Store) apply(t sesametable.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLateWrites()
	return s.applyLocked(t)
}

func (s *Store) applyLocked(t sesametable.Transaction) error {
	err := s.rows.apply(t)
	if err == nil && s.observe != nil {
		s.observe(t)
	}
	return err
}

// schedule lets the transaction take effect later.
func (s *Store) schedule(t sesametable.Transaction, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWrites = append(s.lateWrites, lateWrite{
		due:         s.clock.Now().Add(delay),
		transaction: t,
	})
}

func (s *Store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.ApplyDelay
}

// applyLateWrites applies the late writes whose time has come; conflicts are nobody's
// to hear.
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

// PutObject stores an object; see sesametable.Objects.
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

// GetObject opens an object; see sesametable.Objects.
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

// LostAnswerError is the cause of an outcome that a fault made unknown.
type LostAnswerError struct {
	Fault WriteFault
}

// Error names what became of the write.
func (e *LostAnswerError) Error() string {
	return fmt.Sprintf("answer lost by fault %d", e.Fault)
}

func lostAnswer(operation string, fate WriteFault) error {
	return &sesametable.OutcomeUnknownError{
		Operation: operation,
		Cause: &LostAnswerError{
			Fault: fate,
		},
	}
}
