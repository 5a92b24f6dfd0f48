package sesamerows

import (
	"sync"
	"time"

	"github.com/sesamestack/sesamestack/sesameclock"
)

// StoreClock estimates the store's steady clock from its answers.
type StoreClock struct {
	clock sesameclock.Clock
	state *storeClockState
}

type storeClockState struct {
	mu     sync.Mutex
	offset time.Duration
	known  bool
}

// NewStoreClock returns a timekeeper that has heard nothing.
func NewStoreClock(clock sesameclock.Clock) StoreClock {
	return StoreClock{
		clock: clock,
		state: &storeClockState{},
	}
}

// AddSample notes the clock of an answer that has just arrived. The answer was on
// its way for a while, so the largest offset is the nearest to the truth.
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

// Now returns the store's clock, or 0 before the first answer.
func (t StoreClock) Now() time.Duration {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	if !t.state.known {
		return 0
	}
	return t.clock.Steady() + t.state.offset
}
