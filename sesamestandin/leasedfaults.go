package sesamestandin

import (
	"context"
	"time"
)

// SetLostOrders sets the function that chooses which later orders get no
// answer (lost), and the delay (late) after which the target carries such an
// order out nevertheless; nil means that every order is answered.
func (t *LeasedTarget) SetLostOrders(decide func() (late time.Duration, lost bool)) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.losesOrder = decide
}

// nextOrderLost returns the delay of the next order and whether its answer is
// lost, as losesOrder says; 0 and false without that function.
func (t *LeasedTarget) nextOrderLost() (time.Duration, bool) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if t.losesOrder == nil {
		return 0, false
	}
	return t.losesOrder()
}

// SetTimeFactor sets how long work takes on the target from its start on, as a
// multiple of a task's Duration. It is set before the first run starts.
func (t *LeasedTarget) SetTimeFactor(factor float64) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.timeFactor = factor
}

// ForbidStarts makes every later start a violation, as after the deadline of a
// drain.
func (t *LeasedTarget) ForbidStarts() {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.startsForbidden = true
}

// Restart ends the target's life as Crash does and begins the given one under
// the same ID. The new life knows nothing of the earlier one and does not reject
// calls that were meant for it.
func (t *LeasedTarget) Restart(life int64) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.fleet.advance()
	t.endLife(t.fleet.o.Clock.Now())
	t.life = life
	t.crashed = false
	t.startedAt = t.fleet.o.Clock.Now()
	t.leaseEnd = time.Time{}
	t.agentEpoch = 0
	t.lastNumber = 0
	t.acknowledged = 0
	t.highestRun = map[string]int{}
	t.lastLapse = time.Time{}
	t.endTimes = map[int64]time.Time{}
}

// SetUnreachable makes later calls to the target hang without effect, or ends
// that.
func (t *LeasedTarget) SetUnreachable(unreachable bool) {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.unreachable = unreachable
}

// awaitReachable blocks a call to an unreachable target until its caller gives
// up and returns a *NoAnswerError then.
func (t *LeasedTarget) awaitReachable(ctx context.Context) error {
	t.fleet.mu.Lock()
	unreachable := t.unreachable
	t.fleet.mu.Unlock()
	if !unreachable {
		return nil
	}
	<-ctx.Done()
	return &NoAnswerError{}
}
