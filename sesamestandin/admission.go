package sesamestandin

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesametable"
)

// load counts the rows and objects read and written in the current second.
type load struct {
	// second is the start of that second by the store's clock.
	second time.Time
	reads  int
	writes int
}

// startSecond resets the load when a new second of the clock has begun. The
// caller holds the lock.
func (s *Store) startSecond() {
	now := s.clock.Now().Truncate(time.Second)
	if now.Equal(s.load.second) {
		return
	}
	s.load = load{
		second: now,
	}
}

// countReads counts n reads and updates the peak. The caller holds the lock.
func (s *Store) countReads(n int) {
	s.startSecond()
	s.counters.Reads += n
	s.load.reads += n
	s.counters.PeakReads = max(s.counters.PeakReads, s.load.reads)
}

// countWrites counts n written rows or objects and updates the peak. The
// caller holds the lock.
func (s *Store) countWrites(n int) {
	s.startSecond()
	s.load.writes += n
	s.counters.PeakWrites = max(s.counters.PeakWrites, s.load.writes)
}

// admitRead counts a read and waits for the configured latency, or returns a
// *sesametable.UnavailableError.
func (s *Store) admitRead(ctx context.Context, operation string) error {
	if err := s.countRead(operation); err != nil {
		return err
	}
	if err := s.waitLatency(ctx); err != nil {
		return &sesametable.UnavailableError{
			Operation: operation,
			Cause:     err,
		}
	}
	return nil
}

// countRead counts one read: a row, an object, or the first part of a scan. It
// returns the error of refusal, nil if the read is admitted; a refused read counts
// too.
func (s *Store) countRead(operation string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if operation == "getobject" {
		s.counters.ObjectReads++
	}
	s.countReads(1)
	return s.refusal(operation, s.load.reads, s.faults.ReadsPerSecond)
}

// admitWrite counts a transaction that changes the given number of rows and
// returns the fault to inject into it, or the error of refusal when it is refused.
func (s *Store) admitWrite(operation string, changed int) (WriteFault, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	s.counters.Rows += changed
	s.countWrites(changed)
	if err := s.refusal(operation, s.load.writes, s.faults.WritesPerSecond); err != nil {
		return NoFault, err
	}
	s.commits++
	return s.faults.writeFault(s.commits), nil
}

// admitObjectWrite counts the write of an object. It returns the error of refusal,
// nil if the write is admitted; a refused write counts too.
func (s *Store) admitObjectWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.ObjectWrites++
	s.countWrites(1)
	return s.refusal("putobject", s.load.writes, s.faults.WritesPerSecond)
}

// refusal returns a *sesametable.UnavailableError when the store is down or
// the reads or writes of this second, including this one, exceed the limit, where
// 0 means no limit, and nil otherwise. The caller holds the lock.
func (s *Store) refusal(operation string, calls, limit int) error {
	if s.faults.Down {
		s.counters.Refused++
		return &sesametable.UnavailableError{
			Operation: operation,
			Cause:     &DownError{},
		}
	}
	if limit > 0 && calls > limit {
		s.counters.Refused++
		return &sesametable.UnavailableError{
			Operation:  operation,
			RetryAfter: time.Second,
			Cause: &sesametable.ThrottledError{
				Limiter: "the platform",
			},
		}
	}
	return nil
}

// waitLatency waits for the configured latency, or returns the context's error
// when it ends before.
func (s *Store) waitLatency(ctx context.Context) error {
	s.mu.Lock()
	wait := s.faults.Latency
	s.mu.Unlock()
	if wait == 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(wait):
		return nil
	}
}

// DownError is the cause of refusals while Faults.Down is set.
type DownError struct{}

// Error says that the store is down.
func (e *DownError) Error() string {
	return "store is down"
}
