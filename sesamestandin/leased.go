package sesamestandin

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sesamestack/sesamestack/sesamerunner"
	"github.com/sesamestack/sesamestack/sesamework"
)

// LeasedTarget is one life, from start to crash, of a target of a fleet. It
// implements the executor that the agent beside the target calls, and runs
// tasks only while the agent extends its lease.
type LeasedTarget struct {
	fleet    *Fleet
	id       string
	life     int64
	capacity capacityHistory
	// startsForbidden makes every start a violation.
	startsForbidden bool
	// crashed targets run nothing; unreachable ones run on but answer no call.
	// notRunning says that no other life answers calls to a crashed one.
	crashed     bool
	notRunning  bool
	unreachable bool
	// startedAt is the start of this life, at which its own clock is 0.
	startedAt time.Time
	leaseEnd  time.Time
	// timeFactor is how long work takes as a multiple of a task's Duration.
	timeFactor float64
	// agentEpoch is the highest epoch of an agent seen so far; calls of agents
	// with a lower one are refused.
	agentEpoch int64
	running    []*fleetRun
	// ended are the ends that the agent has not confirmed as recorded,
	// numbered by lastNumber.
	ended      []sesamerunner.EndedRun
	lastNumber int64
	// acknowledged is the highest number that an agent has acknowledged. Ends up
	// to it are not listed, even those of runs that end later.
	acknowledged int64
	// highestRun is the highest run of each task that ended or was stopped; a
	// start of it or of an earlier one is refused.
	highestRun map[string]int
	// lastLapse is when the lease last lapsed, and endTimes the time of each entry
	// of ended.
	lastLapse time.Time
	endTimes  map[int64]time.Time
	// losesOrder reports whether the next order gets no answer (lost), and the
	// delay (late) after which the target carries that order out nevertheless;
	// nil means that every order is answered.
	losesOrder func() (late time.Duration, lost bool)
	// isLate is true while an order is applied whose answer was lost.
	isLate bool
}

var _ sesamerunner.Executor = (*LeasedTarget)(nil)

// Add adds a target with this ID, life number and capacity to the fleet. It has no
// lease until an order to start a run or a renewal grants one.
func (f *Fleet) Add(id string, life int64, capacity sesamework.Resources) *LeasedTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &LeasedTarget{
		fleet:      f,
		id:         id,
		life:       life,
		capacity:   newCapacityHistory(capacity),
		startedAt:  f.o.Clock.Now(),
		timeFactor: 1,
		highestRun: map[string]int{},
		endTimes:   map[int64]time.Time{},
	}
	f.targets = append(f.targets, t)
	return t
}

// Target returns the latest life of the target with this ID, or nil.
func (f *Fleet) Target(id string) *LeasedTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range slices.Backward(f.targets) {
		if t.id == id {
			return t
		}
	}
	return nil
}

// Ran reports whether a run has ended on the target in this life.
func (t *LeasedTarget) Ran() bool {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	t.fleet.advance()
	return t.lastNumber > 0
}

// localClock converts a time to the target's own clock, which counts from its
// start. The clock runs 2 percent slow, the most that the platform allows.
func (t *LeasedTarget) localClock(at time.Time) time.Duration {
	return at.Sub(t.startedAt) * 98 / 100
}

// lapseTime returns when the lease ends.
func (t *LeasedTarget) lapseTime() time.Time {
	return t.leaseEnd
}

// extendLease extends the lease to a time of the target's clock, at most by
// MaxLease of that clock from now. It never shortens the lease.
func (t *LeasedTarget) extendLease(until time.Duration, now time.Time) {
	if !t.leaseEnd.IsZero() && now.After(t.leaseEnd) {
		t.lastLapse = t.leaseEnd
	}
	left := min(until-t.localClock(now), t.fleet.o.MaxLease) * 100 / 98
	if end := now.Add(left); until > 0 && end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}

