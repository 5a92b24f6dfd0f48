package sesamerunner

import (
	"context"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// givenUp is the reason for stopping runs that the planner may have started
// elsewhere.
const givenUp = "planner gave up the target"

// awaitLapse waits until everything has ended that runs under the leases granted
// so far, after the planner has given up the target and may order its runs
// elsewhere. Until the target's row is acquired again, the lease is not extended,
// no run is started and no end is recorded or acknowledged that is not in the
// store by now. It returns early when the session or ctx ends.
func (s *session) awaitLapse(ctx context.Context) {
	s.mu.Lock()
	s.isGivenUp = true
	left := max(0, s.leaseEnd-s.o.Clock.Steady())
	s.o.Log.Emit(eventGivenUp, sesamelog.Fields{
		"target": s.id,
		"life":   s.report.Life,
		"lease":  left.Milliseconds(),
	})
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	select {
	case <-s.over:
	case <-ctx.Done():
	}
}

// noteGivenUp takes from the target's row, as it was read before this agent
// writes that row, whether the present life was given up. The caller holds the
// lock.
func (s *session) noteGivenUp(found sesamework.Target, version sesamerows.Version) {
	if found.State == sesamework.TargetGone && found.Life == s.report.Life {
		s.givenUpVersion = version
	}
}

// isOrderGivenUp reports whether the run was ordered before the planner gave up
// the target. The caller holds the lock.
func (s *session) isOrderGivenUp(w wantedRun) bool {
	return w.version < s.givenUpVersion
}
