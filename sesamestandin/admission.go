package sesamestandin

import (
	"context"
	"time"

	"github.com/sesamestack/sesamestack/sesametable"
)

// load counts the calls of the current second.
type load struct {
	second time.Time
	reads  int
	writes int
}

// startSecond starts a new second when the old one is over.
func (s *Store) startSecond() {
	now := s.clock.Now().Truncate(time.Second)
	if now.Equal(s.load.second) {
		return
	}
	s.load = load{
		second: now,
	}
}

func (s *Store) countReads(n int) {
	s.startSecond()
	s.counters.Reads += n
	s.load.reads += n
	s.counters.PeakReads = max(s.counters.PeakReads, s.load.reads)
}

func (s *Store) countWrites(n int) {
	s.startSecond()
	s.load.writes += n
	s.counters.PeakWrites = max(s.counters.PeakWrites, s.load.writes)
}

// admitRead counts a read and serves its latency, or refuses it.
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

func (s *Store) countRead(operation string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if operation == "getobject" {
		s.counters.ObjectReads++
	}
	s.countReads(1)
	return s.refusal(operation, s.load.reads, s.faults.ReadsPerSecond)
}

// admitWrite counts a transaction of that many rows, or refuses it.
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

func (s *Store) admitObjectWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.ObjectWrites++
	s.countWrites(1)
	return s.refusal("putobject", s.load.writes, s.faults.WritesPerSecond)
}

// refusal returns why the store does not serve a call, or nil.
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

// waitLatency waits as the faults say, or returns the context's error.
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

// DownError is the cause of refusals while the store is down.
type DownError struct{}

// Error says so.
func (e *DownError) Error() string {
	return "store is down"
}