// endRun removes a run and adds its end to those that are reported to the
// agent. A run that is killed by the end of the lease loses its checkpoint.
func (t *LeasedTarget) endRun(r *fleetRun, outcome sesamework.Outcome, at time.Time) {
	t.running = slices.DeleteFunc(t.running, func(other *fleetRun) bool {
		return other == r
	})
	t.lastNumber++
	name := r.task.String()
	t.highestRun[name] = max(t.highestRun[name], r.run)
	t.endTimes[t.lastNumber] = at
	checkpoint := ""
	if outcome != sesamework.EndLapsed {
		checkpoint = r.checkpoint(at)
	}
	if outcome == sesamework.EndLapsed {
		t.lastLapse = at
	}
	if outcome == sesamework.EndDone {
		t.fleet.completed[name] = true
	}
	t.ended = append(t.ended, sesamerunner.EndedRun{
		Number:     t.lastNumber,
		Task:       name,
		Run:        r.run,
		Outcome:    outcome,
		Checkpoint: checkpoint,
	})
	t.acknowledge(t.acknowledged)
}

// NoAnswerError is the cause of errors of calls that got no answer.
type NoAnswerError struct{}

// Error says that there was no answer.
func (e *NoAnswerError) Error() string {
	return "no answer"
}

// Start implements sesamerunner.Executor.
func (t *LeasedTarget) Start(ctx context.Context, o sesamerunner.Order) (time.Duration, error) {
	return t.deliver(ctx, func() error {
		return t.start(o)
	})
}

// Stop implements sesamerunner.Executor.
func (t *LeasedTarget) Stop(ctx context.Context, o sesamerunner.Order) (time.Duration, error) {
	return t.deliver(ctx, func() error {
		return t.stop(o)
	})
}

// start checks an order to start a run and starts it. A repeated start of a
// run that is working has no effect. The caller holds the lock.
func (t *LeasedTarget) start(o sesamerunner.Order) error {
	now := t.fleet.o.Clock.Now()
	if t.crashed {
		return t.crashError()
	}
	if o.AgentEpoch < t.agentEpoch {
		return t.refusedError(sesamerunner.RefusedSuperseded)
	}
	t.agentEpoch = o.AgentEpoch
	t.extendLease(o.LeaseEnd, now)
	name := o.Task.String()
	if o.Run <= t.highestRun[name] {
		return t.refusedError(sesamerunner.RefusedStaleRun)
	}
	for _, r := range t.running {
		if r.task == o.Task && r.run == o.Run {
			return nil
		}
	}
	if o.LeaseEnd <= t.localClock(now) {
		return t.refusedError(sesamerunner.RefusedLeaseOver)
	}
	t.startRun(o, now)
	return nil
}

// startRun starts a run and records the promises that this breaks. It resumes
// from the order's checkpoint, if there is one. The caller holds the lock.
func (t *LeasedTarget) startRun(o sesamerunner.Order, now time.Time) {
	definition, known := t.fleet.o.Lookup(o.Task)
	t.fleet.checkStart(t, o, definition, known)
	if mayStart := t.fleet.o.MayStart; mayStart != nil && !mayStart(t) {
		t.fleet.addViolation("evacuation: run %d of %s was started on %s", o.Run, o.Task, t.id)
	}
	if t.startsForbidden {
		t.fleet.addViolation("drain: %s was started on %s", o.Task, t.id)
	}
	t.fleet.starts++
	r := &fleetRun{
		target:     t,
		task:       o.Task,
		run:        o.Run,
		definition: definition,
		startedAt:  now,
		timeFactor: t.timeFactor,
	}
	if n, err := strconv.ParseInt(o.Checkpoint, 10, 64); err == nil {
		r.initialProgress = time.Duration(n) * time.Millisecond
	}
	if !definition.Step.Gang {
		r.workingSince = now
	}
	t.running = append(t.running, r)
	t.fleet.beginGangs(now)
}

