package sesameagent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamegang"
)

// state holds the attempts under a lock and signals each change to the
// goroutines that wait for one.
type state struct {
	clock clockwork.Clock
	// start is the origin of all clock readings.
	start time.Time
	// dispatch queues the effects of a change for their handlers.
	dispatch func(sesamegang.Effects)

	// mu guards the fields below.
	mu    sync.Mutex
	agent sesamegang.Agent
	// changed closes with the next change, and is then replaced.
	changed chan struct{}
}

// updateFunc is one change of the attempts: from a clock reading and the old
// state to the new state and the effects to carry out.
type updateFunc func(now time.Duration, a sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects)

// newState returns the state around an agent; its clock reads 0 now.
func newState(clock clockwork.Clock, agent sesamegang.Agent, dispatch func(sesamegang.Effects)) *state {
	return &state{
		clock:    clock,
		start:    clock.Now(),
		dispatch: dispatch,
		agent:    agent,
		changed:  make(chan struct{}),
	}
}

// now returns the reading of the agent's monotonic clock, as the time since its
// start.
func (s *state) now() time.Duration {
	return s.clock.Since(s.start)
}

// apply makes one change and dispatches its effects. It returns a channel that
// closes with the next change.
func (s *state) apply(f updateFunc) <-chan struct{} {
	s.mu.Lock()
	next, effects := f(s.now(), s.agent)
	s.agent = next
	close(s.changed)
	s.changed = make(chan struct{})
	changed := s.changed
	s.mu.Unlock()
	s.dispatch(effects)
	return changed
}

// read returns the current state, a clock reading, and a channel that closes
// with the next change.
func (s *state) read() (sesamegang.Agent, time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent, s.now(), s.changed
}
