// Package sesameclock reads a clock that goes on while the machine is
// suspended. Leases, ages and timeouts that other processes rely on use it:
// Go's monotonic clock stands still during a suspension, and the time of day
// may jump.
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

// Clock tells the time since some fixed moment, suspensions included, and the
// time of day.
type Clock interface {
	// Steady never jumps and never stands still.
	Steady() time.Duration
	// Wall is the time of day, which may jump either way.
	Wall() time.Time
}

// Boot is the clock of the machine.
type Boot struct{}

// Steady returns the time since the machine started.
func (Boot) Steady() time.Duration {
	return read(unix.CLOCK_BOOTTIME)
}

// Wall returns the time of day.
func (Boot) Wall() time.Time {
	return time.Unix(0, int64(read(unix.CLOCK_REALTIME)))
}

// read panics when the kernel lacks the clock, which no supported one does.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// Manual is a clock that tests move.
type Manual struct {
	mu     sync.Mutex
	steady time.Duration
	wall   time.Time
}

// NewManual returns a clock that stands at the time of day.
func NewManual(wall time.Time) *Manual {
	return &Manual{
		wall: wall,
	}
}

// Steady returns what Advance added up to.
func (m *Manual) Steady() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steady
}

// Wall returns the time of day with all steps.
func (m *Manual) Wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// Advance moves both clocks.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steady += d
	m.wall = m.wall.Add(d)
}

// Step moves the time of day alone.
func (m *Manual) Step(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall = m.wall.Add(d)
}

// Wrapped is a Clock made of another one, which must not jump itself.
type Wrapped struct {
	clock clockwork.Clock
	start time.Time
}

// Wrap returns a clock whose steady time begins at an hour, so that no age is
// larger than the time itself.
func Wrap(clock clockwork.Clock) *Wrapped {
	return &Wrapped{
		clock: clock,
		start: clock.Now().Add(-time.Hour),
	}
}

// Steady returns the time since an hour before the clock was wrapped.
func (w *Wrapped) Steady() time.Duration {
	return w.clock.Since(w.start)
}

// Wall returns the wrapped clock's time of day.
func (w *Wrapped) Wall() time.Time {
	return w.clock.Now()
}
