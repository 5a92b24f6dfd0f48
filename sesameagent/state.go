package sesameagent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamegang"
)

// state guards the attempts and tells waiting duties of each change.
type state struct {
	clock clockwork.Clock
	start time.Time
	// dispatch hands effects to the duties that carry them out.
	dispatch func(sesamegang.Effects)

	mu      sync.Mutex
	agent   sesamegang.Agent
	changed chan struct{}
}

// updateFunc takes a reading and the attempts, and returns them changed.
type updateFunc func(now time.Duration, a sesamegang.Agent) (sesamegang.Agent, sesamegang.Effects)

func newState(clock clockwork.Clock, agent sesamegang.Agent, dispatch func(sesamegang.Effects)) *state {
	return &state{
		clock:    clock,
		start:    clock.Now(),
		dispatch: dispatch,
		agent:    agent,
		changed:  make(chan struct{}),
	}
}

// now returns the reading of the agent's monotonic clock.
func (s *state) now() time.Duration {
	return s.clock.Since(s.start)
}

// apply makes one change and returns a channel that closes with the next.
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

// read returns the attempts, a reading, and a channel that closes with the next
// change.
func (s *state) read() (sesamegang.Agent, time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent, s.now(), s.changed
}