// refusedError returns a refusal with the target's clock.
func (t *LeasedTarget) refusedError(reason sesamerunner.Refusal) error {
	return &sesamerunner.RefusedError{
		Reason: reason,
		Clock:  t.localClock(t.fleet.o.Clock.Now()),
	}
}

// stop ends runs of the task up to the given one after StopTime, and prevents
// that they start later. The caller holds the lock.
func (t *LeasedTarget) stop(o sesamerunner.Order) error {
	if t.crashed {
		return t.crashError()
	}
	if o.AgentEpoch < t.agentEpoch {
		return t.refusedError(sesamerunner.RefusedSuperseded)
	}
	t.agentEpoch = o.AgentEpoch
	name := o.Task.String()
	t.highestRun[name] = max(t.highestRun[name], o.Run)
	for _, r := range t.running {
		if r.task == o.Task && r.run <= o.Run && r.stopEnd.IsZero() {
			r.stopEnd = t.fleet.o.Clock.Now().Add(t.fleet.o.StopTime)
		}
	}
	return nil
}

// renewalPoll is the time between two checks for ended runs while a renewal
// waits.
const renewalPoll = 20 * time.Millisecond

// RenewLease implements sesamerunner.Executor. It waits up to MaxWait for the
// end of a run.
func (t *LeasedTarget) RenewLease(ctx context.Context, q sesamerunner.LeaseRenewal) (sesamerunner.Listing, error) {
	f := t.fleet
	deadline := f.o.Clock.Now().Add(q.MaxWait)
	for {
		if err := t.awaitReachable(ctx); err != nil {
			return sesamerunner.Listing{}, err
		}
		l, err := t.renew(q)
		if err != nil || len(l.Ended) > 0 || !f.o.Clock.Now().Before(deadline) {
			return l, err
		}
		select {
		case <-f.o.Clock.After(renewalPoll):
		case <-ctx.Done():
			return l, ctx.Err()
		}
	}
}

// renew extends the lease once and lists the runs.
func (t *LeasedTarget) renew(q sesamerunner.LeaseRenewal) (sesamerunner.Listing, error) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	now := f.o.Clock.Now()
	if t.crashed {
		return sesamerunner.Listing{}, t.crashError()
	}
	if q.AgentEpoch < t.agentEpoch {
		return sesamerunner.Listing{}, t.refusedError(sesamerunner.RefusedSuperseded)
	}
	t.agentEpoch = q.AgentEpoch
	t.extendLease(q.LeaseEnd, now)
	t.acknowledge(q.LastRecorded)
	l := sesamerunner.Listing{
		Clock: t.localClock(now),
		Life:  t.life,
		Ended: slices.Clone(t.ended),
	}
	if most := f.o.MaxListed; most > 0 && len(l.Ended) > most {
		l.Ended = l.Ended[:most]
		l.More = true
	}
	for _, r := range t.running {
		l.Running = append(l.Running, r.report(now))
	}
	return l, nil
}

// acknowledge removes the ends up to this number, which the agent has
// recorded. They are final, unless the lease has lapsed since the end.
func (t *LeasedTarget) acknowledge(number int64) {
	t.acknowledged = max(t.acknowledged, number)
	t.ended = slices.DeleteFunc(t.ended, func(e sesamerunner.EndedRun) bool {
		if e.Number > number {
			return false
		}
		if !t.lastLapse.After(t.endTimes[e.Number]) {
			t.fleet.recordEnd(e)
		}
		delete(t.endTimes, e.Number)
		return true
	})
}

// recordEnd counts a final end. The caller holds the lock.
func (f *Fleet) recordEnd(e sesamerunner.EndedRun) {
	switch e.Outcome {
	case sesamework.EndDone:
		f.recordedDone[e.Task] = true
	case sesamework.EndFailed:
		f.recordedFailures[e.Task]++
	}
}

// Close does nothing, because a simulated target has no connections.
func (t *LeasedTarget) Close() {}
