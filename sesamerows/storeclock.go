package sesamerows

import (
	"sync"
	"time"

	"github.com/sesamestack/sesamestack/sesameclock"
)

// StoreClock estimates the store's steady clock from the times in its answers.
// Copies share their state. It is safe for concurrent use.
type StoreClock struct {
	// clock is the clock of this process's VM.
	clock sesameclock.Clock
	state *storeClockState
}

// storeClockState is what all copies of a StoreClock share.
type storeClockState struct {
	mu sync.Mutex
	// offset is the estimated time by which the store's steady clock is ahead of
	// this VM's (negative if behind), valid if known is set.
	offset time.Duration
	known  bool
}

// NewStoreClock returns an estimate without samples; clock is that of this
// process's VM.
func NewStoreClock(clock sesameclock.Clock) StoreClock {
	return StoreClock{
		clock: clock,
		state: &storeClockState{},
	}
}

// AddSample updates the estimate with now, the store's steady time in an answer
// that has just arrived; 0 means that the answer had none. Since the answer was
// on its way for a while, the store's clock is always ahead of that time, and
// the largest offset among all answers is the closest one.
func (t StoreClock) AddSample(now time.Duration) {
	if now == 0 {
		return
	}
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	offset := now - t.clock.Steady()
	if !t.state.known || offset > t.state.offset {
		t.state.offset = offset
		t.state.known = true
	}
}

// Now returns the estimated time of the store's steady clock, or 0 before the
// first sample.
func (t StoreClock) Now() time.Duration {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	if !t.state.known {
		return 0
	}
	return t.clock.Steady() + t.state.offset
}
