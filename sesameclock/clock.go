// Package sesameclock reads a monotonic clock that also counts the time during
// which the VM is suspended. Leases, ages and timeouts that other processes
// rely on use it: Go's monotonic clock does not advance during a suspension,
// and the time of day may jump.
//
// # Usage
//
//	clock := sesameclock.Boot{}
//	started := clock.Steady()
//	age := clock.Steady() - started
package sesameclock

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock reads a steady clock, for durations, and the time of day.
type Clock interface {
	// Steady returns the time since a fixed moment. It includes suspensions
	// of the VM, never jumps and never stops.
	Steady() time.Duration
	// Wall returns the time of day, which may jump forward or back.
	Wall() time.Time
}

// Boot is the clock of the VM's kernel, CLOCK_BOOTTIME and CLOCK_REALTIME.
type Boot struct{}

// Steady returns the time since the VM booted, suspensions included.
func (Boot) Steady() time.Duration {
	return read(unix.CLOCK_BOOTTIME)
}

// Wall returns the time of day.
func (Boot) Wall() time.Time {
	return time.Unix(0, int64(read(unix.CLOCK_REALTIME)))
}

// read returns the time of a kernel clock, given by its ID. It panics if the
// kernel lacks the clock, which no supported kernel does.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Manual is a clock for tests that changes only by Advance and Step. It is safe
// for concurrent use.
type Manual struct {
	mu     sync.Mutex
	steady time.Duration
	wall   time.Time
}

// NewManual returns a clock with a steady time of 0 and the given time of day.
func NewManual(wall time.Time) *Manual {
	return &Manual{
		wall: wall,
	}
}

// Steady returns the sum of all advances.
func (m *Manual) Steady() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steady
}

// Wall returns the initial time of day plus all advances and steps.
func (m *Manual) Wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// Advance moves the steady time and the time of day forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steady += d
	m.wall = m.wall.Add(d)
}

// Step moves only the time of day by d, which may be negative, as when an
// operator or a time service sets the clock.
func (m *Manual) Step(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall = m.wall.Add(d)
}

// Wrapped is a Clock that reads a clockwork.Clock, which must not jump.
type Wrapped struct {
	clock clockwork.Clock
	// start is the moment at which the steady time is 0.
	start time.Time
}

// Wrap returns a clock whose steady time begins at one hour, so that an age of
// up to an hour can be subtracted from it without a negative result.
func Wrap(clock clockwork.Clock) *Wrapped {
	return &Wrapped{
		clock: clock,
		start: clock.Now().Add(-time.Hour),
	}
}

// Steady returns the time since the call of Wrap, plus one hour.
func (w *Wrapped) Steady() time.Duration {
	return w.clock.Since(w.start)
}

// Wall returns the wrapped clock's time of day.
func (w *Wrapped) Wall() time.Time {
	return w.clock.Now()
}
